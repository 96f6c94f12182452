"""Reverse proxy that routes requests of HTTP services to targets.

:class:`Gateway` admits a request by the current routing table, reserves
prepaid tokens, chooses a target and forwards its response.  It does not
depend on the message formats of callers and targets, which are implemented
behind :class:`TargetCodec` and :class:`ResponseWriter`.
"""

from galenashed.gateway._forwarding import PeerFinder
from galenashed.gateway._handler import Gateway
from galenashed.gateway._origins import MAX_ORIGIN_RECORDS
from galenashed.gateway._origins import OriginFinder
from galenashed.gateway._origins import OriginRecords
from galenashed.gateway._overload import Flow
from galenashed.gateway._overload import Limits
from galenashed.gateway._overload import LoadShedder
from galenashed.gateway._overload import Sample
from galenashed.gateway._prepaid import PrepaidReserver
from galenashed.gateway._request import Attempt
from galenashed.gateway._request import PromptPart
from galenashed.gateway._request import Request
from galenashed.gateway._request import ResponseWriter
from galenashed.gateway._request import TargetCodec
from galenashed.gateway._request import TargetResponse
from galenashed.gateway._request import TokenUsage
from galenashed.gateway._stop import PlannedStop
from galenashed.gateway._table import hash_key
from galenashed.gateway._table import RouteIndex
from galenashed.gateway._target import TargetState
from galenashed.gateway._targets import Targets

__all__ = [
    "MAX_ORIGIN_RECORDS",
    "Attempt",
    "Flow",
    "Gateway",
    "Limits",
    "LoadShedder",
    "OriginFinder",
    "OriginRecords",
    "PeerFinder",
    "PlannedStop",
    "PrepaidReserver",
    "PromptPart",
    "Request",
    "ResponseWriter",
    "RouteIndex",
    "Sample",
    "TargetCodec",
    "TargetResponse",
    "TargetState",
    "Targets",
    "TokenUsage",
    "hash_key",
]
