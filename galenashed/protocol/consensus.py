"""Messages of the replicated log.

Every message carries the sender's term.  Indexes start at 1; index 0 is the
empty log.
"""

import msgspec


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A replica; a ``learner`` follows the log and has no vote."""

    name: str
    address: str = ""
    learner: bool = False


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One record of the replicated log; ``data`` is opaque to the log.

    ``members``, if any, take part from this entry on.
    """

    index: int
    term: int
    data: bytes
    members: tuple[Member, ...] = ()


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """What a replica must remember across a restart besides its log."""

    term: int = 0
    voted_for: str = ""
    commit: int = 0


class SnapshotMeta(msgspec.Struct, array_like=True, frozen=True):
    """The last log position that a snapshot covers, and who took part."""

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()


class Hello(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Begins a stream; says where answers to its sender go."""

    sender: str
    address: str


class VoteRequest(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Asks for a vote, or with ``pre`` whether a vote would be given."""

    sender: str
    term: int
    last_index: int
    last_term: int
    pre: bool


class VoteReply(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Answers a :class:`VoteRequest` of the same ``term`` and ``pre``."""

    sender: str
    term: int
    granted: bool
    pre: bool


class Append(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Replicates entries; with none it is a heartbeat."""

    sender: str
    term: int
    prev_index: int
    prev_term: int
    commit: int
    entries: list[Entry]


class AppendReply(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Answers an :class:`Append`.

    ``index`` is the last index known to match the leader's log if ``ok``,
    else the highest index that the leader should try next.  ``prev_index``
    is that of the append that is refused.
    """

    sender: str
    term: int
    ok: bool
    index: int
    prev_index: int = 0


class SnapshotChunk(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """A part of a snapshot; ``offset`` in bytes."""

    sender: str
    term: int
    meta: SnapshotMeta
    offset: int
    data: bytes
    last: bool


class SnapshotReply(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Says how many bytes of the snapshot at ``index`` the sender holds."""

    sender: str
    term: int
    index: int
    offset: int


Message = (
    VoteRequest
    | VoteReply
    | Append
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
)
