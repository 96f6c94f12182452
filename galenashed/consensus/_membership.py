"""Cluster membership as recorded in the log.

An entry may carry a new membership.  It takes effect as soon as the entry is
appended, and is reverted if the entry is truncated.
"""

from galenashed.protocol import consensus as wire

Members = tuple[wire.Member, ...]


class MembershipError(Exception):
    """The membership change is not possible now; the message says why."""


class Membership:
    """Current membership, and earlier ones that a truncation may restore.

    Parameters
    ----------
    base : SnapshotMeta
        Snapshot with the membership before the first entry.
    entries : list of Entry
        Log entries after the snapshot.

    Example::

        base = wire.SnapshotMeta(members=(wire.Member("c1"),))
        membership = Membership(base=base, entries=[])
        assert membership.voters == {"c1"}
    """

    __slots__ = ("_history", "names", "voters")

    def __init__(self, *, base: wire.SnapshotMeta, entries: list[wire.Entry]):
        self._history: list[tuple[int, Members]] = []
        self.names: list[str] = []
        self.voters: set[str] = set()
        self.reset(base)
        self.append(entries)

    @property
    def index(self) -> int:
        """Index of the entry that carries the current membership."""
        return self._history[-1][0]

    @property
    def members(self) -> Members:
        return self._history[-1][1]

    def get(self, name: str) -> wire.Member | None:
        """Returns the member of that name, or None."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def members_at(self, index: int) -> Members:
        """Returns the membership in effect at ``index``."""
        found = self._history[0][1]
        for start, members in self._history:
            if start <= index:
                found = members
        return found

    def reset(self, meta: wire.SnapshotMeta) -> None:
        """Replaces the history by the membership of a snapshot."""
        self._history = [(meta.index, meta.members)]
        self._refresh()

    def append(self, entries: list[wire.Entry]) -> None:
        """Applies memberships from entries that were appended to the log."""
        changes = [(e.index, e.members) for e in entries if e.members]
        if changes:
            self._history.extend(changes)
            self._refresh()

    def truncate_from(self, index: int) -> None:
        """Reverts memberships from entries at ``index`` and above."""
        kept = [item for item in self._history if item[0] < index]
        if len(kept) < len(self._history):
            self._history = kept
            self._refresh()

    def compact(self, index: int) -> None:
        """Discards memberships that ended before ``index``."""
        members = self.members_at(index)
        later = [item for item in self._history if item[0] > index]
        start = max(s for s, _ in self._history if s <= index)
        self._history = [(start, members), *later]

    def _refresh(self) -> None:
        self.names = [member.name for member in self.members]
        self.voters = voter_names(self.members)


def voter_names(members: Members) -> set[str]:
    """Returns the names of the members that are not learners."""
    return {member.name for member in members if not member.learner}


def check_leader_not_removed(leader: str, voters: set[str]) -> None:
    """Raises MembershipError if the leader is not among the voters."""
    if leader not in voters:
        raise MembershipError(
            f"{leader!r} is the leader and cannot be removed; stop it first"
        )


def add_learner(members: Members, name: str, address: str) -> Members:
    """Returns the membership with a new non-voting replica added."""
    if any(member.name == name for member in members):
        raise MembershipError(
            f"name: {name!r} is already a member; a replica that has lost"
            " its disk needs a new name"
        )
    learner = wire.Member(name, address, learner=True)
    return (*members, learner)


def promote(members: Members, name: str) -> Members:
    """Returns the membership with a learner promoted to voter."""
    _require_member(members, name)
    return tuple(
        wire.Member(member.name, member.address)
        if member.name == name
        else member
        for member in members
    )


def remove(members: Members, name: str) -> Members:
    """Returns the membership with a replica removed."""
    _require_member(members, name)
    return tuple(member for member in members if member.name != name)


def _require_member(members: Members, name: str) -> wire.Member:
    for member in members:
        if member.name == name:
            return member
    allowed = ", ".join(member.name for member in members)
    raise MembershipError(f"name: {name!r}; allowed: {allowed}")
