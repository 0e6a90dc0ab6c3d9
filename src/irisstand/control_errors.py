"""Errors of the control plane that carry details: an order clashes with what was decided before it."""

import typing

from irisstand import errors

Details = list[typing.Any]

# The kinds below, by code.
DETAILED_ERROR_BY_CODE: dict[str, type["DetailedError"]] = {}


class DetailedError(errors.IrisError):
    """A refusal with details, which it keeps when it travels between nodes.

    Attributes:
        details_name: The key of the details in the JSON object.
        summary: The message of the kind.
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
        """Add the details to the JSON object."""
        return {**super().to_json(), self.details_name: self.details}


class VersionTakenError(DetailedError):
    """Other content was confirmed under the version of an item in the call."""

    code, status, details_name = "version-taken", 409, "conflicts"
    summary = "a version in the call is taken by another content, nothing was changed"
    remedy = "read the items again, and send this content under a higher version"


class ChangeIdTakenError(DetailedError):
    """Another order was confirmed under the same change id."""

    code, status, details_name = "change-id-taken", 409, "conflicts"
    summary = "the change id was used for another order, nothing was changed"
    remedy = "send this order under a new change id"


class SiteUnknownError(errors.IrisError):
    """This node knows no such site, which may be its own ignorance: another node may know it."""

    code, status, default_retry_after = "site-not-heard", 503, 1.0
    remedy = "ask another node, and look at the site's name"


def rebuild(code: str, details: Details) -> DetailedError | None:
    """Return a detailed refusal that a peer sent; None if the code is not one of them.

    >>> rebuild("version-taken", [{"item": "route/a"}]).to_json()["conflicts"]
    [{'item': 'route/a'}]
    """
    error_class = DETAILED_ERROR_BY_CODE.get(code)
    return error_class(details) if error_class is not None else None
