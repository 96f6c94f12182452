"""HTTP servers with connection limits, and errors of the model API."""

from galenashed.web._errors import ApiError
from galenashed.web._errors import ExecutionStatus
from galenashed.web._errors import UNREAD_BODY_STATUSES
from galenashed.web._send_queues import SendQueue
from galenashed.web._server import HttpServer

__all__ = [
    "UNREAD_BODY_STATUSES",
    "ApiError",
    "ExecutionStatus",
    "HttpServer",
    "SendQueue",
]
