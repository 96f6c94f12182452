"""Chooses when refused callers come back; does no I/O.

The load that this answers: a burst fills the targets of a service, or its last
targets fail, and many requests are refused within a moment.  With one fixed
delay all of them return together and are refused again, the urgent ones beside
the others.  So callers return after the time in which room is expected, one
after the other as fast as the targets can serve them, and the more urgent ones
and those with less time left first.
"""

import random
import typing

# Assumed until the first answer of a service: about one short request.
DEFAULT_RUN_SECONDS = 0.1
# Weight of the newest answer in the mean time of a service's answers.
ANSWER_WEIGHT = 0.1
# Refusals of this long count as returning together.
WINDOW_SECONDS = 0.5
MIN_RETRY_SECONDS = 0.05
# Callers with time limits of a few seconds honour no longer delays.
MAX_RETRY_SECONDS = 2.0
# Retry-After base and spread while a service has no target at all: targets
# that restart or are replaced take longer than a request.
NO_TARGET_SECONDS = 0.4
# Priorities from 0, the most urgent; those beyond share the last place.
PRIORITY_LEVELS = 4
# Callers with less time left than this return with those one level above.
SHORT_TIME_SECONDS = 2.0


class _Service:
    """Answers and refusals of one service.

    ``refused`` counts the recent refusals by urgency, the most urgent first.
    """

    __slots__ = ("counted_at", "refused", "run_seconds")

    def __init__(self, *, now: float):
        self.run_seconds = DEFAULT_RUN_SECONDS
        self.refused = [0.0] * PRIORITY_LEVELS
        self.counted_at = now

    def count_refusal(self, level: int, now: float) -> float:
        """Returns how many return before a request refused now.

        These are the recent ones that are as urgent or more.
        """
        elapsed = max(0.0, now - self.counted_at)
        kept = max(0.0, 1.0 - elapsed / WINDOW_SECONDS)
        self.refused = [count * kept for count in self.refused]
        self.counted_at = now
        before = sum(self.refused[: level + 1])
        self.refused[level] += 1.0
        return before


class Room(typing.NamedTuple):
    """The places of a service, as far as an entry knows.

    ``slots`` is the number of requests that its usable targets run at once,
    0 if there are none; ``queued`` is how many wait for them.  ``entries`` is
    the number of entries that send to them.
    """

    slots: int
    queued: int
    entries: int


class RetryTimes:
    """Chooses the Retry-After of requests that found no room.

    Times are in seconds on one monotonic clock.

    Parameters
    ----------
    rng : random.Random
        Spreads callers of the same urgency.

    Example::

        retry_times = RetryTimes(rng=random.Random(1))
        retry_times.on_answer("engines", 0.4, now=1.0)
        retry_after = retry_times.choose(
            "engines",
            routing.Room(slots=64, queued=10, entries=3),
            priority=0,
            time_left=3.0,
            now=2.0,
        )
    """

    __slots__ = ("_rng", "_services")

    def __init__(self, *, rng: random.Random):
        self._rng = rng
        self._services: dict[str, _Service] = {}

    def on_answer(self, service: str, seconds: float, now: float) -> None:
        """Applies how long a target took for a complete answer."""
        known = self._get(service, now)
        known.run_seconds += ANSWER_WEIGHT * (seconds - known.run_seconds)

    def choose(
        self,
        service: str,
        room: Room,
        *,
        priority: int,
        time_left: float,
        now: float,
    ) -> float:
        """Returns the Retry-After of a request that is refused now.

        ``time_left`` is what the caller still waits.
        """
        known = self._get(service, now)
        level = min(max(0, priority), PRIORITY_LEVELS - 1)
        if time_left < SHORT_TIME_SECONDS:
            level = max(0, level - 1)
        before = known.count_refusal(level, now) + self._rng.random()
        if room.slots < 1:
            return NO_TARGET_SECONDS * (0.5 + self._rng.random())
        # Other entries refuse as many meanwhile.
        places = before * max(1, room.entries) / room.slots
        expected = known.run_seconds * (0.5 + room.queued / room.slots)
        chosen = expected + known.run_seconds * places
        return min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, chosen))

    def _get(self, service: str, now: float) -> _Service:
        known = self._services.get(service)
        if known is None:
            known = self._services[service] = _Service(now=now)
        return known
