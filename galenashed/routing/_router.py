"""What an entry knows of the targets, and which it chooses."""

import random

from galenashed.protocol import spread as wire
from galenashed.routing import _balancers

EJECT_AFTER_FAILURES = 3
EJECT_SECONDS = 5.0
MAX_EJECTED_SHARE = 0.5
SLOW_START_SECONDS = 5.0
SLOW_START_SHARE = 0.25


class TargetStats:
    """One target as seen from this entry.

    ``in_flight`` counts this entry's own requests, ``since_report`` those
    sent since the last load report, which lags.
    """

    __slots__ = (
        "announced",
        "concurrency",
        "ejected_until",
        "failures",
        "in_flight",
        "joined",
        "limit",
        "name",
        "since_report",
        "suspects",
    )

    def __init__(self, *, announced: wire.Target, joined: float):
        self.name = announced.name
        self.announced = announced
        self.joined = joined
        self.concurrency = 1
        self.limit = 1.0
        self.in_flight = 0
        self.since_report = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.suspects = 0

    @property
    def load(self) -> int:
        """Requests at the target: reported, or known from here."""
        report = self.announced.load
        reported = report.running + report.waiting + self.since_report
        return max(self.in_flight, reported)

    @property
    def load_share(self) -> float:
        """Load as a share of what the target may take now."""
        return self.load / self.limit


class Router:
    """Chooses targets for the requests of one entry.

    Parameters
    ----------
    balancer : Balancer
        Chooses among the eligible targets.
    rng : random.Random
        For the balancer's ties.

    Example::

        router = Router(balancer=AffinityBalancer(rng=rng))
        router.update(target, now=0.0, joined=0.0)
        stats = router.choose(
            service=service, model="galena", prefix=b"", now=1.0, avoid=()
        )
        router.begin(stats)
        router.end(stats, failed=False, now=2.0)
    """

    def __init__(self, *, balancer: _balancers.Balancer):
        self.balancer = balancer
        self._stats: dict[str, TargetStats] = {}

    def update(
        self, announced: wire.Target, *, now: float, joined: float
    ) -> None:
        """Takes a newer announcement of a target."""
        stats = self._stats.get(announced.name)
        restarted = (
            stats is not None
            and stats.announced.incarnation != announced.incarnation
        )
        if stats is None or restarted:
            stats = TargetStats(announced=announced, joined=joined)
            self._stats[announced.name] = stats
        stats.announced = announced
        stats.since_report = 0

    def retain(self, alive: set[str]) -> None:
        """Forgets the targets that are not alive and run nothing."""
        for name, stats in list(self._stats.items()):
            if name not in alive and not stats.in_flight:
                del self._stats[name]

    def get(self, name: str) -> TargetStats | None:
        """Returns a target's record."""
        return self._stats.get(name)

    def choose(
        self,
        *,
        service,
        model: str,
        prefix: bytes,
        now: float,
        alive: set[str],
        avoid: set[str],
        alone: bool = False,
        withdrawn: frozenset[str] = frozenset(),
    ) -> TargetStats | None:
        """Returns a target with room, or None.

        ``avoid`` holds targets that this request has failed on; they are
        left out even if no other is there.  With ``alone`` the target must
        run no other suspected request.
        """
        serving = [
            stats
            for stats in self._stats.values()
            if stats.name in alive
            and stats.name not in withdrawn
            and stats.announced.service == service.name
            and stats.announced.state == "ready"
            and (not model or model in stats.announced.models)
        ]
        usable = self._without_ejected(serving, now)
        eligible = []
        for stats in usable:
            if stats.name in avoid or (alone and stats.suspects):
                continue
            stats.limit = self._limit(stats, service.concurrency, now)
            if stats.load < stats.limit:
                eligible.append(stats)
        if not eligible:
            return None
        return self.balancer.choose(eligible, prefix)

    def serves(self, *, service, model: str, alive: set[str]) -> bool:
        """Whether any ready target could run the request, full or not."""
        return any(
            stats.name in alive
            and stats.announced.service == service.name
            and stats.announced.state == "ready"
            and (not model or model in stats.announced.models)
            for stats in self._stats.values()
        )

    def _without_ejected(self, serving, now: float) -> list[TargetStats]:
        ejected = [s for s in serving if s.ejected_until > now]
        if len(ejected) > MAX_EJECTED_SHARE * len(serving):
            # So many failures at once speak against the path to them, not
            # against each of them.
            return serving
        return [s for s in serving if s.ejected_until <= now]

    def _limit(
        self, stats: TargetStats, concurrency: int, now: float
    ) -> float:
        age = now - stats.joined
        if age >= SLOW_START_SECONDS:
            return float(concurrency)
        share = SLOW_START_SHARE
        share += (1.0 - SLOW_START_SHARE) * age / SLOW_START_SECONDS
        return max(1.0, share * concurrency)

    def begin(self, stats: TargetStats, *, suspect: bool = False) -> None:
        """Counts a request that is about to be sent."""
        stats.in_flight += 1
        stats.since_report += 1
        stats.suspects += suspect

    def end(
        self,
        stats: TargetStats,
        *,
        failed: bool,
        now: float,
        suspect: bool = False,
    ) -> None:
        """Counts a request that has ended."""
        stats.in_flight -= 1
        stats.since_report = max(0, stats.since_report - 1)
        stats.suspects -= suspect
        if not failed:
            stats.failures = 0
            return
        stats.failures += 1
        if stats.failures >= EJECT_AFTER_FAILURES:
            stats.failures = 0
            stats.ejected_until = now + EJECT_SECONDS


def make_router(name: str, rng: random.Random) -> Router:
    """Returns a router with the balancer of that name."""
    return Router(balancer=_balancers.BALANCERS[name](rng=rng))
