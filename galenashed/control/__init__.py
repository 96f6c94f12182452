"""The replicated control state and the daemon that serves it.

:class:`ControlMachine` is the deterministic state that the log is applied
to: release notes, budgets and grants, claims of non-idempotent calls and the
audit trail.  :class:`ControlServer` is a replica as a set of asyncio tasks,
:class:`ControlClient` how entries and operators reach the replicas.
"""

from galenashed.control._client import ControlClient
from galenashed.control._client import ControlUnavailableError
from galenashed.control._client import Follow
from galenashed.control._machine import ControlMachine
from galenashed.control._notes import digest_of
from galenashed.control._notes import merge as merge_release
from galenashed.control._replicas import members_of
from galenashed.control._server import ControlServer

__all__ = [
    "ControlClient",
    "ControlMachine",
    "ControlServer",
    "ControlUnavailableError",
    "Follow",
    "digest_of",
    "members_of",
    "merge_release",
]
