"""How old messages may be that a process reads after it was paused.

Addresses the load after a process was frozen: messages of many seconds wait in
its sockets, also those of announcers that were lost meanwhile.  Their ages
count from when they were sent, so that these would be taken for just heard.
"""

# A shorter stall is no pause: leases allow for it.
MIN_PAUSE_SECONDS = 1.0
# What waited is read within this time.
BACKLOG_SECONDS = 1.0


class Pauses:
    """Detects pauses by calls that are due several times a second."""

    __slots__ = ("_backlog_age", "_backlog_until", "_called_at")

    def __init__(self) -> None:
        self._called_at: float | None = None
        self._backlog_until = float("-inf")
        self._backlog_age = 0.0

    def update(self, now: float) -> None:
        """Notes that the process runs."""
        if self._called_at is not None:
            pause = now - self._called_at
            if pause >= MIN_PAUSE_SECONDS:
                self._backlog_until = now + BACKLOG_SECONDS
                self._backlog_age = pause
        self._called_at = now

    def max_delay(self, now: float) -> float:
        """Returns for how long a message may have waited, in seconds."""
        self.update(now)
        return self._backlog_age if now < self._backlog_until else 0.0
