"""The targets of every service as this entry knows them."""

import typing

import msgspec

from galenashed.gateway import _cold
from galenashed.gateway import _placement
from galenashed.gateway import _regions
from galenashed.gateway import _request
from galenashed.gateway import _target
from galenashed.gateway import _warmth
from galenashed.protocol import gossip as wire
from galenashed.protocol import routes as routes_wire
from galenashed.protocol import streams
from galenashed import routing

EJECT_AFTER_FAILURES = 3
EJECT_SECONDS = 2.0
# Backoff from a target that rejects a request: about one short request.
REJECTION_BACKOFF_SECONDS = 0.2
# A longer time that a target asks for is not believed.
MAX_PAUSE_SECONDS = 300.0
# Targets say in all their answers that they are brittle.
BRITTLE_SECONDS = 10.0
# Slots of a target that does not announce them.
DEFAULT_SLOTS = 1
# If the share of usable targets falls below this, the network is assumed to
# be at fault and all targets that are announced as ready are used.
MIN_USABLE_SHARE = 0.5
# A target that answered this recently is alive, even if its announcements
# have expired.
RECENT_ANSWER_SECONDS = 3.0
# How long a version is remembered after its last target is gone.
VERSION_RETENTION_SECONDS = 600.0
# Between the time of day of a target and that of an entry.
MAX_CLOCK_DIFFERENCE_SECONDS = 1.0
# A report may arrive this long after the target has sent it.
MAX_REPORT_DELAY_SECONDS = 3.0
# How long the places of a service are not counted again.
ROOM_TTL_SECONDS = 0.1

# Parts of prompts that are remembered of all targets, some 25 MB, and of one.
MAX_CACHED_PARTS = 100_000
MAX_TARGET_PARTS = 1_000


class Targets:
    """Tracks known targets and chooses among them by :mod:`_placement`.

    Parameters
    ----------
    domain : str
        The failure domain of this entry; its targets are preferred.
    limits : TargetLimits
        The request rates that targets take from all entries together.
    regions_by_domain : dict of str to str or None
        The region of each failure domain, as far as it is known.
    """

    def __init__(
        self,
        *,
        domain: str,
        limits: routing.TargetLimits,
        regions_by_domain: typing.Mapping[str, str] | None = None,
    ):
        self.domain = domain
        self._regions = _regions.DomainRegions(
            regions_by_domain=regions_by_domain or {}
        )
        self.limits = limits
        self.cold = _cold.ColdTargets(
            limits=routing.ColdLimits(name=limits.name)
        )
        self._known: dict[str, _target.TargetState] = {}
        self._alive: frozenset[str] = frozenset()
        self._rings: dict[str, _placement.HashRing] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._ejected: set[str] = set()
        # By service: its places, and until when they are not counted again.
        self._rooms: dict[str, tuple[float, routing.Room]] = {}
        # By service and software version: the monotonic time at which a
        # target of them was last alive, infinite until :meth:`set_alive`.
        self._version_seen_at: dict[tuple[str, str], float] = {}
        # Called when a target has a version that no target had before.
        self.on_new_version: typing.Callable[[], None] = lambda: None
        # Services whose targets fail if they must reject too many requests:
        # how many a second, and when an answer said so.
        self._brittle: dict[str, tuple[float, float]] = {}
        # Tokens that an engine of a service holds, where that is known.
        self.memory: dict[str, int] = {}

    def apply_services(
        self, services: typing.Iterable[routes_wire.RoutedService]
    ) -> None:
        """Applies what a routing table says of the targets of services."""
        services = list(services)
        self.memory = {
            service.name: service.engine.memory
            for service in services
            if service.engine is not None
        }
        self.cold.apply_services(services)

    def set_presumed_cold(self, domain: str, now: float) -> None:
        """Has the targets of a failure domain count as cold.

        For use at the end of its evacuation.  They do for the time for which
        they are cold after a start, unless a later heartbeat says otherwise.
        """
        self.cold.presume(
            (
                target
                for target in self._known.values()
                if target.announced.failure_domain == domain
            ),
            now,
        )

    def update(self, announced: wire.Target) -> None:
        """Applies a newer announcement, which also marks the target alive."""
        self.cold.on_announced(announced)
        if announced.name not in self._alive:
            self._alive |= {announced.name}
            self._rings.clear()
        version = (announced.service, announced.version)
        if version not in self._version_seen_at:
            self._version_seen_at[version] = float("inf")
            self.on_new_version()
        current = self._known.get(announced.name)
        if current is None or (
            current.announced.incarnation != announced.incarnation
            or current.announced.started != announced.started
        ):
            same_domain = announced.failure_domain == self.domain
            self._known[announced.name] = _target.TargetState(
                announced=announced, same_domain=same_domain
            )
            self._rings.clear()
        else:
            before = current.announced
            current.announced = announced
            if (
                before.state,
                before.service,
                before.address,
                before.failure_domain,
            ) != (
                announced.state,
                announced.service,
                announced.address,
                announced.failure_domain,
            ):
                self._rings.clear()

    def set_evacuated(self, domains: typing.Iterable[str]) -> None:
        """Sets the failure domains whose targets get no requests."""
        self._evacuated = frozenset(domains)
        self._rings.clear()

    def is_evacuated(self, target: _target.TargetState) -> bool:
        """Whether no request may be sent to a target, by its domain.

        Checked again right before a request is sent, as an order may arrive
        while a connection is being opened.
        """
        return target.announced.failure_domain in self._evacuated

    def explain_absence(self, service: str) -> str:
        """Returns why a service has no target that may get a request."""
        evacuated = {
            target.announced.failure_domain
            for target in self._known.values()
            if target.announced.service == service
            and target.announced.state == "ready"
            and self.is_evacuated(target)
        }
        if not evacuated or any(
            not self.is_evacuated(target) for target in self.usable(service)
        ):
            return f"service {service!r} has no target"
        domains = ", ".join(sorted(evacuated))
        return (
            f"service {service!r} has no target outside the evacuated failure"
            f" domains: {domains}"
        )

    def set_alive(
        self,
        alive: typing.Iterable[str],
        known: typing.Iterable[str],
        now: float,
    ) -> None:
        """Sets which targets have a valid lease and which are still known.

        Targets that are no longer known are removed once no request is in
        flight on them.
        """
        alive_names = frozenset(alive)
        self._update_versions(alive_names, now)
        for target in self._known.values():
            self._check_reported_since_down(target, now)
            target.slowness = target.slowness_average.value(now)
            age = target.report_age(now)
            answered_recently = age is not None and age < RECENT_ANSWER_SECONDS
            if answered_recently != target.answered_recently:
                target.answered_recently = answered_recently
                self._rings.clear()
        if alive_names != self._alive:
            self._alive = alive_names
            self._rings.clear()
        for name in set(self._known) - set(known):
            if not self._known[name].in_flight:
                del self._known[name]
                self._rings.clear()

    def on_refused(self, target: _target.TargetState, now: float) -> None:
        """Notes that the address of a target refuses connections.

        The process that listens there next may run other software, and its
        report may come later than the first connection to it.
        """
        target.seen_down_at = now
        target.seen_down_sequence = target.announced.sequence
        self.cold.on_refused(target, now)

    def _check_reported_since_down(
        self, target: _target.TargetState, now: float
    ) -> None:
        if target.seen_down_at is None:
            return
        sequence = target.announced.sequence
        if now - target.seen_down_at < MAX_REPORT_DELAY_SECONDS:
            target.seen_down_sequence = sequence
        elif sequence > target.seen_down_sequence:
            target.seen_down_at = None

    def _update_versions(self, alive: frozenset[str], now: float) -> None:
        for name, target in self._known.items():
            if name in alive:
                announced = target.announced
                key = (announced.service, announced.version)
                self._version_seen_at[key] = now
        for key, seen_at in list(self._version_seen_at.items()):
            if seen_at > now:
                self._version_seen_at[key] = now
            elif now - seen_at > VERSION_RETENTION_SECONDS:
                del self._version_seen_at[key]

    def versions(self, service: str, since: float) -> set[str]:
        """Returns the software versions that targets had since a time."""
        return {
            version
            for (name, version), seen_at in self._version_seen_at.items()
            if name == service and seen_at >= since
        }

    def current_versions(self) -> set[tuple[str, str]]:
        """Returns service and version of all targets that are alive."""
        return {
            (target.announced.service, target.announced.version)
            for name, target in self._known.items()
            if name in self._alive
        }

    def correct_origin(
        self, origin: streams.StreamOrigin
    ) -> streams.StreamOrigin | None:
        """Returns where a stream began, by what is known of its target now.

        The report of a restart, maybe with other software, may have arrived
        after the stream had begun.  None if which of both wrote it can't be
        told, as clocks differ.
        """
        target = self._known.get(origin.target)
        if target is None:
            return origin
        current = target.announced
        if current.started <= origin.started or (
            current.version == origin.version
        ):
            return origin
        uptime = origin.begun_at - current.started
        if abs(uptime) <= MAX_CLOCK_DIFFERENCE_SECONDS:
            return None
        if uptime < 0:
            return origin
        return msgspec.structs.replace(origin, version=current.version)

    def has_ready(self, service: str, version: str) -> bool:
        """Whether a target of a version may receive requests soon."""
        return any(
            target.announced.service == service
            and target.announced.version == version
            and target.announced.state == "ready"
            for target in self._known.values()
        )

    def of_version(self, service: str, version: str) -> set[str]:
        """Returns the names of a service's targets of a version."""
        return {
            target.name
            for target in self._known.values()
            if target.announced.service == service
            and target.announced.version == version
        }

    def other_versions(self, service: str, version: str) -> set[str]:
        """Returns the names of a service's targets of other versions.

        So are those that may have restarted since their last report.
        """
        return {
            target.name
            for target in self._known.values()
            if target.announced.service == service
            and (
                target.announced.version != version
                or target.seen_down_at is not None
            )
        }

    def outside(
        self, service: str, regions: frozenset[str] | None
    ) -> set[str]:
        """Returns the names of a service's targets in no such region.

        There are none if ``regions`` is None.
        """
        if regions is None:
            return set()
        return {
            target.name
            for target in self._known.values()
            if target.announced.service == service
            and self._regions.is_outside(
                target.announced.failure_domain, regions
            )
        }

    def _ring_for(self, service: str, now: float) -> _placement.HashRing:
        if any(
            self._known[name].ejected_until <= now
            for name in self._ejected
            if name in self._known
        ):
            self._ejected = {
                name
                for name in self._ejected
                if name in self._known
                and self._known[name].ejected_until > now
            }
            self._rings.clear()
        ring = self._rings.get(service)
        if ring is None:
            ring = _placement.HashRing(candidates=self.usable(service))
            self._rings[service] = ring
        return ring

    def usable(self, service: str) -> list[_target.TargetState]:
        """Returns the targets of a service that may receive requests."""
        by_address: dict[str, _target.TargetState] = {}
        for target in self._known.values():
            current = by_address.get(target.announced.address)
            if current is None or current.announced.started < (
                target.announced.started
            ):
                # An address belongs to the target that started there last.
                by_address[target.announced.address] = target
        ready = [
            target
            for target in by_address.values()
            if target.announced.service == service
            and target.announced.state == "ready"
            and not self.is_evacuated(target)
        ]
        usable = [
            target
            for target in ready
            if target.name not in self._ejected
            and (target.name in self._alive or target.answered_recently)
        ]
        if len(usable) < MIN_USABLE_SHARE * len(ready):
            return ready
        return usable

    def ready_addresses(
        self, *, with_evacuated: bool = False
    ) -> dict[str, list[str]]:
        """Returns the addresses of the ready targets of each service.

        Targets whose announcements have expired are left out.
        """
        found: dict[str, list[str]] = {}
        for target in self._known.values():
            announced = target.announced
            if (
                announced.state == "ready"
                and target.name in self._alive
                and (with_evacuated or not self.is_evacuated(target))
            ):
                found.setdefault(announced.service, []).append(
                    announced.address
                )
        return found

    def choose(
        self,
        service: str,
        prompt,
        excluded,
        now: float,
        rng,
        *,
        tokens: int = 0,
    ):
        """Returns the target for a request; None if there is none.

        ``tokens`` are those that the request may take.
        """
        ring = self._ring_for(service, now)
        barred = self._barred(service, ring, now)
        if self.is_brittle(service, now):
            barred += [
                target
                for target in ring.candidates
                if not self._has_room(target, tokens)
            ]
        if barred:
            excluded = {*excluded, *(target.name for target in barred)}
        cold = self.cold.cold(service, now)
        return _warmth.choose(ring, prompt, excluded, rng, cold)

    def _barred(
        self,
        service: str,
        ring: _placement.HashRing[_target.TargetState],
        now: float,
    ) -> list[_target.TargetState]:
        """Returns the targets that take no more requests of this entry now.

        These are at the limits that they named or that cold ones have, or
        have asked for a pause.
        """
        exhausted = self.limits.exhausted(now)
        exhausted.update(self.cold.exhausted(service, now))
        return [
            target
            for target in ring.candidates
            if target.paused_until > now
            or target.incarnation_name in exhausted
        ]

    def seconds_until_allowed(
        self, service: str, excluded: typing.Collection[str], now: float
    ) -> float | None:
        """Returns when a target that is barred takes another request.

        None if none of the service, of those not excluded, is barred.
        """
        return min(
            (
                max(
                    target.paused_until - now,
                    self.limits.wait_seconds(target.incarnation_name, now),
                    self.cold.wait_seconds(target.incarnation_name, now),
                )
                for target in self._barred(
                    service, self._ring_for(service, now), now
                )
                if target.name not in excluded
            ),
            default=None,
        )

    def room(self, service: str, now: float) -> routing.Room:
        """Returns the places of the usable targets of a service.

        Refusals come in crowds, so the sums over all targets are kept for
        ``ROOM_TTL_SECONDS``.
        """
        known = self._rooms.get(service)
        if known is None or now >= known[0]:
            candidates = self._ring_for(service, now).candidates
            room = routing.Room(
                slots=sum(
                    target.slots or DEFAULT_SLOTS for target in candidates
                ),
                queued=sum(target.waiting for target in candidates),
                entries=self.limits.sender_count,
            )
            known = self._rooms[service] = (now + ROOM_TTL_SECONDS, room)
        return known[1]

    def on_max_rejections(
        self,
        target: _target.TargetState,
        rejections: float | None,
        now: float,
    ) -> bool:
        """Applies how many rejections a second an answer says it can bear.

        None if it says nothing.  Returns whether that is news.
        """
        service = target.announced.service
        before = self.is_brittle(service, now)
        if rejections is None:
            self._brittle.pop(service, None)
        else:
            self._brittle[service] = (rejections, now)
        return before != (rejections is not None)

    def is_brittle(self, service: str, now: float) -> bool:
        """Whether targets of a service fail if they reject too much."""
        known = self._brittle.get(service)
        return known is not None and now - known[1] < BRITTLE_SECONDS

    def _has_room(self, target: _target.TargetState, tokens: int) -> bool:
        """Whether this entry's part of a brittle target has room.

        All entries together fill no more than its slots and its memory, so
        that a burst which reaches all of them makes it reject nothing.
        """
        name = target.incarnation_name
        slots = target.slots or DEFAULT_SLOTS
        if target.in_flight >= self.limits.divide(name, slots):
            return False
        memory = self.memory.get(target.announced.service, 0)
        if not memory or not target.in_flight:
            return True
        most = self.limits.divide(name, memory)
        return target.in_flight_tokens + tokens <= most

    def back_off(self, target: _target.TargetState, now: float) -> None:
        """Backs off from a target that has rejected a request.

        If it is brittle, for so long that all entries together cause fewer
        rejections than it can bear.
        """
        self.eject(target, now, REJECTION_BACKOFF_SECONDS)
        service = target.announced.service
        if self.is_brittle(service, now):
            rejections, _ = self._brittle[service]
            self.pause(
                target, self.limits.sender_count / max(1.0, rejections), now
            )

    def pause(
        self, target: _target.TargetState, seconds: float, now: float
    ) -> None:
        """Sends a target nothing for the time that it has asked for.

        Unlike an ejected target, it gets nothing even if no other is left.
        """
        target.paused_until = max(
            target.paused_until, now + min(seconds, MAX_PAUSE_SECONDS)
        )

    def affinity_target(
        self, service: str, prompt, now: float
    ) -> _target.TargetState | None:
        """Returns the target to which the session of a prompt hashes."""
        return _placement.affinity_target(
            self._ring_for(service, now), prompt, ()
        )

    def get(self, name: str) -> _target.TargetState:
        """Returns a known target; raises KeyError."""
        return self._known[name]

    # Requests

    def on_request_start(
        self,
        target: _target.TargetState,
        request: str,
        prompt: tuple[_request.PromptPart, ...],
        now: float,
        *,
        tokens: int = 0,
    ) -> None:
        """Records a request that is being sent."""
        target.in_flight_tokens += tokens
        self.limits.on_send(target.incarnation_name, now)
        self.cold.on_send(target.incarnation_name, now)
        target.in_flight += 1
        target.sent_since_report += 1
        target.pending_prompts.begin(request, target.uncached_tokens(prompt))
        target.cached_parts.record(prompt, self._max_cached_parts())

    def _max_cached_parts(self) -> int:
        """Returns how many parts of prompts are remembered of one target."""
        return min(
            MAX_TARGET_PARTS,
            MAX_CACHED_PARTS // max(1, len(self._known)),
        )

    def on_request_end(
        self,
        target: _target.TargetState,
        request: str,
        *,
        failed: bool,
        now: float,
        tokens: int = 0,
    ) -> None:
        """Records the end of a request; ejects a target that keeps failing."""
        target.pending_prompts.end(request)
        target.in_flight -= 1
        target.in_flight_tokens -= tokens
        target.sent_since_report = max(0, target.sent_since_report - 1)
        if not failed:
            target.consecutive_failures = 0
            return
        target.consecutive_failures += 1
        if target.consecutive_failures >= EJECT_AFTER_FAILURES:
            target.consecutive_failures = 0
            self.eject(target, now)

    def eject(
        self,
        target: _target.TargetState,
        now: float,
        seconds: float = EJECT_SECONDS,
    ) -> None:
        """Sends a target no new requests for ``seconds``."""
        target.ejected_until = max(target.ejected_until, now + seconds)
        self._ejected.add(target.name)
        self._rings.clear()

    def on_report(
        self, target: _target.TargetState, load: wire.Load, now: float
    ) -> None:
        """Applies the load that a response reports."""
        target.report = load
        target.reported_at = now
        target.slowness_average.add(load.slowness, now)
        target.slowness = target.slowness_average.value(now)
        target.sent_since_report = 0

    def on_limit(
        self,
        target: _target.TargetState,
        limit: float | None,
        now: float,
    ) -> bool:
        """Applies the limit that a response names, None for none.

        Returns whether it differs from what was known.
        """
        return self.limits.observe(target.incarnation_name, limit, now)
