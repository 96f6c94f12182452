"""Replicated log: leader election, replication, storage and snapshots.

:class:`Core` is the sans-IO consensus core, :class:`Storage` keeps
its state on disk, and :class:`Node` runs both in an asyncio task.  The
embedding program provides a :class:`StateMachine`, to which committed
commands are applied, and a :class:`Transport` to the other replicas.
"""

from galenashed.consensus._core import Core
from galenashed.consensus._membership import add_learner
from galenashed.consensus._membership import Members
from galenashed.consensus._membership import MembershipError
from galenashed.consensus._membership import promote
from galenashed.consensus._membership import remove
from galenashed.consensus._node import Node
from galenashed.consensus._node import NotLeaderError
from galenashed.consensus._node import StateMachine
from galenashed.consensus._node import Transport
from galenashed.consensus._state import Ready
from galenashed.consensus._state import Restored
from galenashed.consensus._storage import read_file
from galenashed.consensus._storage import read_identity
from galenashed.consensus._storage import Storage
from galenashed.consensus._storage import StorageError
from galenashed.consensus._storage import write_file
from galenashed.protocol.consensus import Member

__all__ = [
    "Core",
    "Member",
    "Members",
    "MembershipError",
    "Node",
    "NotLeaderError",
    "Ready",
    "Restored",
    "StateMachine",
    "Storage",
    "StorageError",
    "Transport",
    "add_learner",
    "promote",
    "read_file",
    "read_identity",
    "remove",
    "write_file",
]
