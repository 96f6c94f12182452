"""What an entry knows of the targets, and which it chooses."""

import random
import typing

from galenashed.protocol import control as control_wire
from galenashed.protocol import spread as wire
from galenashed.routing import _balancers
from galenashed.routing import _group

EJECT_AFTER_FAILURES = 3
EJECT_SECONDS = 5.0
MAX_EJECTED_SHARE = 0.5
SLOW_START_SECONDS = 5.0
SLOW_START_SHARE = 0.25


class TargetRequirements:
    """What a request asks of a target.

    ``excluded`` holds targets that the request has failed on; they are left
    out even if no other is there.  With ``exclusive`` the target must run no
    other suspected request.
    """

    __slots__ = ("excluded", "exclusive", "model", "prefix", "service")

    def __init__(
        self,
        *,
        service: control_wire.Service,
        model: str = "",
        prefix: bytes = b"",
        exclusive: bool = False,
    ):
        self.service = service
        self.model = model
        self.prefix = prefix
        self.exclusive = exclusive
        self.excluded: set[str] = set()


class Router:
    """Chooses targets for the requests of one entry.

    Parameters
    ----------
    balancer : Balancer
        Chooses among the eligible targets.
    rng : random.Random
        Draws the targets that are looked at when there are many.

    Example::

        router = Router(balancer=AffinityBalancer(rng=rng), rng=rng)
        router.update(target, joined=0.0)
        router.set_alive({target.name})
        requirements = TargetRequirements(service=service, model="m")
        stats = router.choose(requirements, now=1.0)
        router.begin(stats)
        router.end(stats, failed=False, now=2.0)
    """

    def __init__(self, *, balancer: _balancers.Balancer, rng: random.Random):
        self.balancer = balancer
        self.rng = rng
        self._stats: dict[str, _group.TargetStats] = {}
        self._alive: frozenset[str] = frozenset()
        self._withdrawn: frozenset[str] = frozenset()
        self._groups: dict[tuple[str, str], _group.Group] = {}
        self._ejected: set[str] = set()

    # Who is there

    def update(self, announced: wire.Target, *, joined: float) -> None:
        """Takes a newer announcement of a target that is alive."""
        held = self._stats.get(announced.name)
        if held is None or _is_other(held.announced, announced):
            self._groups.clear()
        if held is None or (
            held.announced.incarnation != announced.incarnation
        ):
            held = _group.TargetStats(announced=announced, joined=joined)
            self._stats[announced.name] = held
        held.announced = announced
        held.since_report = 0
        if announced.name not in self._alive:
            self._alive |= {announced.name}
            self._groups.clear()

    def set_alive(self, names: typing.Iterable[str]) -> None:
        """Takes the names of the targets whose lease runs."""
        alive = frozenset(names)
        if alive != self._alive:
            self._alive = alive
            self._groups.clear()
        for name, stats in list(self._stats.items()):
            if name not in alive and not stats.in_flight:
                del self._stats[name]

    def set_withdrawn(self, names: typing.Iterable[str]) -> None:
        """Takes the names of the targets that a note has withdrawn."""
        withdrawn = frozenset(names)
        if withdrawn != self._withdrawn:
            self._withdrawn = withdrawn
            self._groups.clear()

    def is_alive(self, name: str) -> bool:
        """Whether a target's lease runs."""
        return name in self._alive

    def get(self, name: str) -> _group.TargetStats | None:
        """Returns a target's record."""
        return self._stats.get(name)

    def _group_of(self, requirements: TargetRequirements) -> _group.Group:
        key = (requirements.service.name, requirements.model)
        group = self._groups.get(key)
        if group is None:
            members = [
                stats
                for stats in self._stats.values()
                if self._belongs(stats, requirements)
            ]
            group = _group.Group(members=members)
            self._groups[key] = group
        return group

    def _belongs(
        self, stats: _group.TargetStats, requirements: TargetRequirements
    ) -> bool:
        announced = stats.announced
        return (
            announced.service == requirements.service.name
            and announced.state == "ready"
            and stats.name in self._alive
            and stats.name not in self._withdrawn
            and (
                not requirements.model
                or requirements.model in announced.models
            )
        )

    # Choice

    def serves(self, requirements: TargetRequirements) -> bool:
        """Whether any target could run the request, with room or not."""
        members = self._group_of(requirements).members
        return any(
            stats.name not in requirements.excluded for stats in members
        )

    def choose(
        self, requirements: TargetRequirements, *, now: float
    ) -> _group.TargetStats | None:
        """Returns a target with room, or None.

        Of many targets only the homes of the prefix and a random sample are
        looked at, and all of them only if none of those has room.
        """
        group = self._group_of(requirements)
        if not group.members:
            return None
        homes = group.homes(requirements.prefix) if requirements.prefix else []
        floor = self._too_many_ejected(group, now)
        looked_at = {*homes, *group.sample(self.rng)}
        eligible = self._eligible(looked_at, requirements, now, floor)
        if not eligible and len(looked_at) < len(group.members):
            eligible = self._eligible(group.members, requirements, now, floor)
        if not eligible:
            return None
        return self.balancer.choose(eligible, homes)

    def _eligible(
        self,
        looked_at,
        requirements: TargetRequirements,
        now: float,
        floor: bool,
    ) -> list[_group.TargetStats]:
        eligible = []
        for stats in looked_at:
            if stats.name in requirements.excluded or (
                requirements.exclusive and stats.suspects
            ):
                continue
            if stats.ejected_until > now and not floor:
                continue
            stats.limit = _limit(stats, requirements.service.concurrency, now)
            if stats.load < stats.limit:
                eligible.append(stats)
        return eligible

    def _too_many_ejected(self, group: _group.Group, now: float) -> bool:
        """Whether so many failed that the path to them is at fault."""
        if not self._ejected:
            return False
        ejected = group.count_ejected(now)
        return ejected > MAX_EJECTED_SHARE * len(group.members)

    # Requests

    def begin(
        self, stats: _group.TargetStats, *, suspect: bool = False
    ) -> None:
        """Counts a request that is about to be sent."""
        stats.in_flight += 1
        stats.since_report += 1
        stats.suspects += suspect

    def end(
        self,
        stats: _group.TargetStats,
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
            self._ejected.discard(stats.name)
            return
        stats.failures += 1
        if stats.failures >= EJECT_AFTER_FAILURES:
            stats.failures = 0
            stats.ejected_until = now + EJECT_SECONDS
            self._ejected.add(stats.name)


def _is_other(held: wire.Target, fresh: wire.Target) -> bool:
    """Whether more has changed than the load."""
    return (
        held.incarnation != fresh.incarnation
        or held.state != fresh.state
        or held.models != fresh.models
        or held.service != fresh.service
    )


def _limit(stats: _group.TargetStats, concurrency: int, now: float) -> float:
    """Returns what a target may take now; little when it just joined."""
    age = now - stats.joined
    if age >= SLOW_START_SECONDS:
        return float(concurrency)
    share = SLOW_START_SHARE
    share += (1.0 - SLOW_START_SHARE) * age / SLOW_START_SECONDS
    return max(1.0, share * concurrency)


def make_router(name: str, rng: random.Random) -> Router:
    """Returns a router with the balancer of that name."""
    return Router(balancer=_balancers.BALANCERS[name](rng=rng), rng=rng)
