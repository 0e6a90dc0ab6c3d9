"""Formats of operators' files: JSON rows, and Kubernetes-style objects in YAML. A format is an entry."""

import collections.abc
import json
import typing

import yaml

from irisstand import errors
from irisstand.validation import schema

API_VERSION = "irisstand/v1"
KINDS = {kind.capitalize(): kind for kind in schema.REGISTRY}
FIELDS = ("apiVersion", "kind", "metadata", "spec")
# resourceVersion is to an object what the expected version is to a row.
METADATA = ("name", "resourceVersion", "labels", "annotations")
SIZE_LIMIT = 1024 * 1024

Rows = list[dict[str, typing.Any]]


class StrictLoader(yaml.SafeLoader):
    """YAML lets a key stand twice and keeps the last; here that is a fault."""


def strict_mapping(loader: StrictLoader, node: yaml.MappingNode, deep: bool = False) -> dict:
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


StrictLoader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, strict_mapping)


def fault(place: int | None, field: str, message: str) -> dict[str, typing.Any]:
    return {"document": place, "field": field, "message": message}


def read_json(content: bytes) -> Rows:
    """A list of rows, or what `rows get` printed, edited and sent back as it is."""
    try:
        decoded = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise errors.InvalidChangeError([fault(None, "file", f"not JSON: {error}")]) from None
    given = decoded.get("rows") if isinstance(decoded, dict) else decoded
    if not isinstance(given, list) or not all(isinstance(row, dict) for row in given):
        raise errors.InvalidChangeError([fault(None, "file", "not a list of rows")])
    return given


def read_objects(content: bytes) -> Rows:
    """Documents of apiVersion, kind, metadata and spec; every fault of every document at once."""
    # Aliases can make a small file into a huge tree; no table needs them.
    if b"&" in content and any(isinstance(e, yaml.AliasEvent) for e in events(content)):
        raise errors.InvalidChangeError([fault(None, "file", "aliases are not taken; write the value out")])
    try:
        documents = [one for one in yaml.load_all(content, StrictLoader) if one is not None]
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        mark = getattr(error, "problem_mark", None)
        where = f"line {mark.line + 1}: " if mark is not None else ""
        message = f"{where}{getattr(error, 'problem', None) or error}"
        raise errors.InvalidChangeError([fault(None, "file", message)]) from None
    faults = [found for place, one in enumerate(documents) for found in faults_of(place, one)]
    if not documents:
        faults.append(fault(None, "file", "no document in it"))
    if faults:
        raise errors.InvalidChangeError(faults)
    return [row_of(document) for document in documents]


def events(content: bytes) -> list:
    try:
        return list(yaml.parse(content, yaml.SafeLoader))
    except yaml.YAMLError:
        # What cannot be parsed is told with its line by the reading itself.
        return []


def faults_of(place: int, document: typing.Any) -> list[dict[str, typing.Any]]:
    if not isinstance(document, dict):
        return [fault(place, "document", "not an object; give apiVersion, kind, metadata and spec")]
    found = [fault(place, key, "no such field") for key in document if key not in FIELDS]
    if document.get("apiVersion") != API_VERSION:
        found.append(fault(place, "apiVersion", f"{document.get('apiVersion')!r}; give {API_VERSION}"))
    kind = KINDS.get(document.get("kind")) if isinstance(document.get("kind"), str) else None
    if kind is None:
        known = ", ".join(sorted(KINDS))
        found.append(fault(place, "kind", f"{document.get('kind')!r} is no kind; use one of {known}"))
    metadata = document.get("metadata")
    if not isinstance(metadata, dict):
        return [*found, fault(place, "metadata", "not an object; give at least a name")]
    found += [fault(place, f"metadata.{key}", "no such field") for key in metadata if key not in METADATA]
    if "spec" not in document:
        found.append(fault(place, "spec", "nothing is given; give an object, or null to remove the row"))
    elif kind is not None:
        for field, message in schema.faults(kind, metadata.get("name"), document["spec"]):
            where = "metadata.name" if field == "name" else f"spec.{field}".removesuffix(".value")
            found.append(fault(place, where, message))
    version = metadata.get("resourceVersion")
    if version is not None and not isinstance(version, str):
        found.append(fault(place, "metadata.resourceVersion", "not a serial in quotes"))
    return found


def row_of(document: dict) -> dict[str, typing.Any]:
    metadata = document["metadata"]
    row = {"kind": KINDS[document["kind"]], "name": metadata["name"], "value": document["spec"]}
    if metadata.get("resourceVersion") is not None:
        row["expected"] = metadata["resourceVersion"]
    return row


# Plug-in point: a format is an entry here, by the endings of its files.
REGISTRY: dict[str, tuple[tuple[str, ...], collections.abc.Callable[[bytes], Rows]]] = {
    "rows": ((".json",), read_json),
    "objects": ((".yaml", ".yml"), read_objects),
}


def read(name: str, content: bytes, form: str = "") -> Rows:
    """Rows of a file, by the format named, or by the file's ending; JSON where nothing tells.

    >>> read("x.yaml", b"{apiVersion: irisstand/v1, kind: Site, metadata: {name: north}, spec: {weight: 2}}")
    [{'kind': 'site', 'name': 'north', 'value': {'weight': 2}}]
    """
    if len(content) > SIZE_LIMIT:
        raise errors.InvalidChangeError([fault(None, "file", f"over {SIZE_LIMIT} bytes; send it in parts")])
    if not form:
        form = next((f for f, (ends, _) in REGISTRY.items() if name.lower().endswith(ends)), "rows")
    return REGISTRY[form][1](content)


def differences(wanted: Rows, table: Rows) -> list[str]:
    """What a table read back has other than a file: one line for each row."""
    want = {(row.get("kind"), row.get("name")): row.get("value") for row in wanted}
    have = {(row["kind"], row["name"]): row["value"] for row in table}
    found = []
    for kind, name in sorted(set(want) | set(have), key=str):
        if (kind, name) not in have:
            # A row that the file removes is not to be there.
            if want[(kind, name)] is not None:
                found.append(f"missing: {kind} {name}")
        elif (kind, name) not in want:
            found.append(f"not in the file: {kind} {name}")
        elif want[(kind, name)] != have[(kind, name)]:
            found.append(f"other: {kind} {name}: {have[(kind, name)]} where {want[(kind, name)]} was wanted")
    return found
