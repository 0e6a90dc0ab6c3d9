"""Faults of operators' files, and the error that names them."""

import typing

from irisstand import errors


class FileFault(typing.NamedTuple):
    """What is wrong with a file.

    Attributes:
        document: The position of the document in the file, None if the file itself is at fault.
        field: The field of the document.
        message: What is wrong, and what to do about it.
    """

    document: int | None
    field: str
    message: str


def error_for_faults(faults: list[FileFault]) -> errors.InvalidChangeError:
    """Return the error that names these faults."""
    return errors.InvalidChangeError([fault._asdict() for fault in faults])


def error_for_file(message: str) -> errors.InvalidChangeError:
    """Return the error for a file that cannot be read at all."""
    return error_for_faults([FileFault(None, "file", message)])
