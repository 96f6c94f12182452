"""How much processor time a process uses."""

import resource
import typing

SAMPLE_SECONDS = 1.0
# Weight of the newest second against those before.
WEIGHT = 0.4


def processor_seconds() -> float:
    """Returns the processor time that this process has used, in seconds."""
    # Not ``time.process_time``: where clocks are virtual it may count time
    # that passes, while the kernel's account counts what was used.
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class ProcessorMeter:
    """Smoothed processor time a second.

    Parameters
    ----------
    spent : callable
        Returns the seconds used so far.

    Example::

        meter = ProcessorMeter()
        meter.used(now=0.0)
        cores = meter.used(now=1.0)
    """

    __slots__ = ("_at", "_read", "_spent", "_used")

    def __init__(
        self, *, spent: typing.Callable[[], float] = processor_seconds
    ):
        self._read = spent
        self._at: float | None = None
        self._spent = 0.0
        self._used = 0.0

    def used(self, *, now: float) -> float:
        """Returns cores in use; ``now`` is of the monotonic clock."""
        if self._at is None:
            self._at, self._spent = now, self._read()
        elif now - self._at >= SAMPLE_SECONDS:
            spent = self._read()
            newest = (spent - self._spent) / (now - self._at)
            self._used += WEIGHT * (newest - self._used)
            self._at, self._spent = now, spent
        return round(self._used, 4)
