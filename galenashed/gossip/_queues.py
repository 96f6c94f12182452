"""Queues of what an entry sends in compact rounds."""

# Rounds in which a changed announcement is sent.
CHANGE_ROUNDS = 2
# Announcements in one message.
MAX_ANNOUNCEMENTS = 100


class Changes:
    """Names whose announcements are sent whole for a few rounds."""

    __slots__ = ("_rounds_left",)

    def __init__(self) -> None:
        self._rounds_left: dict[str, int] = {}

    def __bool__(self) -> bool:
        return bool(self._rounds_left)

    def add(self, name: str) -> None:
        """Queues a name, also if it is queued already."""
        # The latest change comes last.
        self._rounds_left.pop(name, None)
        self._rounds_left[name] = CHANGE_ROUNDS

    def next_batch(self) -> list[str]:
        """Returns the names to send in this round."""
        names = list(self._rounds_left)[:MAX_ANNOUNCEMENTS]
        for name in names:
            self._rounds_left[name] -= 1
            if not self._rounds_left[name]:
                del self._rounds_left[name]
        return names

    def retain(self, names: set[str]) -> None:
        """Removes all names not in ``names``."""
        for name in self._rounds_left.keys() - names:
            del self._rounds_left[name]


class Renewals:
    """Names whose heartbeats are to be forwarded once.

    Targets announce themselves more often than needed, and to any entry.
    ``min_gap`` limits how often announcements of one name begin to spread;
    what others have begun to spread is always passed on.
    """

    __slots__ = ("_forwarded_at", "_names", "min_gap")

    def __init__(self, *, min_gap: float = 0.0):
        self.min_gap = min_gap
        self._names: dict[str, None] = {}
        self._forwarded_at: dict[str, float] = {}

    def begin(self, name: str, now: float) -> None:
        """Queues a name that its announcer has renewed, if it is time."""
        if now - self._forwarded_at.get(name, -self.min_gap) >= self.min_gap:
            self.forward(name, now)

    def forward(self, name: str, now: float) -> None:
        """Queues a name that another entry has renewed."""
        self._forwarded_at[name] = now
        self._names[name] = None

    def next_batch(self) -> list[str]:
        """Returns the names to forward in this round."""
        names = list(self._names)
        self._names.clear()
        return names

    def retain(self, names: set[str]) -> None:
        """Removes all names not in ``names``."""
        for name in self._forwarded_at.keys() - names:
            del self._forwarded_at[name]
            self._names.pop(name, None)


class Repairs:
    """What single entries are sent because they lack it."""

    __slots__ = ("instances", "list_all", "targets", "wanted")

    def __init__(self) -> None:
        self.instances: dict[str, None] = {}
        self.targets: dict[str, None] = {}
        self.wanted: dict[int, None] = {}
        self.list_all = False
