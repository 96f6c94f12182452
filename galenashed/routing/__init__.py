"""Target selection, request queueing and retry budgets.

Everything here is sans-IO and can be embedded.  :class:`Router` tracks the
load and health of an entry's targets and uses a :class:`Balancer` to choose
among the eligible ones, by load, prefix affinity and concurrency limits;
:class:`FairQueue` orders the waiting requests.  :class:`HedgePolicy` decides
which slow requests a second target gets.
"""

from galenashed.routing._balancers import AffinityBalancer
from galenashed.routing._balancers import Balancer
from galenashed.routing._balancers import BALANCERS
from galenashed.routing._balancers import LeastLoadedBalancer
from galenashed.routing._balancers import RandomBalancer
from galenashed.routing._balancers import RoundRobinBalancer
from galenashed.routing._balancers import StrictAffinityBalancer
from galenashed.routing._cold_limits import ColdLimits
from galenashed.routing._group import TargetStats
from galenashed.routing._hedging import HedgeKey
from galenashed.routing._hedging import HedgePolicy
from galenashed.routing._hedging import HedgeRefusal
from galenashed.routing._hedging import ServiceState
from galenashed.routing._hedging import SlowRequest
from galenashed.routing._queue import FairQueue
from galenashed.routing._queue import QueueFullError
from galenashed.routing._retries import RetryBudget
from galenashed.routing._retry_times import RetryTimes
from galenashed.routing._retry_times import Room
from galenashed.routing._router import make_router
from galenashed.routing._router import Router
from galenashed.routing._router import TargetRequirements
from galenashed.routing._target_limits import TargetLimits

__all__ = [
    "BALANCERS",
    "AffinityBalancer",
    "Balancer",
    "ColdLimits",
    "FairQueue",
    "HedgeKey",
    "HedgePolicy",
    "HedgeRefusal",
    "LeastLoadedBalancer",
    "QueueFullError",
    "RandomBalancer",
    "RetryBudget",
    "RetryTimes",
    "Room",
    "RoundRobinBalancer",
    "Router",
    "ServiceState",
    "SlowRequest",
    "StrictAffinityBalancer",
    "TargetLimits",
    "TargetRequirements",
    "TargetStats",
    "make_router",
]
