"""Sans-IO queue of the updates that an entry still has to gossip.

Every entry that receives an update forwards it for a few rounds, so that it
reaches all entries in a time logarithmic in their number, although each sends
to only a few.  State changes are forwarded for more rounds than heartbeats,
and heartbeats of one name are queued at most once per interval.
"""

CHANGE_ROUNDS = 4
REFRESH_ROUNDS = 2
# Minimum time between heartbeats of one name; several times shorter than the
# leases that they renew.
REFRESH_SECONDS = 1.0


class BroadcastQueue:
    """Names with updates to send, and the rounds left for each.

    Example::

        broadcasts = BroadcastQueue()
        broadcasts.add("engine-1", changed=True, now=0.0)
        assert broadcasts.next_batch() == ["engine-1"]
    """

    __slots__ = ("_queued_at", "_rounds_left")

    def __init__(self) -> None:
        self._rounds_left: dict[str, int] = {}
        self._queued_at: dict[str, float] = {}

    def add(self, name: str, *, changed: bool, now: float) -> None:
        """Queues an update of a name: a state change or a heartbeat."""
        if changed:
            self._rounds_left[name] = CHANGE_ROUNDS
        elif now - self._queued_at.get(name, -REFRESH_SECONDS) < (
            REFRESH_SECONDS
        ):
            return
        else:
            rounds_left = self._rounds_left.get(name, 0)
            self._rounds_left[name] = max(rounds_left, REFRESH_ROUNDS)
        self._queued_at[name] = now

    def next_batch(self) -> list[str]:
        """Returns the names to send in this round."""
        names = list(self._rounds_left)
        for name in names:
            self._rounds_left[name] -= 1
            if not self._rounds_left[name]:
                del self._rounds_left[name]
        return names

    def retain(self, names: set[str]) -> None:
        """Removes all names not in ``names``."""
        for name in set(self._queued_at) - names:
            del self._queued_at[name]
            self._rounds_left.pop(name, None)
