"""Requests of any HTTP service, by routes, from callers to targets.

:class:`Gateway` admits a request by the routing table in force, sets prepaid
tokens aside, chooses a target, and passes the answer on.  How callers and
targets write their messages is another's concern, behind :class:`Dialect`
and :class:`Sink`.
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
