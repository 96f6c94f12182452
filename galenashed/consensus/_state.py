"""Data exchanged between the consensus core and its caller."""

import enum

from galenashed.protocol import consensus as wire


class Role(enum.Enum):
    """Role of a replica in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Restored:
    """State that a replica reads from disk at startup.

    The membership follows from the snapshot, including the initial one at
    index 0, and from the entries after it.
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
    """Output to be written to disk, then sent, then applied, in that order.

    ``hard_state`` is None if it has not changed.  ``snapshot`` is set if a
    snapshot from the leader replaces the state; its bytes are in
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
    def must_persist(self) -> bool:
        """Whether any state must be written to disk before sending."""
        return bool(self.hard_state or self.entries or self.snapshot)
