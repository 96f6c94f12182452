"""Estimates how long control takes to provide tokens; does no I/O.

The load that this addresses: control commits within milliseconds most of the
time, but takes many times as long while its leader is frozen, replaced or
overloaded.  A fixed time to wait is then either too short or needlessly long.
"""

# Smoothing of round trips and of their deviation, and the deviations that are
# added to the mean: those of TCP's retransmission timer (RFC 6298).
MEAN_GAIN = 1.0 / 8.0
DEVIATION_GAIN = 1.0 / 4.0
DEVIATIONS = 4.0
# Assumed before any round trip has been measured, and the least estimate: a
# commit on two disks within a region.
INITIAL_SECONDS = 0.1
MIN_SECONDS = 0.02
# Tokens take a grant, and an announcement of limits beyond it or a recall at
# other instances before it.
TRIPS = 2


class RoundTrips:
    """Measures how long commands to control take.

    Commands are identified by any hashable key; times are in seconds on a
    monotonic clock.

    Example::

        trips = RoundTrips()
        trips.on_sent("entry-1/7f3a/1", now=1.0)
        trips.on_answered("entry-1/7f3a/1", now=1.03)
        trips.seconds_until_tokens(now=1.1)
    """

    __slots__ = ("_deviation", "_mean", "_sent")

    def __init__(self) -> None:
        self._mean: float | None = None
        self._deviation = 0.0
        # When the unanswered commands were sent, oldest first.
        self._sent: dict[object, float] = {}

    def on_sent(self, key: object, now: float) -> None:
        """Records that a command was sent."""
        self._sent.setdefault(key, now)

    def on_answered(self, key: object, now: float) -> None:
        """Records the answer to a command."""
        sent_at = self._sent.pop(key, None)
        if sent_at is None:
            return
        seconds = now - sent_at
        if self._mean is None:
            self._mean, self._deviation = seconds, seconds / 2
            return
        error = abs(seconds - self._mean)
        self._deviation += DEVIATION_GAIN * (error - self._deviation)
        self._mean += MEAN_GAIN * (seconds - self._mean)

    def on_abandoned(self, key: object) -> None:
        """Forgets a command that nobody waits for any more."""
        self._sent.pop(key, None)

    def estimate(self, now: float) -> float:
        """Returns the time that a command sent now may take.

        It takes at least as long as the oldest one that waits for its answer.
        """
        seconds = INITIAL_SECONDS
        if self._mean is not None:
            seconds = self._mean + DEVIATIONS * self._deviation
        oldest = next(iter(self._sent.values()), now)
        return max(MIN_SECONDS, seconds, now - oldest)

    def seconds_until_tokens(self, now: float) -> float:
        """Returns the time that tokens which are requested now may take."""
        return TRIPS * self.estimate(now)
