"""The rate of events."""

import math


class RateMeter:
    """Computes a moving average of the events per second.

    Times are in seconds on one monotonic clock.

    Parameters
    ----------
    seconds : float
        Time constant of the average: what is that old counts for a third.

    Example::

        meter = RateMeter(seconds=5.0)
        meter.add(now=0.1)
        rate = meter.value(now=1.0)
    """

    __slots__ = ("_updated_at", "_weight", "seconds")

    def __init__(self, *, seconds: float):
        self.seconds = seconds
        self._weight = 0.0
        self._updated_at = 0.0

    def add(self, now: float, count: float = 1.0) -> None:
        """Records one or more events."""
        self._decay(now)
        self._weight += count

    def value(self, now: float) -> float:
        """Returns the events per second."""
        self._decay(now)
        return self._weight / self.seconds

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._weight *= math.exp(-elapsed / self.seconds)
        self._updated_at = now
