"""Entries and engines in simulated time, driven by the real decisions."""

import heapq
import itertools
import random
import typing

import msgspec

from galenashed.emulator import _engine
from galenashed.emulator import _load
from galenashed import gateway
from galenashed.protocol import spread as wire

SERVICE = "engines"
DOMAINS = 3
# Seconds of one way between an entry and an engine, or another entry.
HOP_SECONDS = 0.001


class FleetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Entries before the engines.

    ``slow`` of the engines take ``slow_pace`` times as long.
    """

    entries: int = 3
    slow: int = 0
    slow_pace: float = 4.0


class Outcome(typing.NamedTuple):
    """What became of a request; times in seconds, None for never."""

    arrival: _load.Arrival
    entry: int
    engine: str
    first: float | None
    pause: float
    whole: float | None

    @property
    def worth(self) -> float:
        """What the answer is worth to its caller."""
        kind = self.arrival.kind
        if self.whole is None or self.whole * 1000 > kind.limit_ms:
            return 0.0
        return kind.worth if self.on_time else kind.worth_late

    @property
    def on_time(self) -> bool:
        """Whether it kept the objective and never paused for long."""
        kind = self.arrival.kind
        return (
            self.first is not None
            and self.first * 1000 <= kind.objective_ms
            and self.pause * 1000 <= kind.pause_ms
        )


class Placer(typing.Protocol):
    """Chooses the engine of a request."""

    def choose(
        self,
        targets: gateway.Targets,
        prompt: tuple[gateway.PromptPart, ...],
        now: float,
        rng: random.Random,
    ) -> gateway.TargetState | None:
        """Returns one of the targets that an entry knows."""


class Predicted:
    """The placement of the gateway."""

    def choose(self, targets, prompt, now, rng):
        """See :class:`Placer`."""
        return targets.choose(SERVICE, prompt, (), now, rng)


class AtRandom:
    """Any of them."""

    def choose(self, targets, prompt, now, rng):
        """See :class:`Placer`."""
        return rng.choice(targets.usable(SERVICE))


class LeastRunning:
    """The one with the fewest requests, as far as the entry knows."""

    def choose(self, targets, prompt, now, rng):
        """See :class:`Placer`."""
        usable = targets.usable(SERVICE)
        return min(
            usable, key=lambda one: (one.running + one.waiting, rng.random())
        )


class HomeOnly:
    """The home of the session, however busy it is."""

    def choose(self, targets, prompt, now, rng):
        """See :class:`Placer`."""
        return targets.affinity_target(SERVICE, prompt, now)


PLACERS: dict[str, Placer] = {
    "predicted": Predicted(),
    "random": AtRandom(),
    "least-running": LeastRunning(),
    "home-only": HomeOnly(),
}


class Fleet:
    """One run; see :meth:`run`.

    Parameters
    ----------
    cfg : FleetSettings
        Entries.
    engines : EngineSettings
        Engines.
    placer : Placer
        Decides where requests run.
    rng : random.Random
        Draws callers' entries and breaks ties.
    """

    def __init__(
        self,
        *,
        cfg: FleetSettings,
        engines: _engine.EngineSettings,
        placer: Placer,
        rng: random.Random,
    ):
        self.cfg = cfg
        self.placer = placer
        self.rng = rng
        self.now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, typing.Callable]] = []
        self.engines = {
            f"engine-{n}": _engine.Engine(
                name=f"engine-{n}",
                cfg=engines,
                pace=cfg.slow_pace if n < cfg.slow else 1.0,
            )
            for n in range(engines.count)
        }
        self._busy: set[str] = set()
        self.entries = [self._entry(n) for n in range(cfg.entries)]
        self._jobs: dict[_engine.Work, tuple[str, int, _load.Arrival]] = {}
        self._outcomes: list[Outcome] = []

    def _entry(self, number: int) -> gateway.Targets:
        targets = gateway.Targets(domain=f"domain-{number % DOMAINS}")
        for position, engine in enumerate(self.engines.values()):
            targets.update(
                wire.Target(
                    name=engine.name,
                    incarnation="1",
                    started=0.0,
                    sequence=1,
                    service=SERVICE,
                    address=engine.name,
                    failure_domain=f"domain-{position % DOMAINS}",
                    state="ready",
                    slots=engine.cfg.slots,
                )
            )
        return targets

    def run(self, arrivals: list[_load.Arrival]) -> list[Outcome]:
        """Plays a load to its end; returns what became of each request."""
        for number, arrival in enumerate(arrivals):
            self._at(arrival.at, self._arrive, f"request-{number}", arrival)
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return self._outcomes

    def _at(self, when: float, call, *args) -> None:
        event = (when, next(self._order), lambda: call(*args))
        heapq.heappush(self._events, event)

    def _arrive(self, name: str, arrival: _load.Arrival) -> None:
        number = self.rng.randrange(len(self.entries))
        targets = self.entries[number]
        prompt = (
            *(
                gateway.PromptPart(part, tokens)
                for part, tokens in arrival.parts
            ),
            gateway.PromptPart(name, arrival.own),
        )
        target = self.placer.choose(targets, prompt, self.now, self.rng)
        assert target is not None
        targets.begin(target, name, prompt)
        work = _engine.Work(
            parts=list(arrival.parts),
            own=arrival.own,
            output=arrival.output,
            priority=arrival.kind.priority,
        )
        self._jobs[work] = (name, number, arrival)
        self._at(self.now + HOP_SECONDS, self._add, target.name, work)

    def _add(self, engine: str, work: _engine.Work) -> None:
        self.engines[engine].add(work)
        if engine not in self._busy:
            self._busy.add(engine)
            self._step(engine)

    def _step(self, name: str) -> None:
        engine = self.engines[name]
        seconds, ended = engine.step(self.now)
        if not seconds:
            self._busy.discard(name)
            return
        done = self.now + seconds
        load = wire.Load(running=len(engine.running), waiting=engine.waiting)
        for work in (*engine.running, *ended):
            if work.first_at == done:
                self._at(done + HOP_SECONDS, self._begun, name, work, load)
        for work in ended:
            self._at(done + HOP_SECONDS, self._ended, name, work)
        self._at(done, self._step, name)

    def _begun(self, engine: str, work, load: wire.Load) -> None:
        request, number, _ = self._jobs[work]
        targets = self.entries[number]
        target = targets.get(engine)
        target.pending_prompts.end(request)
        targets.on_report(target, load, self.now)

    def _ended(self, engine: str, work: _engine.Work) -> None:
        request, number, arrival = self._jobs.pop(work)
        targets = self.entries[number]
        targets.end(targets.get(engine), request, failed=False, now=self.now)
        assert work.first_at is not None
        self._outcomes.append(
            Outcome(
                arrival=arrival,
                entry=number,
                engine=engine,
                first=work.first_at + HOP_SECONDS - arrival.at,
                pause=work.longest_pause,
                whole=self.now - arrival.at,
            )
        )
