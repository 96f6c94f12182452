"""How much longer than usual work takes at a target now; does no I/O.

Addresses targets of different speed, whose reports change many times a second
and reach every entry: if a single report were followed, all entries would send
to the same target, and its next report would send them to another.
"""

import math

USUAL = 1.0
# Time constants of the average of reports, and of its return to the usual
# while no report comes.
AVERAGE_SECONDS = 0.5
FADE_SECONDS = 2.0
# A single report counts for at least this much, however soon it follows.
MIN_WEIGHT = 0.05
# Figures beyond these are not believed.
MIN_SLOWNESS = 0.75
MAX_SLOWNESS = 10.0
# An average this close to the usual is taken for the usual.
NEGLIGIBLE = 0.02


class SlownessAverage:
    """Average of the slowness that a target reports; 1.0 is as usual.

    Times are in seconds on a monotonic clock.

    Example::

        average = SlownessAverage()
        average.add(2.0, now=1.0)
        assert average.value(now=1.0) > average.value(now=3.0) > 1.0
    """

    __slots__ = ("_average", "_reported_at")

    def __init__(self) -> None:
        self._average = USUAL
        self._reported_at: float | None = None

    def add(self, slowness: float, now: float) -> None:
        """Applies a report."""
        reported = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        if self._reported_at is None:
            if reported == USUAL:
                return
            elapsed = AVERAGE_SECONDS
        else:
            elapsed = max(0.0, now - self._reported_at)
        weight = max(MIN_WEIGHT, 1.0 - math.exp(-elapsed / AVERAGE_SECONDS))
        self._average += weight * (reported - self._average)
        self._reported_at = now

    def value(self, now: float) -> float:
        """Returns the average, the closer to 1.0 the older it is."""
        if self._reported_at is None:
            return USUAL
        age = max(0.0, now - self._reported_at)
        excess = (self._average - USUAL) * math.exp(-age / FADE_SECONDS)
        return USUAL if abs(excess) < NEGLIGIBLE else USUAL + excess
