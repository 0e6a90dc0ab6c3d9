"""Kubernetes-style objects in YAML: documents of apiVersion, kind, metadata and spec, one for each row."""

import typing

import yaml

from irisstand.validation import file_faults, schema

API_VERSION = "irisstand/v1"
KINDS = {kind.capitalize(): kind for kind in schema.REGISTRY}
OBJECT_FIELDS = ("apiVersion", "kind", "metadata", "spec")
# resourceVersion is to an object what the expected version is to a row.
METADATA_FIELDS = ("name", "resourceVersion", "labels", "annotations")


class StrictLoader(yaml.SafeLoader):
    """A YAML loader that refuses a key that stands twice; YAML itself keeps the last one."""


def construct_strict_mapping(
    loader: StrictLoader,
    node: yaml.MappingNode,
    deep: bool = False,  # noqa: FBT001, FBT002 - PyYAML gives it so
) -> dict[typing.Any, typing.Any]:
    """Construct a mapping whose keys are strings, each of them once."""
    seen: set[typing.Any] = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node, deep=True)
        if not isinstance(key, str):
            problem = f"the key {key!r} is no word"
            raise yaml.MarkedYAMLError(problem=problem, problem_mark=key_node.start_mark)
        if key in seen:
            raise yaml.MarkedYAMLError(problem=f"{key!r} stands twice", problem_mark=key_node.start_mark)
        seen.add(key)
    return yaml.SafeLoader.construct_mapping(loader, node, deep=True)


StrictLoader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, construct_strict_mapping)


def read_objects(content: bytes) -> list[dict[str, typing.Any]]:
    """Read YAML documents of apiVersion, kind, metadata and spec.

    Raises:
        InvalidChangeError: With every fault of every document at once.
    """
    # Aliases can make a small file into a huge tree; no table needs them.
    if b"&" in content and any(isinstance(event, yaml.AliasEvent) for event in parser_events(content)):
        raise file_faults.error_for_file("aliases are not taken; write the value out")
    documents = load_documents(content)
    faults = [
        fault
        for position, document in enumerate(documents)
        for fault in faults_of_document(position, document)
    ]
    if not documents:
        faults.append(file_faults.FileFault(None, "file", "no document in it"))
    if faults:
        raise file_faults.error_for_faults(faults)
    return [row_of(document) for document in documents]


def load_documents(content: bytes) -> list[typing.Any]:
    """Return the documents of a YAML file without those that are empty.

    Raises:
        InvalidChangeError: It is no YAML; with the line.
    """
    try:
        return [document for document in yaml.load_all(content, StrictLoader) if document is not None]
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        mark = getattr(error, "problem_mark", None)
        line = f"line {mark.line + 1}: " if mark is not None else ""
        raise file_faults.error_for_file(f"{line}{getattr(error, 'problem', None) or error}") from None


def parser_events(content: bytes) -> list[yaml.Event]:
    """Return the parser's events, none if the file cannot be parsed: `load_documents` names the line then."""
    try:
        return list(yaml.parse(content, yaml.SafeLoader))
    except yaml.YAMLError:
        return []


def faults_of_document(position: int, document: typing.Any) -> list[file_faults.FileFault]:
    """Return what is wrong with a document."""
    if not isinstance(document, dict):
        message = "not an object; give apiVersion, kind, metadata and spec"
        return [file_faults.FileFault(position, "document", message)]
    found = [
        file_faults.FileFault(position, key, "no such field") for key in document if key not in OBJECT_FIELDS
    ]
    version = document.get("apiVersion")
    if version != API_VERSION:
        found.append(file_faults.FileFault(position, "apiVersion", f"{version!r}; give {API_VERSION}"))
    if row_kind(document) is None:
        known = ", ".join(sorted(KINDS))
        message = f"{document.get('kind')!r} is no kind; use one of {known}"
        found.append(file_faults.FileFault(position, "kind", message))
    metadata = document.get("metadata")
    if not isinstance(metadata, dict):
        return [*found, file_faults.FileFault(position, "metadata", "not an object; give at least a name")]
    found += [
        file_faults.FileFault(position, f"metadata.{key}", "no such field")
        for key in metadata
        if key not in METADATA_FIELDS
    ]
    found += spec_faults(position, document, metadata)
    resource_version = metadata.get("resourceVersion")
    if resource_version is not None and not isinstance(resource_version, str):
        found.append(file_faults.FileFault(position, "metadata.resourceVersion", "not a serial in quotes"))
    return found


def row_kind(document: dict[str, typing.Any]) -> str | None:
    """Return the kind of row that a document describes, None if it is no kind."""
    kind = document.get("kind")
    return KINDS.get(kind) if isinstance(kind, str) else None


def spec_faults(
    position: int, document: dict[str, typing.Any], metadata: dict[str, typing.Any]
) -> list[file_faults.FileFault]:
    """Return what a document's name and spec have against the schema of its kind."""
    if "spec" not in document:
        message = "nothing is given; give an object, or null to remove the row"
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
    """Return the row that a document without faults describes."""
    metadata = document["metadata"]
    row = {"kind": KINDS[document["kind"]], "name": metadata["name"], "value": document["spec"]}
    if metadata.get("resourceVersion") is not None:
        row["expected"] = metadata["resourceVersion"]
    return row
