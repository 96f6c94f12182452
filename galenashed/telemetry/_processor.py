"""Measures the processor time that a process uses."""

import resource
import typing

MIN_SAMPLE_SECONDS = 1.0
# Weight of the newest sample in the exponential moving average.
SMOOTHING_FACTOR = 0.4


def processor_seconds() -> float:
    """Returns the processor time that this process has used, in seconds."""
    # Not time.process_time, which may include time in which the process did
    # not run if the clock is virtualized; getrusage returns the CPU time
    # that the kernel accounted to the process.
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


class ProcessorMeter:
    """Computes a moving average of the processor cores in use.

    Parameters
    ----------
    read_seconds : callable
        Returns the processor time used so far, in seconds.

    Example::

        meter = ProcessorMeter()
        meter.cores_used(now=0.0)
        cores = meter.cores_used(now=1.0)
    """

    __slots__ = (
        "_last_sample_at",
        "_read_seconds",
        "_sampled_seconds",
        "_smoothed_cores",
    )

    def __init__(
        self, *, read_seconds: typing.Callable[[], float] = processor_seconds
    ):
        self._read_seconds = read_seconds
        self._last_sample_at: float | None = None
        self._sampled_seconds = 0.0
        self._smoothed_cores = 0.0

    def cores_used(self, *, now: float) -> float:
        """Returns the cores in use; ``now`` is a time of a monotonic clock."""
        if self._last_sample_at is None:
            self._last_sample_at, self._sampled_seconds = (
                now,
                self._read_seconds(),
            )
        elif now - self._last_sample_at >= MIN_SAMPLE_SECONDS:
            seconds = self._read_seconds()
            recent_cores = (seconds - self._sampled_seconds) / (
                now - self._last_sample_at
            )
            self._smoothed_cores += SMOOTHING_FACTOR * (
                recent_cores - self._smoothed_cores
            )
            self._last_sample_at, self._sampled_seconds = now, seconds
        return round(self._smoothed_cores, 4)
