"""Target selection of one entry, based on its view of the targets."""

import random
import typing

from galenashed.protocol import control as control_wire
from galenashed.protocol import gossip as wire
from galenashed.routing import _balancers
from galenashed.routing import _group
from galenashed.routing import _target_limits

EJECT_AFTER_FAILURES = 3
EJECT_SECONDS = 5.0
MAX_EJECTED_SHARE = 0.5
SLOW_START_SECONDS = 5.0
SLOW_START_SHARE = 0.25


class TargetRequirements:
    """Conditions that a target must meet to run a request.

    ``excluded`` holds the names of targets on which the request has failed;
    they are skipped even if no other target remains.  With ``exclusive`` the
    target must not be running another request that is suspected of crashing
    engines.  ``version`` is the software version that has begun the response,
    None if none has.
    """

    __slots__ = (
        "excluded",
        "exclusive",
        "model",
        "prefix",
        "service",
        "version",
    )

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
        self.version: str | None = None


class Router:
    """Chooses targets for the requests of one entry.

    Parameters
    ----------
    balancer : Balancer
        Chooses among the eligible targets.
    rng : random.Random
        Samples the candidates when there are many targets.
    limits : TargetLimits or None
        The request rates that targets take from all entries together.

    Example::

        router = Router(balancer=AffinityBalancer(rng=rng), rng=rng)
        router.update(target, joined=0.0)
        router.set_alive({target.name})
        requirements = TargetRequirements(service=service, model="m")
        stats = router.choose(requirements, now=1.0)
        router.on_request_start(stats)
        router.on_request_end(stats, failed=False, now=2.0)
    """

    def __init__(
        self,
        *,
        balancer: _balancers.Balancer,
        rng: random.Random,
        limits: _target_limits.TargetLimits | None = None,
    ):
        self.balancer = balancer
        self.rng = rng
        self.limits = limits
        self._stats: dict[str, _group.TargetStats] = {}
        self._alive: frozenset[str] = frozenset()
        self._withdrawn: frozenset[str] = frozenset()
        self._evacuated: frozenset[str] = frozenset()
        self._groups: dict[tuple[str, str, str | None], _group.Group] = {}
        self._ejected: set[str] = set()

    # Known targets

    def update(self, announced: wire.Target, *, joined: float) -> None:
        """Stores a newer announcement and marks its target as alive."""
        current = self._stats.get(announced.name)
        if current is None or _requires_regrouping(
            current.announced, announced
        ):
            self._groups.clear()
        if current is None or (
            current.announced.incarnation != announced.incarnation
        ):
            current = _group.TargetStats(announced=announced, joined=joined)
            self._stats[announced.name] = current
        current.announced = announced
        current.sent_since_report = 0
        if announced.name not in self._alive:
            self._alive |= {announced.name}
            self._groups.clear()

    def set_alive(self, names: typing.Iterable[str]) -> None:
        """Sets the names of all targets whose lease has not expired."""
        alive = frozenset(names)
        if alive != self._alive:
            self._alive = alive
            self._groups.clear()
        for name, stats in list(self._stats.items()):
            if name not in alive and not stats.in_flight:
                del self._stats[name]

    def set_withdrawn(self, names: typing.Iterable[str]) -> None:
        """Sets the names of all targets withdrawn by a release note."""
        withdrawn = frozenset(names)
        if withdrawn != self._withdrawn:
            self._withdrawn = withdrawn
            self._groups.clear()

    def set_evacuated(self, domains: typing.Iterable[str]) -> None:
        """Sets the failure domains whose targets get no requests."""
        self._evacuated = frozenset(domains)
        self._groups.clear()

    @property
    def has_evacuated(self) -> bool:
        """Whether any failure domain is evacuated."""
        return bool(self._evacuated)

    def is_evacuated(self, announced: wire.Target) -> bool:
        """Returns whether no request may be sent to a target."""
        return announced.failure_domain in self._evacuated

    def is_alive(self, name: str) -> bool:
        """Returns whether a target's lease has not expired."""
        return name in self._alive

    def get(self, name: str) -> _group.TargetStats | None:
        """Returns the statistics of a target, or None if it is unknown."""
        return self._stats.get(name)

    def _get_group(self, requirements: TargetRequirements) -> _group.Group:
        key = (
            requirements.service.name,
            requirements.model,
            requirements.version,
        )
        group = self._groups.get(key)
        if group is None:
            members = [
                stats
                for stats in self._stats.values()
                if self._is_member(stats, requirements)
            ]
            group = _group.Group(members=members)
            self._groups[key] = group
        return group

    def _is_member(
        self, stats: _group.TargetStats, requirements: TargetRequirements
    ) -> bool:
        announced = stats.announced
        return (
            announced.service == requirements.service.name
            and announced.state == "ready"
            and requirements.version in (None, announced.version)
            and stats.name in self._alive
            and stats.name not in self._withdrawn
            and not self.is_evacuated(announced)
            and (
                not requirements.model
                or requirements.model in announced.models
            )
        )

    # Selection

    def has_target(self, requirements: TargetRequirements) -> bool:
        """Returns whether any target could run the request, even if full."""
        members = self._get_group(requirements).members
        return any(
            stats.name not in requirements.excluded for stats in members
        )

    def choose(
        self, requirements: TargetRequirements, *, now: float
    ) -> _group.TargetStats | None:
        """Returns a target with free capacity, or None.

        With many targets, only the home targets of the prefix and a random
        sample are checked first; all are checked if none of these is
        eligible.
        """
        group = self._get_group(requirements)
        if not group.members:
            return None
        homes = group.homes(requirements.prefix) if requirements.prefix else []
        ignore_ejections = self._too_many_ejected(group, now)
        candidates = {*homes, *group.sample(self.rng)}
        eligible = self._eligible(
            candidates, requirements, now, ignore_ejections
        )
        if not eligible and len(candidates) < len(group.members):
            eligible = self._eligible(
                group.members, requirements, now, ignore_ejections
            )
        if not eligible:
            return None
        return self.balancer.choose(eligible, homes)

    def _eligible(
        self,
        candidates,
        requirements: TargetRequirements,
        now: float,
        ignore_ejections: bool,
    ) -> list[_group.TargetStats]:
        eligible = []
        exhausted = self._exhausted(now)
        for stats in candidates:
            if stats.name in requirements.excluded or (
                requirements.exclusive and stats.suspects
            ):
                continue
            if exhausted and stats.incarnation_name in exhausted:
                continue
            if stats.ejected_until > now and not ignore_ejections:
                continue
            stats.limit = _slow_start_limit(
                stats, requirements.service.concurrency, now
            )
            if stats.load < stats.limit:
                eligible.append(stats)
        return eligible

    def _exhausted(self, now: float) -> set[str]:
        return self.limits.exhausted(now) if self.limits else set()

    def seconds_until_limits_allow(
        self, requirements: TargetRequirements, now: float
    ) -> float | None:
        """Returns when a target takes another request, by its limit.

        None if a target that could run the request is not at its limit.
        """
        if self.limits is None:
            return None
        exhausted = self._exhausted(now)
        names = [
            stats.incarnation_name
            for stats in self._get_group(requirements).members
            if stats.name not in requirements.excluded
        ]
        if not exhausted.issuperset(names):
            return None
        return min(
            (self.limits.wait_seconds(name, now) for name in names),
            default=None,
        )

    def _too_many_ejected(self, group: _group.Group, now: float) -> bool:
        """Returns whether so many failed that the network is suspected."""
        if not self._ejected:
            return False
        ejected = group.count_ejected(now)
        return ejected > MAX_EJECTED_SHARE * len(group.members)

    # Requests

    def on_request_start(
        self,
        stats: _group.TargetStats,
        *,
        suspect: bool = False,
        now: float = 0.0,
    ) -> None:
        """Records a request that is about to be sent."""
        if self.limits is not None:
            self.limits.on_send(stats.incarnation_name, now)
        stats.in_flight += 1
        stats.sent_since_report += 1
        stats.suspects += suspect

    def on_request_end(
        self,
        stats: _group.TargetStats,
        *,
        failed: bool,
        now: float,
        suspect: bool = False,
    ) -> None:
        """Records the end of a request; repeated failures eject the target."""
        stats.in_flight -= 1
        stats.sent_since_report = max(0, stats.sent_since_report - 1)
        stats.suspects -= suspect
        if not failed:
            stats.consecutive_failures = 0
            self._ejected.discard(stats.name)
            return
        stats.consecutive_failures += 1
        if stats.consecutive_failures >= EJECT_AFTER_FAILURES:
            stats.consecutive_failures = 0
            stats.ejected_until = now + EJECT_SECONDS
            self._ejected.add(stats.name)


def _requires_regrouping(previous: wire.Target, latest: wire.Target) -> bool:
    """Returns whether the groups of targets have to be rebuilt."""
    return (
        previous.incarnation != latest.incarnation
        or previous.state != latest.state
        or previous.models != latest.models
        or previous.service != latest.service
        or previous.version != latest.version
        or previous.failure_domain != latest.failure_domain
    )


def _slow_start_limit(
    stats: _group.TargetStats, concurrency: int, now: float
) -> float:
    """Returns the concurrency limit, reduced during the slow start."""
    age = now - stats.joined
    if age >= SLOW_START_SECONDS:
        return float(concurrency)
    share = SLOW_START_SHARE
    share += (1.0 - SLOW_START_SHARE) * age / SLOW_START_SECONDS
    return max(1.0, share * concurrency)


def make_router(
    name: str,
    rng: random.Random,
    limits: _target_limits.TargetLimits | None = None,
) -> Router:
    """Returns a router that uses the balancer registered as ``name``."""
    balancer = _balancers.BALANCERS[name](rng=rng)
    return Router(balancer=balancer, rng=rng, limits=limits)
