"""Discrete-event simulation of entries and engines.

The entries track targets with the code of the gateway and, unless a case
selects another policy, place requests with it too.
"""

import heapq
import itertools
import random
import typing

import msgspec

from galenashed.emulator import _engine
from galenashed.emulator import _load
from galenashed import gateway
from galenashed.protocol import gossip as wire
from galenashed import routing

SERVICE = "engines"
FAILURE_DOMAIN_COUNT = 3
# One-way network delay between an entry and an engine.
NETWORK_DELAY_SECONDS = 0.001


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Number of entries, and number and speed of the slow engines.

    Parameters
    ----------
    entries : int
        Number of entries.
    slow : int
        Number of slow engines.
    slow_pace : float
        Factor by which a slow engine takes longer for a step.
    """

    entries: int = 3
    slow: int = 0
    slow_pace: float = 4.0


class Outcome(typing.NamedTuple):
    """Result of a request; times in seconds.

    ``first_event_seconds`` and ``total_seconds`` are measured from its
    arrival.
    """

    arrival: _load.Arrival
    entry_index: int
    engine_name: str
    first_event_seconds: float | None
    longest_pause: float
    total_seconds: float | None

    @property
    def worth(self) -> float:
        """Value of the response to the caller."""
        kind = self.arrival.kind
        if (
            self.total_seconds is None
            or self.total_seconds * 1000 > kind.limit_ms
        ):
            return 0.0
        return kind.worth if self.met_objectives else kind.worth_late

    @property
    def met_objectives(self) -> bool:
        """Whether it met the latency objective and the limit on pauses."""
        kind = self.arrival.kind
        return (
            self.first_event_seconds is not None
            and self.first_event_seconds * 1000 <= kind.objective_ms
            and self.longest_pause * 1000 <= kind.pause_ms
        )


class PlacementPolicy(typing.Protocol):
    """Chooses the engine of a request."""

    def choose(
        self,
        targets: gateway.Targets,
        prompt: tuple[gateway.PromptPart, ...],
        now: float,
        rng: random.Random,
    ) -> gateway.TargetState | None:
        """Returns a target known to the entry, or None if there is none."""


class GatewayPlacement:
    """Uses the gateway's placement, which predicts the delay of targets."""

    def choose(self, targets, prompt, now, rng):
        """See :class:`PlacementPolicy`."""
        return targets.choose(SERVICE, prompt, (), now, rng)


class RandomPlacement:
    """Chooses any usable target with equal probability."""

    def choose(self, targets, prompt, now, rng):
        """See :class:`PlacementPolicy`."""
        return rng.choice(targets.usable(SERVICE))


class LeastRunningPlacement:
    """Chooses the target with the fewest requests that the entry knows of."""

    def choose(self, targets, prompt, now, rng):
        """See :class:`PlacementPolicy`."""
        usable = targets.usable(SERVICE)
        return min(
            usable,
            key=lambda target: (
                target.running + target.waiting,
                rng.random(),
            ),
        )


class AffinityOnlyPlacement:
    """Chooses the affinity target of the session, however loaded it is."""

    def choose(self, targets, prompt, now, rng):
        """See :class:`PlacementPolicy`."""
        return targets.affinity_target(SERVICE, prompt, now)


PLACEMENT_POLICIES: dict[str, PlacementPolicy] = {
    "predicted": GatewayPlacement(),
    "random": RandomPlacement(),
    "least-running": LeastRunningPlacement(),
    "home-only": AffinityOnlyPlacement(),
}


class Fleet:
    """Entries and engines of one simulation run.

    Parameters
    ----------
    cfg : FleetSettings
        Number of entries, and the slow engines.
    engine_cfg : EngineSettings
        Settings of the engines.
    policy : PlacementPolicy
        Chooses the engine of each request.
    rng : random.Random
        Chooses the entry of each request; passed on to the policy.
    """

    def __init__(
        self,
        *,
        cfg: FleetSettings,
        engine_cfg: _engine.EngineSettings,
        policy: PlacementPolicy,
        rng: random.Random,
    ):
        self.cfg = cfg
        self.policy = policy
        self.rng = rng
        self.now = 0.0
        self._counter = itertools.count()
        # Heap; the counter keeps events of the same time in FIFO order.
        self._events: list[tuple[float, int, typing.Callable]] = []
        self.engines = {
            f"engine-{n}": _engine.Engine(
                name=f"engine-{n}",
                cfg=engine_cfg,
                slowdown=cfg.slow_pace if n < cfg.slow else 1.0,
            )
            for n in range(engine_cfg.count)
        }
        # Engines with a scheduled step.
        self._busy: set[str] = set()
        self.targets_by_entry = [
            self._make_targets(n) for n in range(cfg.entries)
        ]
        # Request id, entry index and arrival of each unfinished request.
        self._in_flight: dict[
            _engine.EngineRequest, tuple[str, int, _load.Arrival]
        ] = {}
        self._outcomes: list[Outcome] = []

    def _make_targets(self, entry_index: int) -> gateway.Targets:
        """Returns the targets as an entry knows them at the start."""
        targets = gateway.Targets(
            domain=f"domain-{entry_index % FAILURE_DOMAIN_COUNT}",
            limits=routing.TargetLimits(name=f"entry-{entry_index}"),
        )
        for position, engine in enumerate(self.engines.values()):
            targets.update(
                wire.Target(
                    name=engine.name,
                    incarnation="1",
                    started=0.0,
                    sequence=1,
                    service=SERVICE,
                    address=engine.name,
                    failure_domain=(
                        f"domain-{position % FAILURE_DOMAIN_COUNT}"
                    ),
                    state="ready",
                    slots=engine.cfg.slots,
                )
            )
        return targets

    def run(self, arrivals: list[_load.Arrival]) -> list[Outcome]:
        """Runs until all requests have finished; returns their outcomes."""
        for number, arrival in enumerate(arrivals):
            self._schedule(
                arrival.arrived_at,
                self._on_arrival,
                f"request-{number}",
                arrival,
            )
        while self._events:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        return self._outcomes

    def _schedule(self, when: float, callback, *args) -> None:
        event = (when, next(self._counter), lambda: callback(*args))
        heapq.heappush(self._events, event)

    def _on_arrival(self, request_id: str, arrival: _load.Arrival) -> None:
        entry_index = self.rng.randrange(len(self.targets_by_entry))
        targets = self.targets_by_entry[entry_index]
        prompt = (
            *(
                gateway.PromptPart(part, tokens)
                for part, tokens in arrival.parts
            ),
            gateway.PromptPart(request_id, arrival.unique_tokens),
        )
        target = self.policy.choose(targets, prompt, self.now, self.rng)
        assert target is not None
        targets.on_request_start(target, request_id, prompt, self.now)
        request = _engine.EngineRequest(
            parts=list(arrival.parts),
            unique_tokens=arrival.unique_tokens,
            output_tokens=arrival.output_tokens,
            priority=arrival.kind.priority,
        )
        self._in_flight[request] = (request_id, entry_index, arrival)
        self._schedule(
            self.now + NETWORK_DELAY_SECONDS,
            self._deliver,
            target.name,
            request,
        )

    def _deliver(
        self, engine_name: str, request: _engine.EngineRequest
    ) -> None:
        self.engines[engine_name].add(request)
        if engine_name not in self._busy:
            self._busy.add(engine_name)
            self._step(engine_name)

    def _step(self, engine_name: str) -> None:
        """Runs a step and schedules its effects and the next step."""
        engine = self.engines[engine_name]
        seconds, finished = engine.step(self.now)
        if not seconds:
            self._busy.discard(engine_name)
            return
        step_end = self.now + seconds
        load = wire.Load(running=len(engine.running), waiting=engine.waiting)
        for request in (*engine.running, *finished):
            if request.first_event_at == step_end:
                self._schedule(
                    step_end + NETWORK_DELAY_SECONDS,
                    self._on_first_event,
                    engine_name,
                    request,
                    load,
                )
        for request in finished:
            self._schedule(
                step_end + NETWORK_DELAY_SECONDS,
                self._on_finished,
                engine_name,
                request,
            )
        self._schedule(step_end, self._step, engine_name)

    def _on_first_event(
        self, engine_name: str, request, load: wire.Load
    ) -> None:
        request_id, entry_index, _ = self._in_flight[request]
        targets = self.targets_by_entry[entry_index]
        target = targets.get(engine_name)
        target.pending_prompts.end(request_id)
        targets.on_report(target, load, self.now)

    def _on_finished(
        self, engine_name: str, request: _engine.EngineRequest
    ) -> None:
        request_id, entry_index, arrival = self._in_flight.pop(request)
        targets = self.targets_by_entry[entry_index]
        targets.on_request_end(
            targets.get(engine_name), request_id, failed=False, now=self.now
        )
        assert request.first_event_at is not None
        self._outcomes.append(
            Outcome(
                arrival=arrival,
                entry_index=entry_index,
                engine_name=engine_name,
                first_event_seconds=(
                    request.first_event_at
                    + NETWORK_DELAY_SECONDS
                    - arrival.arrived_at
                ),
                longest_pause=request.longest_pause,
                total_seconds=self.now - arrival.arrived_at,
            )
        )
