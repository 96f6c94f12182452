"""Reverse proxy that routes requests of HTTP services to targets.

:class:`Gateway` admits a request by the current routing table, reserves
prepaid tokens, chooses a target and forwards its response.  It does not
depend on the message formats of callers and targets, which are implemented
behind :class:`Dialect` and :class:`Sink`.
"""

from galenashed.gateway._handler import Gateway
from galenashed.gateway._prepaid import PrepaidAccounts
from galenashed.gateway._request import Attempt
from galenashed.gateway._request import Dialect
from galenashed.gateway._request import Part
from galenashed.gateway._request import Request
from galenashed.gateway._request import Sink
from galenashed.gateway._request import TargetAnswer
from galenashed.gateway._request import Usage
from galenashed.gateway._table import hash_key
from galenashed.gateway._table import Routing
from galenashed.gateway._targets import Targets
from galenashed.gateway._targets import TargetState

__all__ = [
    "Attempt",
    "Dialect",
    "Gateway",
    "Part",
    "PrepaidAccounts",
    "Request",
    "Routing",
    "Sink",
    "TargetAnswer",
    "TargetState",
    "Targets",
    "Usage",
    "hash_key",
]
