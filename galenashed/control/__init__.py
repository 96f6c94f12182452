"""Replicated control plane: state machine, server and clients.

:class:`ControlStateMachine` is the deterministic state machine of the
replicated log.  It holds release notes (numbered configuration changes),
budgets and grants, claims of non-idempotent calls and the audit trail.
:class:`ControlServer` runs one replica.  Entries, the processes that accept
callers' requests, and operators reach the replicas by :class:`ControlClient`.
"""

from galenashed.control._budgets import UnannouncedGrant
from galenashed.control._client import ControlClient
from galenashed.control._client import ControlUnavailableError
from galenashed.control._client import FeedClient
from galenashed.control._evacuations import find_old_build
from galenashed.control._notes import compute_digest
from galenashed.control._notes import merge as merge_release
from galenashed.control._preview import NotePreview
from galenashed.control._replicas import make_members
from galenashed.control._server import ControlServer
from galenashed.control._state_machine import ControlStateMachine
from galenashed.control._versions import VersionRecords

__all__ = [
    "ControlClient",
    "ControlServer",
    "ControlStateMachine",
    "ControlUnavailableError",
    "FeedClient",
    "NotePreview",
    "UnannouncedGrant",
    "VersionRecords",
    "compute_digest",
    "find_old_build",
    "make_members",
    "merge_release",
]
