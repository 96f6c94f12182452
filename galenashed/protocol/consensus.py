"""Messages and stored records of the replicated log.

Every message of :data:`Message` carries the sender's term.  Log indexes start
at 1; index 0 stands for the empty log.
"""

import msgspec


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A replica; a ``learner`` receives the log but has no vote."""

    name: str
    address: str = ""
    learner: bool = False


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One entry of the replicated log; ``data`` is opaque to consensus.

    An entry with ``members`` changes the membership: they are the members
    from this entry on.
    """

    index: int
    term: int
    data: bytes
    members: tuple[Member, ...] = ()


class HardState(msgspec.Struct, array_like=True, frozen=True):
    """The state that a replica persists in addition to its log."""

    term: int = 0
    voted_for: str = ""
    commit: int = 0


class SnapshotMeta(msgspec.Struct, array_like=True, frozen=True):
    """The last index and term covered by a snapshot, and its members."""

    index: int = 0
    term: int = 0
    members: tuple[Member, ...] = ()


class Hello(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """First message of a stream; gives the address for replies."""

    sender: str
    address: str


class VoteRequest(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Requests a vote or, with ``pre``, a pre-vote."""

    sender: str
    term: int
    last_index: int
    last_term: int
    pre: bool


class VoteReply(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Reply to a :class:`VoteRequest` of the same ``term`` and ``pre``."""

    sender: str
    term: int
    granted: bool
    pre: bool


class Append(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Replicates entries; without entries it is a heartbeat."""

    sender: str
    term: int
    prev_index: int
    prev_term: int
    commit: int
    entries: list[Entry]


class AppendReply(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Reply to an :class:`Append`.

    If ``ok``, ``index`` is the last index known to match the leader's log;
    otherwise it is the highest index that the leader should try next.
    ``prev_index`` is copied from a rejected request.
    """

    sender: str
    term: int
    ok: bool
    index: int
    prev_index: int = 0


class SnapshotChunk(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """A chunk of a snapshot; ``offset`` is in bytes."""

    sender: str
    term: int
    meta: SnapshotMeta
    offset: int
    data: bytes
    last: bool


class SnapshotReply(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Reports how many bytes of the snapshot at ``index`` were received."""

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
