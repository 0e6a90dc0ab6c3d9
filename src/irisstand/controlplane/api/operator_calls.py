"""What the bodies of operators' calls ask for, checked as far as that needs no table."""

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
    """A path or a tag to purge; a path may have the host before it that serves it."""

    kind: str
    name: str


def change_id(content: JsonObject) -> str | None:
    """Return the sender's id of a change, None if it gave none.

    Raises:
        BadRequestError: It is no id.
    """
    given = content.get("change")
    if given is None:
        return None
    if not isinstance(given, str) or not CHANGE_ID.match(given):
        raise errors.BadRequestError("change is not an id", "use up to 100 letters, digits and ._:-")
    return given


def changed_rows(content: JsonObject) -> list[JsonObject]:
    """Return the rows of a change.

    Raises:
        BadRequestError: There is no list of objects, or too many, or a kind or name is no word.
        InvalidChangeError: Rows have unknown fields or no value; with each of these faults.
    """
    rows = content.get("rows")
    if not isinstance(rows, list) or not rows or not all(isinstance(row, dict) for row in rows):
        raise errors.BadRequestError("rows is not a list of objects", "send one object for each row")
    if len(rows) > ROWS_LIMIT:
        raise errors.BadRequestError(f"over {ROWS_LIMIT} rows in one change", "send it in parts")
    for position, row in enumerate(rows):
        for field in ("kind", "name"):
            if not isinstance(row.get(field, ""), str):
                raise errors.BadRequestError(f"the {field} of row {position} is no word", "send a string")
    faults = [
        row_fault(position, field, "no such field; use kind, name, value and expected")
        for position, row in enumerate(rows)
        for field in row
        if field not in ROW_FIELDS
    ]
    faults += [
        row_fault(position, "value", "no value; give one, or null to remove the row")
        for position, row in enumerate(rows)
        if "value" not in row
    ]
    if faults:
        raise errors.InvalidChangeError(faults)
    return rows


def row_fault(position: int, field: str, message: str) -> JsonObject:
    """Return a fault of one row as operators read it."""
    return {"row": position, "field": field, "message": message}


def is_single_purge(content: JsonObject) -> bool:
    """Return whether a call names one object or tag by itself."""
    return TAG in content or PATH in content


def single_purge(content: JsonObject) -> PurgeTarget:
    """Return the target of {"tag": TAG}, or of {"host": HOST, "path": PATH} for what the host serves there.

    Raises:
        BadRequestError: The call is neither.
    """
    tag = content.get(TAG)
    host = content.get("host", "")
    path = content.get(PATH)
    if isinstance(tag, str) and 0 < len(tag) <= PURGED_NAME_LIMIT and path is None:
        return PurgeTarget(TAG, tag)
    if tag is None and isinstance(path, str) and isinstance(host, str) and path.startswith("/"):
        # By a path alone, objects are named that belong to no host.
        location = locations.location(host, path) if host else path
        if len(location) <= PURGED_LOCATION_LIMIT:
            return PurgeTarget(PATH, location)
    raise errors.BadRequestError("not one tag, nor one host and path", "name a tag, or a host and a path")


def purges(content: JsonObject) -> list[PurgeTarget]:
    """Return the targets of a call with lists of paths and tags.

    Raises:
        BadRequestError: These are no lists of names, or name nothing or too much.
    """
    paths = content.get("paths", [])
    tags = content.get("tags", [])
    if not isinstance(paths, list) or not isinstance(tags, list):
        raise errors.BadRequestError("paths and tags are not lists", "send lists of words")
    targets = [PurgeTarget(PATH, path) for path in paths] + [PurgeTarget(TAG, tag) for tag in tags]
    if not targets or len(targets) > PURGES_LIMIT:
        raise errors.BadRequestError(
            f"no path and no tag, or over {PURGES_LIMIT}", "name what to purge, in parts"
        )
    for target in targets:
        check_purge(target)
    return targets


def check_purge(target: PurgeTarget) -> None:
    """Refuse a target whose name is no path or tag.

    Raises:
        BadRequestError: The name is no string, too long, or no whole path.
    """
    kind, name = target
    if not isinstance(name, str) or not 0 < len(name) <= PURGED_NAME_LIMIT:
        raise errors.BadRequestError(f"{name!r} is not a {kind}", "send short words")
    if kind == PATH and not name.startswith("/"):
        raise errors.BadRequestError(f"path {name!r} does not begin with /", "send the whole path")


def replaced_voter(content: JsonObject) -> str:
    """Return the name of the voter that a call replaces.

    Raises:
        BadRequestError: It is no name.
    """
    name = content.get("replaces")
    if not isinstance(name, str):
        raise errors.BadRequestError("replaces is not a name", 'send {"replaces": "the voter that goes"}')
    return name
