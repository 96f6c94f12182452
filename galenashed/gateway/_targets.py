"""The targets of every service as this entry knows them."""

import typing

from galenashed.gateway import _placement
from galenashed.gateway import _prompts
from galenashed.gateway import _request
from galenashed.protocol import spread as wire

EJECT_AFTER_FAILURES = 3
EJECT_SECONDS = 2.0
# A target that says it is full is left alone for about one short request.
REJECTED_SECONDS = 0.2
# Below this share of usable targets the path to them is taken to be at
# fault, and all that have not left are used.
MIN_USABLE_SHARE = 0.5
# A target that answered this lately is there, whatever its announcements.
ANSWERED_SECONDS = 3.0
# Tokens of shared parts that a target is taken to keep; about half of the
# memory of the emulated engines, the rest is for running requests.
KEPT_TOKENS = 120_000


class TargetState:
    """One target: its announcement, reported load and own requests."""

    __slots__ = (
        "announced",
        "answered",
        "ejected_until",
        "failures",
        "in_flight",
        "near",
        "parts",
        "prompts",
        "report",
        "reported_at",
        "since_report",
    )

    def __init__(self, *, announced: wire.Target, near: bool):
        self.announced = announced
        self.near = near
        self.report = wire.Load()
        self.reported_at: float | None = None
        # Set while it has answered lately; see :meth:`Targets.set_alive`.
        self.answered = False
        self.since_report = 0
        self.in_flight = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.prompts = _prompts.Unread()
        self.parts = _prompts.Parts(room=KEPT_TOKENS)

    @property
    def name(self) -> str:
        return self.announced.name

    @property
    def slots(self) -> int:
        return self.announced.slots

    @property
    def running(self) -> int:
        """Requests in its batch: reported, or known from here."""
        return max(self.report.running + self.since_report, self.in_flight)

    @property
    def waiting(self) -> int:
        return self.report.waiting

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens sent there that have not been read yet."""
        return self.prompts.tokens

    def uncached_tokens(self, prompt: tuple[_request.Part, ...]) -> int:
        """Tokens of a prompt that it is not known to have read."""
        return self.parts.uncached_tokens(prompt)

    def report_age(self, now: float) -> float | None:
        """Returns the seconds since the last report; None before one."""
        if self.reported_at is None:
            return None
        return round(now - self.reported_at, 3)


class Targets:
    """Keeps what is known of targets; chooses by :mod:`_placement`.

    Parameters
    ----------
    domain : str
        The failure domain of this entry; targets in it are near.
    """

    def __init__(self, *, domain: str):
        self.domain = domain
        self._known: dict[str, TargetState] = {}
        self._alive: frozenset[str] = frozenset()
        self._rings: dict[str, _placement.Ring] = {}
        self._ejected: set[str] = set()

    def update(self, announced: wire.Target) -> None:
        """Takes a newer announcement, of a target that is alive by it."""
        if announced.name not in self._alive:
            self._alive |= {announced.name}
            self._rings.clear()
        held = self._known.get(announced.name)
        if held is None or (
            held.announced.incarnation != announced.incarnation
            or held.announced.started != announced.started
        ):
            near = announced.failure_domain == self.domain
            self._known[announced.name] = TargetState(
                announced=announced, near=near
            )
            self._rings.clear()
        else:
            before = held.announced
            held.announced = announced
            if (before.state, before.service, before.address) != (
                announced.state,
                announced.service,
                announced.address,
            ):
                self._rings.clear()

    def set_alive(
        self,
        names: typing.Iterable[str],
        known: typing.Iterable[str],
        now: float,
    ) -> None:
        """Takes the names whose lease runs, and all that are remembered."""
        alive = frozenset(names)
        for target in self._known.values():
            age = target.report_age(now)
            answered = age is not None and age < ANSWERED_SECONDS
            if answered != target.answered:
                target.answered = answered
                self._rings.clear()
        if alive != self._alive:
            self._alive = alive
            self._rings.clear()
        for name in set(self._known) - set(known):
            if not self._known[name].in_flight:
                del self._known[name]
                self._rings.clear()

    def _ring(self, service: str, now: float) -> _placement.Ring:
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
            ring = _placement.Ring(candidates=self.usable(service))
            self._rings[service] = ring
        return ring

    def usable(self, service: str) -> list[TargetState]:
        """Returns the targets of a service that may be given work."""
        holders: dict[str, TargetState] = {}
        for target in self._known.values():
            held = holders.get(target.announced.address)
            if held is None or held.announced.started < (
                target.announced.started
            ):
                # The address belongs to whoever started there last.
                holders[target.announced.address] = target
        ready = [
            target
            for target in holders.values()
            if target.announced.service == service
            and target.announced.state == "ready"
        ]
        usable = [
            target
            for target in ready
            if target.name not in self._ejected
            and (target.name in self._alive or target.answered)
        ]
        if len(usable) < MIN_USABLE_SHARE * len(ready):
            return ready
        return usable

    def choose(self, service: str, prompt, excluded, now: float, rng):
        """Returns the target for a request; None if there is none."""
        ring = self._ring(service, now)
        return _placement.choose(ring, prompt, excluded, rng)

    def affinity_target(
        self, service: str, prompt, now: float
    ) -> TargetState | None:
        """Returns the target at which the requests of a session meet."""
        return _placement.affinity_target(self._ring(service, now), prompt, ())

    def get(self, name: str) -> TargetState:
        """Returns a known target; raises KeyError."""
        return self._known[name]

    # Requests

    def begin(
        self,
        target: TargetState,
        request: str,
        prompt: tuple[_request.Part, ...],
    ) -> None:
        """Counts a request that is sent."""
        target.in_flight += 1
        target.since_report += 1
        target.prompts.begin(request, target.uncached_tokens(prompt))
        target.parts.note(prompt)

    def end(
        self, target: TargetState, request: str, *, failed: bool, now: float
    ) -> None:
        """Counts a request that has ended."""
        target.prompts.end(request)
        target.in_flight -= 1
        target.since_report = max(0, target.since_report - 1)
        if not failed:
            target.failures = 0
            return
        target.failures += 1
        if target.failures >= EJECT_AFTER_FAILURES:
            target.failures = 0
            self.eject(target, now)

    def eject(
        self, target: TargetState, now: float, seconds: float = EJECT_SECONDS
    ) -> None:
        """Gives a target no work for a while."""
        target.ejected_until = max(target.ejected_until, now + seconds)
        self._ejected.add(target.name)
        self._rings.clear()

    def on_report(
        self, target: TargetState, load: wire.Load, now: float
    ) -> None:
        """Takes the load that an answer reports."""
        target.report = load
        target.reported_at = now
        target.since_report = 0
