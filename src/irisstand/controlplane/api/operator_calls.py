"""Extracts the arguments of operators' requests from JSON bodies, with the checks that need no table."""

import re
import typing

from irisstand import errors
from irisstand.http1 import locations

CHANGE_ID = re.compile(r"^[A-Za-z0-9._:-]{1,100}$")
ROWS_LIMIT = 1000
ROW_FIELDS = ("kind", "name", "value", "expected")
PURGES_LIMIT = 1000
PURGED_NAME_LIMIT = 1024
PURGED_LOCATION_LIMIT = 2048
PATH = "path"
TAG = "tag"

JsonObject = dict[str, typing.Any]


class PurgeTarget(typing.NamedTuple):
    """A path or a tag to purge.

    Attributes:
        kind: `path` or `tag`.
        name: The tag, or the path with or without the host that serves it.
    """

    kind: str
    name: str


def change_id(content: JsonObject) -> str | None:
    """Return the change id that the sender chose, None if there is none.

    Raises:
        BadRequestError: The field `change` is not a valid change id.
    """
    given = content.get("change")
    if given is None:
        return None
    if not isinstance(given, str) or not CHANGE_ID.match(given):
        raise errors.BadRequestError(
            "the field change is not a valid change id", "use up to 100 letters, digits and ._:-"
        )
    return given


def changed_rows(content: JsonObject) -> list[JsonObject]:
    """Return the rows of a change.

    Raises:
        BadRequestError: The field `rows` is not a list of objects or is too long, or a kind or name is not a
            string.
        InvalidChangeError: Rows have unknown fields or no value; the error lists all these faults.
    """
    rows = content.get("rows")
    if not isinstance(rows, list) or not rows or not all(isinstance(row, dict) for row in rows):
        raise errors.BadRequestError(
            "the field rows is not a list of one or more objects", "send one object for each row"
        )
    if len(rows) > ROWS_LIMIT:
        raise errors.BadRequestError(f"the change has more than {ROWS_LIMIT} rows", "send it in parts")
    for position, row in enumerate(rows):
        for field in ("kind", "name"):
            if not isinstance(row.get(field, ""), str):
                raise errors.BadRequestError(
                    f"the {field} of row {position} is not a string", "send a string"
                )
    faults = [
        row_fault(position, field, "unknown field; use kind, name, value and expected")
        for position, row in enumerate(rows)
        for field in row
        if field not in ROW_FIELDS
    ]
    faults += [
        row_fault(position, "value", "the row has no value; give one, or null to remove the row")
        for position, row in enumerate(rows)
        if "value" not in row
    ]
    if faults:
        raise errors.InvalidChangeError(faults)
    return rows


def row_fault(position: int, field: str, message: str) -> JsonObject:
    """Return a fault of one row of a change as the JSON object that operators read."""
    return {"row": position, "field": field, "message": message}


def is_single_purge(content: JsonObject) -> bool:
    """Return whether a purge request names a single object or tag instead of lists."""
    return TAG in content or PATH in content


def single_purge(content: JsonObject) -> PurgeTarget:
    """Return the target of {"tag": TAG}, or of {"host": HOST, "path": PATH} for what the host serves there.

    Raises:
        BadRequestError: The purge request has neither form, or a name is too long.
    """
    tag = content.get(TAG)
    host = content.get("host", "")
    path = content.get(PATH)
    if isinstance(tag, str) and 0 < len(tag) <= PURGED_NAME_LIMIT and path is None:
        return PurgeTarget(TAG, tag)
    if tag is None and isinstance(path, str) and isinstance(host, str) and path.startswith("/"):
        # A path without a host names objects that belong to no host.
        location = locations.location(host, path) if host else path
        if len(location) <= PURGED_LOCATION_LIMIT:
            return PurgeTarget(PATH, location)
    raise errors.BadRequestError(
        "the purge names neither a single tag nor a single path", "name a tag, or a host and a path"
    )


def purges(content: JsonObject) -> list[PurgeTarget]:
    """Return the targets of a purge request with lists of paths and tags.

    Raises:
        BadRequestError: A list is malformed, or there are no targets or more than `PURGES_LIMIT`.
    """
    paths = content.get("paths", [])
    tags = content.get("tags", [])
    if not isinstance(paths, list) or not isinstance(tags, list):
        raise errors.BadRequestError("the fields paths and tags are not both lists", "send lists of words")
    targets = [PurgeTarget(PATH, path) for path in paths] + [PurgeTarget(TAG, tag) for tag in tags]
    if not targets or len(targets) > PURGES_LIMIT:
        raise errors.BadRequestError(
            f"the purge names no path or tag, or more than {PURGES_LIMIT}", "name what to purge, in parts"
        )
    for target in targets:
        check_purge(target)
    return targets


def check_purge(target: PurgeTarget) -> None:
    """Raise an error if the name of a purge target is not a valid path or tag.

    Raises:
        BadRequestError: The name is not a string, is empty or too long, or is a path without a leading /.
    """
    kind, name = target
    if not isinstance(name, str) or not 0 < len(name) <= PURGED_NAME_LIMIT:
        raise errors.BadRequestError(f"{name!r} is not a valid {kind}", "send short words")
    if kind == PATH and not name.startswith("/"):
        raise errors.BadRequestError(f"path {name!r} does not begin with /", "send the whole path")


def replaced_voter(content: JsonObject) -> str:
    """Return the name of the voter that is to be replaced.

    Raises:
        BadRequestError: The field `replaces` is not a string.
    """
    name = content.get("replaces")
    if not isinstance(name, str):
        raise errors.BadRequestError(
            "the field replaces is not the name of a voter", 'send {"replaces": "the voter that goes"}'
        )
    return name
