"""A response of sanic whose body is sent in pieces."""

import sanic.response

from irisstand.http1 import body_source


class StreamedResponse(sanic.response.HTTPResponse):
    """A response whose body is read from a source while it is sent.

    Args:
        source: The body.
        status: The status code.
        headers: The headers, without those that frame the body.
        content_type: The media type of the body.
    """

    __slots__ = ("source",)

    def __init__(
        self, source: body_source.BodySource, status: int, headers: dict[str, str], content_type: str
    ) -> None:
        super().__init__(None, status, headers, content_type)
        self.source = source
