"""The refusal of requests while too many bytes are held."""

from galenashed.web import _errors


async def refuse(scope, receive, send) -> None:
    """ASGI application for requests that begin above the limit."""
    error = make_error()
    body = error.to_json()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", b"%d" % len(body)),
        (b"galenashed-run", error.execution_status.value.encode()),
        (b"retry-after", b"1"),
        (b"connection", b"close"),
    ]
    await send(
        {"type": "http.response.start", "status": 503, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})


def make_error() -> _errors.ApiError:
    return _errors.ApiError(
        status=503,
        code="too_many_held_bytes",
        message="the requests of all connections hold too many bytes",
    )
