"""Error responses of blacksheep applications."""

import math

import blacksheep

from galenashed import web

JSON_CONTENT_TYPE = b"application/json"


def error_response(
    error: web.ApiError, request_id: str = ""
) -> blacksheep.Response:
    """Returns the HTTP response for an error."""
    should_retry = error.retry_after is not None
    headers = [
        (b"Galenashed-Run", error.execution_status.value.encode()),
        (b"X-Should-Retry", b"true" if should_retry else b"false"),
    ]
    if error.retry_after is not None:
        seconds = max(1, math.ceil(error.retry_after))
        headers.append((b"Retry-After", str(seconds).encode()))
    if error.status in web.UNREAD_BODY_STATUSES:
        # The rest of the body is not read, so the connection is not reusable.
        headers.append((b"Connection", b"close"))
    if request_id:
        headers.append((b"X-Request-Id", request_id.encode()))
    content = blacksheep.Content(JSON_CONTENT_TYPE, error.to_json())
    return blacksheep.Response(error.status, headers, content)
