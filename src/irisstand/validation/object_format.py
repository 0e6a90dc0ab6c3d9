"""Reads configuration rows from Kubernetes-style YAML objects with apiVersion, kind, metadata and spec."""

import typing

import yaml

from irisstand.validation import file_faults, schema

API_VERSION = "irisstand/v1"
ROW_KIND_BY_OBJECT_KIND = {kind.capitalize(): kind for kind in schema.REGISTRY}
OBJECT_FIELDS = ("apiVersion", "kind", "metadata", "spec")
# resourceVersion is optional and gives the version that the row is expected to have before the change.
METADATA_FIELDS = ("name", "resourceVersion", "labels", "annotations")


class StrictLoader(yaml.SafeLoader):
    """A YAML loader that refuses duplicate keys; PyYAML's own loader keeps the last one silently."""


def construct_strict_mapping(
    loader: StrictLoader,
    node: yaml.MappingNode,
    deep: bool = False,  # noqa: FBT001, FBT002 - PyYAML passes it as a positional argument
) -> dict[typing.Any, typing.Any]:
    """Construct a mapping; raises MarkedYAMLError for a key that is not a string or occurs twice."""
    seen: set[typing.Any] = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node, deep=True)
        if not isinstance(key, str):
            problem = f"the key {key!r} is not a string"
            raise yaml.MarkedYAMLError(problem=problem, problem_mark=key_node.start_mark)
        if key in seen:
            raise yaml.MarkedYAMLError(problem=f"{key!r} stands twice", problem_mark=key_node.start_mark)
        seen.add(key)
    return yaml.SafeLoader.construct_mapping(loader, node, deep=True)


StrictLoader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, construct_strict_mapping)


def read_objects(content: bytes) -> list[dict[str, typing.Any]]:
    """Read the configuration rows of a YAML file, one from each document.

    Raises:
        InvalidChangeError: The file has faults; the error reports those of all documents.
    """
    # Aliases can expand a small file to a huge tree ("billion laughs"), and no configuration needs them.
    if b"&" in content and any(isinstance(event, yaml.AliasEvent) for event in parser_events(content)):
        raise file_faults.error_for_file("YAML aliases are not allowed; write the value out")
    documents = load_documents(content)
    faults = [
        fault
        for position, document in enumerate(documents)
        for fault in faults_of_document(position, document)
    ]
    if not documents:
        faults.append(file_faults.FileFault(None, "file", "there is no document in the file"))
    if faults:
        raise file_faults.error_for_faults(faults)
    return [row_of(document) for document in documents]


def load_documents(content: bytes) -> list[typing.Any]:
    """Return the documents of a YAML file without the empty ones.

    Raises:
        InvalidChangeError: The file is not valid YAML; the message gives the line if it is known.
    """
    try:
        return [document for document in yaml.load_all(content, StrictLoader) if document is not None]
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        mark = getattr(error, "problem_mark", None)
        line = f"line {mark.line + 1}: " if mark is not None else ""
        raise file_faults.error_for_file(f"{line}{getattr(error, 'problem', None) or error}") from None


def parser_events(content: bytes) -> list[yaml.Event]:
    """Return the events of the YAML parser, none for invalid YAML, which `load_documents` reports later."""
    try:
        return list(yaml.parse(content, yaml.SafeLoader))
    except yaml.YAMLError:
        return []


def faults_of_document(position: int, document: typing.Any) -> list[file_faults.FileFault]:
    """Return what is wrong with one document of a YAML file.

    Args:
        position: The position of the document in the file, from 0.
        document: The content of the document.
    """
    if not isinstance(document, dict):
        message = "the document is not an object; give apiVersion, kind, metadata and spec"
        return [file_faults.FileFault(position, "document", message)]
    found = [
        file_faults.FileFault(position, key, "objects have no such field")
        for key in document
        if key not in OBJECT_FIELDS
    ]
    version = document.get("apiVersion")
    if version != API_VERSION:
        found.append(
            file_faults.FileFault(
                position, "apiVersion", f"unknown apiVersion {version!r}; give {API_VERSION}"
            )
        )
    if row_kind(document) is None:
        known = ", ".join(sorted(ROW_KIND_BY_OBJECT_KIND))
        message = f"{document.get('kind')!r} is not a kind of object; use one of {known}"
        found.append(file_faults.FileFault(position, "kind", message))
    metadata = document.get("metadata")
    if not isinstance(metadata, dict):
        return [
            *found,
            file_faults.FileFault(
                position, "metadata", "the metadata is not an object; give an object with at least a name"
            ),
        ]
    found += [
        file_faults.FileFault(position, f"metadata.{key}", "metadata has no such field")
        for key in metadata
        if key not in METADATA_FIELDS
    ]
    found += spec_faults(position, document, metadata)
    resource_version = metadata.get("resourceVersion")
    if resource_version is not None and not isinstance(resource_version, str):
        found.append(
            file_faults.FileFault(
                position, "metadata.resourceVersion", "the resourceVersion is not a string; put it in quotes"
            )
        )
    return found


def row_kind(document: dict[str, typing.Any]) -> str | None:
    """Return the kind of configuration row that a document describes, None if its kind is unknown."""
    kind = document.get("kind")
    return ROW_KIND_BY_OBJECT_KIND.get(kind) if isinstance(kind, str) else None


def spec_faults(
    position: int, document: dict[str, typing.Any], metadata: dict[str, typing.Any]
) -> list[file_faults.FileFault]:
    """Return the violations of the schema of its kind in a document's name and spec."""
    if "spec" not in document:
        message = "the spec is missing; give an object, or null to remove the row"
        return [file_faults.FileFault(position, "spec", message)]
    kind = row_kind(document)
    if kind is None:
        return []
    found = []
    for fault in schema.faults(kind, metadata.get("name"), document["spec"]):
        field = "metadata.name" if fault.field == "name" else f"spec.{fault.field}".removesuffix(".value")
        found.append(file_faults.FileFault(position, field, fault.message))
    return found


def row_of(document: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the configuration row that a document without faults describes."""
    metadata = document["metadata"]
    row = {
        "kind": ROW_KIND_BY_OBJECT_KIND[document["kind"]],
        "name": metadata["name"],
        "value": document["spec"],
    }
    if metadata.get("resourceVersion") is not None:
        row["expected"] = metadata["resourceVersion"]
    return row
