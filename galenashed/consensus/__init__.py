"""A replicated log: elections, replication, storage and snapshots.

:class:`Core` is the sans-IO state machine, :class:`Storage` keeps its state
on disk and :class:`Node` is the asyncio task that owns both.  A program that
embeds the log brings a :class:`StateMachine` to apply commands to and a
:class:`Transport` to reach the other replicas.
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
from galenashed.consensus._storage import read_identity
from galenashed.consensus._storage import Storage
from galenashed.consensus._storage import StorageError
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
    "read_identity",
    "remove",
]
