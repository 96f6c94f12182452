"""HTTP clients for targets, which are model engines or other services."""

from galenashed.engines._client import check_complete
from galenashed.engines._client import is_close_delimited
from galenashed.engines._client import NotSentError
from galenashed.engines._client import read_body
from galenashed.engines._client import TargetClient
from galenashed.engines._client import TargetLostError
from galenashed.engines._connection import Connection
from galenashed.engines._connection import ConnectionPool
from galenashed.engines._connection import Framing
from galenashed.engines._connection import ResponseHead
from galenashed.engines._paths import KnownTargets
from galenashed.engines._paths import Paths
from galenashed.engines._paths import Prober
from galenashed.engines._rates import parse_decimal

__all__ = [
    "Connection",
    "ConnectionPool",
    "Framing",
    "KnownTargets",
    "NotSentError",
    "Paths",
    "Prober",
    "ResponseHead",
    "TargetClient",
    "TargetLostError",
    "check_complete",
    "is_close_delimited",
    "parse_decimal",
    "read_body",
]
