"""Refusals and failures, in the error form of the model API.

Every error says whether the request was run, which tells the caller whether
asking again may run it twice.
"""

import enum
import math

import blacksheep
import msgspec

JSON = b"application/json"
# Refusals of requests whose body was not read to its end.
UNREAD_STATUSES = (408, 413)


class ExecutionStatus(enum.Enum):
    """Whether a request was run by a target."""

    NOT_RUN = "not run"
    RUN = "run"
    UNKNOWN = "unknown"


class ApiError(Exception):
    """An answer that is not what the caller asked for.

    Parameters
    ----------
    status : int
        The HTTP status.
    code : str
        A stable word for programs.
    message : str
        What is wrong and what would be right.
    run : ExecutionStatus
        Whether the request was run.
    retry_after : float or None
        Seconds after which asking again makes sense; None if it does not.
    """

    def __init__(
        self,
        *,
        status: int,
        code: str,
        message: str,
        run: ExecutionStatus = ExecutionStatus.NOT_RUN,
        retry_after: float | None = None,
    ):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.run = run
        self.retry_after = retry_after

    def body(self) -> bytes:
        """Returns the JSON body."""
        kind = "invalid_request_error" if self.status < 500 else "api_error"
        error = {
            "message": self.message,
            "type": kind,
            "param": None,
            "code": self.code,
            "run": self.run.value,
        }
        return msgspec.json.encode({"error": error})


def error_response(
    error: ApiError, request_id: str = ""
) -> blacksheep.Response:
    """Returns the response that tells a caller of an error."""
    retry = error.retry_after is not None
    headers = [
        (b"Galenashed-Run", error.run.value.encode()),
        (b"X-Should-Retry", b"true" if retry else b"false"),
    ]
    if error.retry_after is not None:
        seconds = max(1, math.ceil(error.retry_after))
        headers.append((b"Retry-After", str(seconds).encode()))
    if error.status in UNREAD_STATUSES:
        # The rest of the body is not waited for.
        headers.append((b"Connection", b"close"))
    if request_id:
        headers.append((b"X-Request-Id", request_id.encode()))
    content = blacksheep.Content(JSON, error.body())
    return blacksheep.Response(error.status, headers, content)
