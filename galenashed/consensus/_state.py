"""What a replica of the log reads, writes and knows of others."""

import enum

from galenashed.protocol import consensus as wire


class Role(enum.Enum):
    """What a replica is at the moment."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Restored:
    """What a replica read from its disk at start.

    The membership is that of the snapshot, the one of index 0 included,
    and of the entries after it.
    """

    __slots__ = ("entries", "hard_state", "snapshot", "snapshot_data")

    def __init__(
        self,
        *,
        hard_state: wire.HardState,
        snapshot: wire.SnapshotMeta,
        snapshot_data: bytes,
        entries: list[wire.Entry],
    ):
        self.hard_state = hard_state
        self.snapshot = snapshot
        self.snapshot_data = snapshot_data
        self.entries = entries


class Ready:
    """What must be made durable, then sent, then applied, in that order.

    ``hard_state`` is None if it has not changed.  ``snapshot`` is set if a
    leader's snapshot replaces the state; its bytes are in
    ``snapshot_data``.
    """

    __slots__ = (
        "committed",
        "entries",
        "hard_state",
        "messages",
        "snapshot",
        "snapshot_data",
    )

    def __init__(self):
        self.hard_state: wire.HardState | None = None
        self.entries: list[wire.Entry] = []
        self.snapshot: wire.SnapshotMeta | None = None
        self.snapshot_data = b""
        self.messages: list[tuple[str, wire.Message]] = []
        self.committed: list[wire.Entry] = []

    @property
    def durable(self) -> bool:
        """Whether there is anything to write to disk."""
        return bool(self.hard_state or self.entries or self.snapshot)
