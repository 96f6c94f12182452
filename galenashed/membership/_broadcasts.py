"""What an entry still tells others: a sans-IO account of news.

News is passed on for a few rounds by everybody that hears it, so that it
reaches all in a time that grows with the logarithm of their number, while
each sends to few.  A change of state is told longer than a sign of life, and
signs of life of one name are told at most once an interval.
"""

CHANGE_ROUNDS = 4
REFRESH_ROUNDS = 2
# Seconds; several times shorter than the leases that it renews.
REFRESH_SECONDS = 1.0


class BroadcastQueue:
    """Names whose news is still to be told, and for how many rounds.

    Example::

        broadcasts = BroadcastQueue()
        broadcasts.note("engine-1", changed=True, now=0.0)
        assert broadcasts.next_batch() == ["engine-1"]
    """

    __slots__ = ("_rounds", "_told_at")

    def __init__(self) -> None:
        self._rounds: dict[str, int] = {}
        self._told_at: dict[str, float] = {}

    def note(self, name: str, *, changed: bool, now: float) -> None:
        """Takes news of a name."""
        if changed:
            self._rounds[name] = CHANGE_ROUNDS
        elif now - self._told_at.get(name, -REFRESH_SECONDS) < (
            REFRESH_SECONDS
        ):
            return
        else:
            held = self._rounds.get(name, 0)
            self._rounds[name] = max(held, REFRESH_ROUNDS)
        self._told_at[name] = now

    def next_batch(self) -> list[str]:
        """Returns the names to tell in this round."""
        names = list(self._rounds)
        for name in names:
            self._rounds[name] -= 1
            if not self._rounds[name]:
                del self._rounds[name]
        return names

    def retain(self, kept: set[str]) -> None:
        """Drops what is kept of other names."""
        for name in set(self._told_at) - kept:
            del self._told_at[name]
            self._rounds.pop(name, None)
