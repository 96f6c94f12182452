"""HTTP clients for targets, which are model engines or other services."""

from galenashed.engines._connection import Connection
from galenashed.engines._connection import ConnectionPool
from galenashed.engines._connection import Framing
from galenashed.engines._connection import ResponseHead
from galenashed.engines._errors import NotSentError
from galenashed.engines._errors import TargetLostError
from galenashed.engines._paths import KnownTargets
from galenashed.engines._paths import Paths
from galenashed.engines._paths import Prober
from galenashed.engines._rates import parse_decimal
from galenashed.engines._sockets import accepts_connections
from galenashed.engines._sockets import enable_keepalive
from galenashed.engines._statuses import is_final_status

__all__ = [
    "Connection",
    "ConnectionPool",
    "Framing",
    "KnownTargets",
    "NotSentError",
    "Paths",
    "Prober",
    "ResponseHead",
    "TargetLostError",
    "accepts_connections",
    "enable_keepalive",
    "is_final_status",
    "parse_decimal",
]
