"""Clients of targets: model engines and plain services."""

from galenashed.engines._client import NotSentError
from galenashed.engines._client import TargetClient
from galenashed.engines._client import TargetLostError

__all__ = ["NotSentError", "TargetClient", "TargetLostError"]
