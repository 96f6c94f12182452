"""Error responses in the format of the model API.

Every error states whether the request was executed, so that clients know
whether a retry may execute it a second time.
"""

import enum

import msgspec

# Statuses of responses that are sent before the whole body has been read.
UNREAD_BODY_STATUSES = (408, 413)


class ExecutionStatus(enum.Enum):
    """Whether a target executed a request."""

    NOT_RUN = "not run"
    RUN = "run"
    UNKNOWN = "unknown"


class ApiError(Exception):
    """A request failed and is answered with an error response.

    Parameters
    ----------
    status : int
        The HTTP status.
    code : str
        A stable, machine-readable error code.
    message : str
        What is wrong and what is accepted instead.
    execution_status : ExecutionStatus
        Whether the request was executed.
    retry_after : float or None
        Seconds after which the client may retry; None if it should not.
    """

    def __init__(
        self,
        *,
        status: int,
        code: str,
        message: str,
        execution_status: ExecutionStatus = ExecutionStatus.NOT_RUN,
        retry_after: float | None = None,
    ):
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.execution_status = execution_status
        self.retry_after = retry_after

    def to_json(self) -> bytes:
        """Returns the error as a JSON document."""
        error_type = (
            "invalid_request_error" if self.status < 500 else "api_error"
        )
        error = {
            "message": self.message,
            "type": error_type,
            "param": None,
            "code": self.code,
            "run": self.execution_status.value,
        }
        return msgspec.json.encode({"error": error})
