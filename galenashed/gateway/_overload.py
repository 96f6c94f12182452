"""Refuses requests before they overload this entry; does no I/O.

Addresses a crowd of callers that sends several times the usual load to an
entry whose link carries less.  Without refusals all responses queue on the
link, arrive after the time limits of their callers, and are asked for again.

An entry passes everything on, so each byte of a request or a response takes
the link once in each direction, and one account serves for both.  Times are
in seconds on one monotonic clock, sizes in bytes.
"""

import random
import typing

from galenashed.gateway import _refusals
from galenashed import telemetry

# Share of the link that requests may use; the rest is for headers of packets,
# acknowledgements and retries.
MAX_LINK_SHARE = 0.92
# Seconds of the link's capacity that may be charged in advance.
MAX_CHARGED_SECONDS = 0.5
# Requests are charged in advance for what they move in so many seconds.
CHARGED_AHEAD_SECONDS = 1.0
# Share of what may be charged in advance that a single request is charged at
# its admission, so that a large one does not shut out all others.
MAX_CREDIT_SHARE = 0.5
# Share of the link that is left to admitted requests whatever else takes it.
MIN_LINK_SHARE = 0.25
# Data that waits in send buffers for longer than the first shows that the link
# carries less than it should; for longer than the second, that the caller does
# not read (see :mod:`galenashed.web`).
MIN_BLOCKED = 8
MIN_BLOCKED_SHARE = 0.25
ADAPT_SECONDS = 0.5
MIN_CAPACITY_FACTOR = 0.1
# Above each share of the memory or of the descriptors, so many requests may
# run at once.
SCARCE_SHARES = ((0.95, 4), (0.85, 16))
# Above this share of the descriptors, connections are closed after their
# responses.
CLOSE_SHARE = 0.85
# Weight of the newest request in the averages of its route.
AVERAGE_WEIGHT = 0.2
# Routes whose averages are kept.
MAX_ROUTES = 1024
MIN_RETRY_AFTER_SECONDS = 0.3
MAX_RETRY_AFTER_SECONDS = 2.0
# Retry-After a refused request for each admitted one.
RETRY_AFTER_PER_REFUSED = 1.0
RATE_SECONDS = 1.0
LINK_RATE_WEIGHT = 0.2


class Limits(typing.NamedTuple):
    """What an entry may use; 0 for what is not known and not judged.

    ``link`` is in bytes a second each way, ``memory`` in bytes.
    """

    link: float = 0.0
    memory: int = 0
    descriptors: int = 0


class Sample(typing.NamedTuple):
    """What an entry uses at one moment.

    ``received_otherwise`` and ``sent_otherwise`` are the bytes exchanged with
    other nodes since the start.  ``waiting_bytes`` is the data to callers that
    waits in send buffers, ``blocked`` the number of connections on which some
    has waited for long.
    """

    memory: int = 0
    descriptors: int = 0
    received_otherwise: int = 0
    sent_otherwise: int = 0
    waiting_bytes: int = 0
    blocked: int = 0


class _RouteAverages:
    """Averages of the bytes that requests move, and of their durations."""

    __slots__ = ("duration", "size")

    def __init__(self, *, size: float, duration: float):
        self.size = size
        self.duration = duration

    def update(self, size: float, duration: float) -> None:
        self.size += AVERAGE_WEIGHT * (size - self.size)
        self.duration += AVERAGE_WEIGHT * (duration - self.duration)

    @property
    def rate(self) -> float:
        """The bytes moved in a second, or in all if that is less."""
        return self.size / max(CHARGED_AHEAD_SECONDS, self.duration)


class Flow:
    """The bytes of an admitted request; see :meth:`LoadShedder.admit`."""

    __slots__ = ("_shedder", "begun_at", "credit", "moved", "rate", "route")

    def __init__(
        self,
        *,
        shedder: "LoadShedder",
        route: str,
        begun_at: float,
        credit: float,
        rate: float,
    ):
        self._shedder = shedder
        self.route = route
        self.begun_at = begun_at
        # Bytes that are charged and have not been moved yet.
        self.credit = credit
        self.rate = rate
        self.moved = 0

    def add(self, size: int, now: float) -> None:
        """Records bytes read from the caller, or written to it."""
        self.moved += size
        self._shedder.moved += size
        self.credit -= size
        if self.credit < 0.0:
            self._shedder.charge(-self.credit, now)
            self.credit = 0.0

    def close(self, now: float) -> None:
        """Ends the request and refunds what it did not move."""
        self._shedder.end(self, now)


class LoadShedder:
    """Decides which requests an entry admits.

    Parameters
    ----------
    limits : Limits
        What the entry may use.  Without limits all requests are admitted.
    metrics : Metrics
        Receives counts of the refusals.
    rng : random.Random
        Spreads the times after which refused callers come back.

    Example::

        flow = shedder.admit("rounds", 1200, now=0.0)
        flow.add(2100, now=0.3)
        flow.close(now=0.4)
    """

    __slots__ = (
        "_adapted_at",
        "_admitted_rate",
        "_averages",
        "_drained_at",
        "_factor",
        "_last_moved",
        "_last_other",
        "_other_rate",
        "_refused_bytes_rate",
        "_refused_rate",
        "_reserved_rate",
        "_sample",
        "_sampled_at",
        "capacity",
        "charged",
        "limits",
        "link_used",
        "metrics",
        "moved",
        "refused",
        "rng",
        "running",
    )

    def __init__(
        self,
        *,
        limits: Limits,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ):
        self.limits = limits
        self.metrics = metrics
        self.rng = rng
        # Bytes that the link is expected to carry soon.
        self.charged = 0.0
        # Bytes a second that requests may move.
        self.capacity = limits.link * MAX_LINK_SHARE
        # Bytes a second each way, in the mean of the last second or two.
        self.link_used = 0.0
        self.running = 0
        # Bytes passed on, and refusals by resource, since the start.
        self.moved = 0.0
        self.refused: dict[str, int] = {}
        self._averages: dict[str, _RouteAverages] = {}
        self._reserved_rate = 0.0
        self._drained_at: float | None = None
        self._factor = 1.0
        self._adapted_at = 0.0
        self._sample = Sample()
        self._sampled_at: float | None = None
        self._last_moved = 0.0
        self._last_other = (0, 0)
        self._other_rate = 0.0
        self._admitted_rate = telemetry.RateMeter(seconds=RATE_SECONDS)
        self._refused_rate = telemetry.RateMeter(seconds=RATE_SECONDS)
        self._refused_bytes_rate = telemetry.RateMeter(seconds=RATE_SECONDS)

    @property
    def memory_used(self) -> int:
        """The memory in use at the last sample, in bytes."""
        return self._sample.memory

    @property
    def descriptors_used(self) -> int:
        """The descriptors in use at the last sample."""
        return self._sample.descriptors

    @property
    def lacks_descriptors(self) -> bool:
        """Whether connections should be closed after their responses."""
        limit = self.limits.descriptors
        return limit > 0 and self._sample.descriptors >= CLOSE_SHARE * limit

    def _update_capacity(self, now: float) -> None:
        if not self.limits.link:
            return
        taken = self._other_rate + self._refused_bytes_rate.value(now)
        share = max(MIN_LINK_SHARE, MAX_LINK_SHARE - taken / self.limits.link)
        self.capacity = self.limits.link * share * self._factor

    def admit(self, route: str, size: int, now: float) -> Flow:
        """Admits a request of ``size`` bytes, as far as that is known.

        Raises ApiError if the entry lacks a resource.  The flow that is
        returned must be closed.
        """
        scarce = self._find_scarce(now)
        if scarce is not None:
            raise self._refuse(scarce, size, now)
        self._admitted_rate.add(now)
        averages = self._averages.get(route)
        rate = 0.0 if averages is None else averages.rate
        credit = min(
            max(float(size), rate * CHARGED_AHEAD_SECONDS),
            self.capacity * MAX_CHARGED_SECONDS * MAX_CREDIT_SHARE,
        )
        self.charge(credit, now)
        self.running += 1
        self._reserved_rate += rate
        return Flow(
            shedder=self, route=route, begun_at=now, credit=credit, rate=rate
        )

    def _find_scarce(self, now: float) -> str | None:
        """Returns the resource for whose sake to refuse a request."""
        limits = self.limits
        if limits.link:
            self._drain(now)
            if (
                self.charged > self.capacity * MAX_CHARGED_SECONDS
                or self._reserved_rate > limits.link * self._factor
            ):
                return "link"
        sample = self._sample
        if self._is_scarce(sample.memory, limits.memory):
            return "memory"
        if self._is_scarce(sample.descriptors, limits.descriptors):
            return "descriptors"
        return None

    def _is_scarce(self, used: int, limit: int) -> bool:
        return limit > 0 and any(
            used >= share * limit and self.running >= most_running
            for share, most_running in SCARCE_SHARES
        )

    def _refuse(self, resource: str, size: int, now: float):
        self.refused[resource] = self.refused.get(resource, 0) + 1
        self.metrics.count(f"gateway.shed.{resource}")
        self._refused_rate.add(now)
        self._refused_bytes_rate.add(now, size)
        self._update_capacity(now)
        return _refusals.overloaded_error(
            resource, retry_after=self._retry_after(now)
        )

    def _retry_after(self, now: float) -> float:
        admitted = max(1.0, self._admitted_rate.value(now))
        ratio = self._refused_rate.value(now) / admitted
        seconds = max(MIN_RETRY_AFTER_SECONDS, RETRY_AFTER_PER_REFUSED * ratio)
        seconds *= self.rng.uniform(0.5, 1.5)
        return min(MAX_RETRY_AFTER_SECONDS, seconds)

    def charge(self, size: float, now: float) -> None:
        """Charges bytes that the link is to carry, or refunds them."""
        if not self.limits.link:
            return
        self._drain(now)
        self.charged = max(0.0, self.charged + size)

    def _drain(self, now: float) -> None:
        if self._drained_at is not None:
            elapsed = max(0.0, now - self._drained_at)
            self.charged = max(0.0, self.charged - elapsed * self.capacity)
        self._drained_at = now

    def end(self, flow: Flow, now: float) -> None:
        """See :meth:`Flow.close`."""
        self.charge(-flow.credit, now)
        self.running -= 1
        self._reserved_rate -= flow.rate
        if not self.running:
            # Sums of floating point numbers don't return to zero.
            self._reserved_rate = 0.0
        duration = now - flow.begun_at
        averages = self._averages.get(flow.route)
        if averages is not None:
            averages.update(flow.moved, duration)
            return
        if len(self._averages) >= MAX_ROUTES:
            self._averages.clear()
        self._averages[flow.route] = _RouteAverages(
            size=flow.moved, duration=duration
        )

    def update(self, sample: Sample, now: float) -> None:
        """Applies what is in use; to be called a few times a second."""
        self._measure_link(sample, now)
        self._sample = sample
        if now - self._adapted_at >= ADAPT_SECONDS:
            self._adapted_at = now
            self._adapt(sample)
        self._update_capacity(now)

    def _adapt(self, sample: Sample) -> None:
        """Follows a link that carries less than its limit says."""
        blocked = max(MIN_BLOCKED, MIN_BLOCKED_SHARE * self.running)
        if sample.blocked >= blocked:
            self._factor = max(MIN_CAPACITY_FACTOR, self._factor / 2.0)
            self.charged = max(self.charged, float(sample.waiting_bytes))
        else:
            self._factor = min(1.0, self._factor * 2.0)

    def _measure_link(self, sample: Sample, now: float) -> None:
        other = (sample.received_otherwise, sample.sent_otherwise)
        if self._sampled_at is not None and now > self._sampled_at:
            elapsed = now - self._sampled_at
            most = max(
                after - before
                for after, before in zip(other, self._last_other, strict=True)
            )
            self._other_rate += LINK_RATE_WEIGHT * (
                max(0, most) / elapsed - self._other_rate
            )
            moved = (self.moved - self._last_moved) / elapsed
            total = moved + self._other_rate
            total += self._refused_bytes_rate.value(now)
            self.link_used += LINK_RATE_WEIGHT * (total - self.link_used)
        self._sampled_at = now
        self._last_moved = self.moved
        self._last_other = other
