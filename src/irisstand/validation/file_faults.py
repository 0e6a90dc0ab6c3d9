"""Faults in configuration files of operators, and the error that reports them."""

import typing

from irisstand import errors


class FileFault(typing.NamedTuple):
    """A fault in a configuration file.

    Attributes:
        document: The position of the document in the file, from 0; None if the fault concerns the whole file.
        field: The field of the document that is wrong.
        message: What is wrong with the field, and how to correct it.
    """

    document: int | None
    field: str
    message: str


def error_for_faults(faults: list[FileFault]) -> errors.InvalidChangeError:
    """Return the error that reports these faults of a file."""
    return errors.InvalidChangeError([fault._asdict() for fault in faults])


def error_for_file(message: str) -> errors.InvalidChangeError:
    """Return the error that reports one fault of a file as a whole, such as invalid syntax."""
    return error_for_faults([FileFault(None, "file", message)])
