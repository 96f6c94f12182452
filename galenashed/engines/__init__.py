"""Clients of targets: model engines and plain services."""

from galenashed.engines._client import NotSentError
from galenashed.engines._client import TargetClient
from galenashed.engines._client import TargetLostError
from galenashed.engines._connection import AnswerHead
from galenashed.engines._connection import Connection
from galenashed.engines._connection import ConnectionPool

__all__ = [
    "AnswerHead",
    "Connection",
    "ConnectionPool",
    "NotSentError",
    "TargetClient",
    "TargetLostError",
]
