"""Which replicas take part, as the log says.

An entry may carry a new membership.  It counts from the moment the entry is
appended, and counts no more if the entry is dropped again.
"""

from galenashed.protocol import consensus as wire

Members = tuple[wire.Member, ...]


class MembershipError(Exception):
    """The membership can't be changed that way now; the message says why."""


class Membership:
    """The membership now, and those before it that may come back.

    Parameters
    ----------
    base : SnapshotMeta
        Holds the membership before the first entry.
    entries : list of Entry
        The entries after it.

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
        """The index of the entry that brought the membership."""
        return self._history[-1][0]

    @property
    def members(self) -> Members:
        return self._history[-1][1]

    def get(self, name: str) -> wire.Member | None:
        """Returns a replica's record."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def at(self, index: int) -> Members:
        """Returns the membership that counted at ``index``."""
        found = self._history[0][1]
        for since, members in self._history:
            if since <= index:
                found = members
        return found

    def reset(self, meta: wire.SnapshotMeta) -> None:
        """Starts again from a snapshot."""
        self._history = [(meta.index, meta.members)]
        self._refresh()

    def append(self, entries: list[wire.Entry]) -> None:
        """Takes entries that were appended to the log."""
        fresh = [(e.index, e.members) for e in entries if e.members]
        if fresh:
            self._history.extend(fresh)
            self._refresh()

    def drop_from(self, index: int) -> None:
        """Forgets what entries from ``index`` on brought."""
        kept = [item for item in self._history if item[0] < index]
        if len(kept) < len(self._history):
            self._history = kept
            self._refresh()

    def compact(self, index: int) -> None:
        """Forgets what only the entries before ``index`` needed."""
        members = self.at(index)
        later = [item for item in self._history if item[0] > index]
        since = max(s for s, _ in self._history if s <= index)
        self._history = [(since, members), *later]

    def _refresh(self) -> None:
        self.names = [member.name for member in self.members]
        self.voters = voters_of(self.members)


def voters_of(members: Members) -> set[str]:
    """Returns the names of those that vote."""
    return {member.name for member in members if not member.learner}


def check_leader_stays(leader: str, voters: set[str]) -> None:
    """Raises MembershipError if a leader would remove itself."""
    if leader not in voters:
        raise MembershipError(
            f"{leader!r} leads and can't be removed; stop it first"
        )


def add_learner(members: Members, name: str, address: str) -> Members:
    """Returns the membership with a new replica that has no vote."""
    if any(member.name == name for member in members):
        raise MembershipError(
            f"name: {name!r} takes part already; a replica that has lost"
            " its disk needs a new name"
        )
    learner = wire.Member(name, address, learner=True)
    return (*members, learner)


def promote(members: Members, name: str) -> Members:
    """Returns the membership with a learner made a voter."""
    _find(members, name)
    return tuple(
        wire.Member(member.name, member.address)
        if member.name == name
        else member
        for member in members
    )


def remove(members: Members, name: str) -> Members:
    """Returns the membership without a replica."""
    _find(members, name)
    return tuple(member for member in members if member.name != name)


def _find(members: Members, name: str) -> wire.Member:
    for member in members:
        if member.name == name:
            return member
    allowed = ", ".join(member.name for member in members)
    raise MembershipError(f"name: {name!r}; allowed: {allowed}")
