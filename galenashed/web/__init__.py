"""HTTP servers with connection limits, and errors of the model API."""

from galenashed.web._errors import ApiError
from galenashed.web._errors import ExecutionStatus
from galenashed.web._errors import UNREAD_BODY_STATUSES
from galenashed.web._guard import ConnectionLimits
from galenashed.web._guard import MAX_HEAD_BYTES
from galenashed.web._guard import MAX_HELD_BYTES
from galenashed.web._guard import STALL_SECONDS
from galenashed.web._send_queues import SendQueue
from galenashed.web._server import HttpServer

__all__ = [
    "MAX_HEAD_BYTES",
    "MAX_HELD_BYTES",
    "STALL_SECONDS",
    "UNREAD_BODY_STATUSES",
    "ApiError",
    "ConnectionLimits",
    "ExecutionStatus",
    "HttpServer",
    "SendQueue",
]
