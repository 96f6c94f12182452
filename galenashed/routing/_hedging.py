"""When a request that is slower than usual is sent to a second target.

Addresses the load of a slow tail: a few requests wait for one target that is
slow for a moment while the others are idle.  A second run helps these, and
only these: under a general slowdown it is more load for targets that are slow
already.  So hedged requests stop by themselves while a large part of the
requests is slow, and never exceed a share of the requests that operators set.

Sans-IO: times are in seconds on a monotonic clock that the caller passes in.
"""

import collections
import enum
import typing

import hdrh.histogram

# Window of the operators' share: that of the common retry budget.
WINDOW_SECONDS = 10.0
# Delays are measured over the last one to two such periods.
MEASURED_SECONDS = 10.0
# The medians of these periods are the baseline of a general slowdown.
BASELINE_PERIODS = 6
# Delays are computed anew this often; it takes about 0.3 ms.
REFRESH_SECONDS = 1.0
# Fewer durations than this tell no tail.
MIN_SAMPLES = 100
# Bounds of the quantile of the delay, in per cent.
MIN_PERCENTILE = 90.0
MAX_PERCENTILE = 99.0
# A median over this multiple of the baseline is a general slowdown.
SLOWDOWN_FACTOR = 2.0
# So is a larger part of the last requests that are slower than the delay.
MAX_OVERDUE_SHARE = 0.3
# Over this multiple of the expected part, hedged requests must help.
OVERDUE_FACTOR = 3.0
MIN_WIN_SHARE = 0.5
# Weights of one request in the averages of overdue and of won requests.
OVERDUE_WEIGHT = 0.02
WIN_WEIGHT = 0.1
# A service with a larger part of its slots in use has none to spare.
MAX_RUNNING_SHARE = 0.8
# Services and routes that are tracked.
MAX_TRACKED = 128
# Unit, range and precision of the durations that are kept.
UNITS_PER_SECOND = 10_000
MAX_UNITS = 120 * UNITS_PER_SECOND
SIGNIFICANT_DIGITS = 2


class HedgeRefusal(enum.StrEnum):
    """Why a slow request is not sent to a second target."""

    SUSPECTED = "suspected"
    MAX_TARGETS = "max_targets"
    NO_TIME = "no_time"
    BRITTLE = "brittle"
    COLD = "cold"
    LIMITED = "limited"
    PAUSED = "paused"
    NO_CAPACITY = "no_capacity"
    UNREACHABLE = "unreachable"
    SLOWDOWN = "slowdown"
    NO_HELP = "no_help"
    SHARE = "share"
    NO_TARGET = "no_target"
    RETRY_BUDGET = "retry_budget"


class HedgeKey(typing.NamedTuple):
    """Requests that are comparable: those of one kind to one service."""

    service: str
    kind: str


class ServiceState(typing.NamedTuple):
    """The state of a service's targets, as far as it rules out second runs.

    ``cold``, ``limited`` and ``paused`` tell whether any target is so.
    ``running`` and ``waiting`` are requests at all of them, which have
    ``slots``.
    """

    brittle: bool = False
    cold: bool = False
    limited: bool = False
    paused: bool = False
    reachable: bool = True
    running: int = 0
    waiting: int = 0
    slots: int = 0

    def refusal(self) -> HedgeRefusal | None:
        """Returns why the service takes no second runs; None if it does."""
        if not self.reachable:
            return HedgeRefusal.UNREACHABLE
        if self.brittle:
            return HedgeRefusal.BRITTLE
        if self.cold:
            return HedgeRefusal.COLD
        if self.limited:
            return HedgeRefusal.LIMITED
        if self.paused:
            return HedgeRefusal.PAUSED
        if self.waiting or self.running > MAX_RUNNING_SHARE * self.slots:
            return HedgeRefusal.NO_CAPACITY
        return None


class SlowRequest(typing.NamedTuple):
    """A request whose first answer is overdue.

    ``runs`` are the targets that have run it, the current one included, of
    ``max_targets``.  ``suspected`` tells whether targets may crash under it.
    """

    route: str
    key: HedgeKey
    share: float
    runs: int
    max_targets: int
    time_left: float
    suspected: bool


class _Period(typing.NamedTuple):
    """Counts of one second of the window."""

    second: int
    requests: int
    hedged: int


class _ShareWindow:
    """Requests and hedged requests of a route in the window."""

    __slots__ = ("_periods", "hedged", "requests")

    def __init__(self) -> None:
        self._periods: collections.deque[_Period] = collections.deque()
        self.requests = 0
        self.hedged = 0

    def add(self, now: float, *, requests: int = 0, hedged: int = 0) -> None:
        """Adds to the counts of the current second."""
        self.expire(now)
        second = int(now)
        if not self._periods or self._periods[-1].second != second:
            self._periods.append(_Period(second, 0, 0))
        last = self._periods.pop()
        self._periods.append(
            _Period(second, last.requests + requests, last.hedged + hedged)
        )
        self.requests += requests
        self.hedged += hedged

    def expire(self, now: float) -> None:
        """Drops the seconds that have left the window."""
        while self._periods and (
            self._periods[0].second <= now - WINDOW_SECONDS - 1.0
        ):
            period = self._periods.popleft()
            self.requests -= period.requests
            self.hedged -= period.hedged


class _Durations:
    """Times to the first answer of the last one to two periods."""

    __slots__ = (
        "_baseline",
        "_current",
        "_merged",
        "_percentiles",
        "_previous",
        "_refreshed_at",
        "_started_at",
        "median",
        "overdue_share",
        "win_share",
    )

    def __init__(self, *, now: float):
        self._current = _make_histogram()
        self._previous = _make_histogram()
        self._merged = _make_histogram()
        # Percentiles of the merged histogram that were asked for.
        self._percentiles: dict[float, float] = {}
        self._started_at = now
        self._refreshed_at = float("-inf")
        self._baseline: collections.deque[float] = collections.deque(
            maxlen=BASELINE_PERIODS
        )
        self.median = 0.0
        # Part of the last requests whose first answer was overdue, and of the
        # last hedged ones that the second target answered first.
        self.overdue_share = 0.0
        self.win_share = MIN_WIN_SHARE

    def record(self, seconds: float, now: float) -> None:
        """Adds a duration."""
        self._rotate(now)
        units = round(seconds * UNITS_PER_SECOND)
        self._current.record_value(min(MAX_UNITS, max(1, units)))

    def _rotate(self, now: float) -> None:
        if now - self._started_at < MEASURED_SECONDS:
            return
        if self._current.get_total_count() >= MIN_SAMPLES:
            self._baseline.append(_percentile(self._current, 50.0))
        is_old = now - self._started_at >= 2 * MEASURED_SECONDS
        self._previous = _make_histogram() if is_old else self._current
        self._current = _make_histogram()
        self._started_at = now

    def percentile(self, percentile: float, now: float) -> float | None:
        """Returns a percentile in seconds; None without enough samples."""
        self._rotate(now)
        if now - self._refreshed_at >= REFRESH_SECONDS:
            self._refreshed_at = now
            self._merged = _make_histogram()
            self._merged.add(self._previous)
            self._merged.add(self._current)
            self._percentiles.clear()
            self.median = _percentile(self._merged, 50.0)
        if self._merged.get_total_count() < MIN_SAMPLES:
            return None
        if percentile not in self._percentiles:
            self._percentiles[percentile] = _percentile(
                self._merged, percentile
            )
        return self._percentiles[percentile]

    def has_slowed_down(self) -> bool:
        """Whether requests in general are slow, not only a tail."""
        if self.overdue_share > MAX_OVERDUE_SHARE:
            return True
        usual = min(self._baseline, default=self.median)
        return self.median > SLOWDOWN_FACTOR * usual


class HedgePolicy:
    """Decides which requests are hedged, and after which delay.

    Parameters
    ----------
    max_share : float
        The largest share of the requests that may be hedged, whatever a
        route allows; 0 for none.

    Example::

        policy = HedgePolicy(max_share=0.02)
        policy.on_request("lookup", now)
        delay = policy.delay(key, 0.02, now)
        ...  # no answer within the delay
        policy.on_overdue(key, now)
        if policy.refusal(slow, state, now) is None:
            policy.on_hedged("lookup", now)
    """

    def __init__(self, *, max_share: float = 0.0):
        self.max_share = max_share
        self._windows: collections.OrderedDict[str, _ShareWindow] = (
            collections.OrderedDict()
        )
        self._durations: collections.OrderedDict[HedgeKey, _Durations] = (
            collections.OrderedDict()
        )

    def share(self, route_share: float | None) -> float:
        """Returns the share of a route's requests that may be hedged."""
        if route_share is None:
            return self.max_share
        return min(self.max_share, route_share)

    def delay(self, key: HedgeKey, share: float, now: float) -> float | None:
        """Returns after which time a first answer is overdue.

        As many requests are slower as may be hedged.  None while too little
        is measured.
        """
        return self._tracked(key, now).percentile(_percentile_of(share), now)

    # Requests

    def on_request(self, route: str, now: float) -> None:
        """Records a request that may be hedged."""
        self._window(route).add(now, requests=1)

    def on_overdue(self, key: HedgeKey, now: float) -> None:
        """Records that the first answer did not come within the delay."""
        tracked = self._tracked(key, now)
        tracked.overdue_share += OVERDUE_WEIGHT * (1 - tracked.overdue_share)

    def on_first_answer(
        self, key: HedgeKey, seconds: float, now: float, *, overdue: bool
    ) -> None:
        """Records the time that the first target took for its first answer.

        For a run that was ended before, that is the time until then, if it
        was overdue: its true duration is longer, as those above the quantile
        are, and leaving it out would lower the quantile.
        """
        tracked = self._tracked(key, now)
        tracked.record(seconds, now)
        if not overdue:
            tracked.overdue_share -= OVERDUE_WEIGHT * tracked.overdue_share

    def refusal(
        self, slow: SlowRequest, state: ServiceState, now: float
    ) -> HedgeRefusal | None:
        """Returns why a slow request is not hedged; None if it may be."""
        if slow.suspected:
            return HedgeRefusal.SUSPECTED
        if slow.runs >= slow.max_targets:
            return HedgeRefusal.MAX_TARGETS
        tracked = self._tracked(slow.key, now)
        if slow.time_left < tracked.median:
            return HedgeRefusal.NO_TIME
        refusal = state.refusal()
        if refusal is not None:
            return refusal
        if tracked.has_slowed_down():
            return HedgeRefusal.SLOWDOWN
        expected = 1.0 - _percentile_of(slow.share) / 100.0
        if (
            tracked.overdue_share > OVERDUE_FACTOR * expected
            and tracked.win_share < MIN_WIN_SHARE
        ):
            return HedgeRefusal.NO_HELP
        window = self._window(slow.route)
        window.expire(now)
        if window.hedged + 1 > slow.share * window.requests:
            return HedgeRefusal.SHARE
        return None

    def on_hedged(self, route: str, now: float) -> None:
        """Records that a request was sent to a second target."""
        self._window(route).add(now, hedged=1)

    def on_hedge_end(self, key: HedgeKey, now: float, *, won: bool) -> None:
        """Records whether the second target answered first."""
        tracked = self._tracked(key, now)
        tracked.win_share += WIN_WEIGHT * (won - tracked.win_share)

    def _window(self, route: str) -> _ShareWindow:
        window = self._windows.get(route)
        if window is None:
            window = self._windows[route] = _ShareWindow()
            if len(self._windows) > MAX_TRACKED:
                self._windows.popitem(last=False)
        self._windows.move_to_end(route)
        return window

    def _tracked(self, key: HedgeKey, now: float) -> _Durations:
        tracked = self._durations.get(key)
        if tracked is None:
            tracked = self._durations[key] = _Durations(now=now)
            if len(self._durations) > MAX_TRACKED:
                self._durations.popitem(last=False)
        self._durations.move_to_end(key)
        return tracked


def _percentile_of(share: float) -> float:
    """Returns the percentile over which as many requests lie as a share."""
    return min(MAX_PERCENTILE, max(MIN_PERCENTILE, 100.0 * (1.0 - share)))


def _make_histogram() -> hdrh.histogram.HdrHistogram:
    return hdrh.histogram.HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)


def _percentile(
    histogram: hdrh.histogram.HdrHistogram, percentile: float
) -> float:
    return histogram.get_value_at_percentile(percentile) / UNITS_PER_SECOND
