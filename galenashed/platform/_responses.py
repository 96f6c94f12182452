"""Responses of the HTTP API for operators, targets and discovery."""

import msgspec

RETRY_AFTER_SECONDS = 0.5


class Response:
    """A response with an encoded JSON body.

    ``allow`` names the method that the path has, if another one was used.
    """

    __slots__ = ("allow", "body", "retry_after", "status")

    def __init__(
        self,
        *,
        status: int,
        body: bytes = b"{}",
        retry_after: float = 0.0,
        allow: str = "",
    ):
        self.status = status
        self.body = body
        self.retry_after = retry_after
        self.allow = allow


def encode_error(*findings: str) -> bytes:
    """Returns the body of an error response."""
    return msgspec.json.encode({"error": "; ".join(findings)})


def make_unavailable(reason: str) -> Response:
    """Returns the response to a request that can't be served now."""
    return Response(
        status=503, body=encode_error(reason), retry_after=RETRY_AFTER_SECONDS
    )
