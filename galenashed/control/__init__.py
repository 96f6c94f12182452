"""The replicated control state and the daemon that serves it.

:class:`ControlStateMachine` is the deterministic state that the log is applied
to: release notes, budgets and grants, claims of non-idempotent calls and the
audit trail.  :class:`ControlServer` is a replica as a set of asyncio tasks,
:class:`ControlClient` how entries and operators reach the replicas.
"""

from galenashed.control._client import ControlClient
from galenashed.control._client import ControlUnavailableError
from galenashed.control._client import FeedClient
from galenashed.control._notes import compute_digest
from galenashed.control._notes import merge as merge_release
from galenashed.control._replicas import make_members
from galenashed.control._server import ControlServer
from galenashed.control._state_machine import ControlStateMachine

__all__ = [
    "ControlClient",
    "ControlServer",
    "ControlStateMachine",
    "ControlUnavailableError",
    "FeedClient",
    "compute_digest",
    "make_members",
    "merge_release",
]
