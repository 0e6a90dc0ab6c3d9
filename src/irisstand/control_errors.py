"""Errors of the control plane with details: an order conflicts with one that was confirmed before it."""

import typing

from irisstand import errors

Details = list[typing.Any]

# The registered subclasses of `DetailedError` by their `code`.
DETAILED_ERROR_BY_CODE: dict[str, type["DetailedError"]] = {}


class DetailedError(errors.IrisError):
    """A refusal with details, which are preserved when the error is sent between nodes.

    Attributes:
        details_name: The key of the details in the JSON object.
        summary: The message of all errors of the class.
    """

    details_name = "details"
    summary = "refused"

    def __init__(self, details: Details) -> None:
        super().__init__(self.summary)
        self.details = details

    def __init_subclass__(cls, *, is_registered: bool = True) -> None:
        if is_registered:
            DETAILED_ERROR_BY_CODE[cls.code] = cls

    def to_json(self) -> dict[str, typing.Any]:
        """Return the JSON object of the error with its details added."""
        return {**super().to_json(), self.details_name: self.details}


class VersionTakenError(DetailedError):
    """Different content was confirmed before under the version of an item in the request."""

    code, status, details_name = "version-taken", 409, "conflicts"
    summary = "a version in the request was used for different content; nothing was changed"
    remedy = "read the items again, and send this content under a higher version"


class ChangeIdTakenError(DetailedError):
    """A different order was confirmed before under the same change id."""

    code, status, details_name = "change-id-taken", 409, "conflicts"
    summary = "the change id was used for a different order; nothing was changed"
    remedy = "send this order under a new change id"


class SiteUnknownError(errors.IrisError):
    """This node does not know the site, but its knowledge may be incomplete: another node may know it."""

    code, status, default_retry_after = "site-not-heard", 503, 1.0
    remedy = "ask another node, and look at the site's name"


def rebuild(code: str, details: Details) -> DetailedError | None:
    """Return the detailed error with a code that a peer sent; None if no such error is registered.

    >>> rebuild("version-taken", [{"item": "route/a"}]).to_json()["conflicts"]
    [{'item': 'route/a'}]
    """
    error_class = DETAILED_ERROR_BY_CODE.get(code)
    return error_class(details) if error_class is not None else None
