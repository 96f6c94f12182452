"""Second runs of requests whose first target is slower than usual.

:class:`galenashed.routing.HedgePolicy` decides; this module runs the request
at both targets.  The first answer wins: the head of a response, or the first
event of a stream, whose head is held until then.  The other run ends at once
by closing its connection.  Both share one reservation, which the handler
bills once, by what the caller was sent.
"""

import asyncio
import copy
import time
import typing

from galenashed import engines
from galenashed.gateway import _attempts
from galenashed.gateway import _context
from galenashed.gateway import _events
from galenashed.gateway import _relay
from galenashed.gateway import _target
from galenashed.protocol import routes as wire
from galenashed import routing

if typing.TYPE_CHECKING:
    from galenashed.gateway import _handler

# How long the summary of a service's targets is used.
STATE_SECONDS = 0.25
# Slots of a target that does not announce them.
DEFAULT_SLOTS = 1

Outcome = _attempts.AttemptOutcome | None


class _ReadAhead:
    """A connection of whose response the first bytes were already read."""

    __slots__ = ("_conn", "_data", "address")

    def __init__(self, *, conn: engines.Connection, data: bytes):
        self._conn = conn
        self._data = data
        self.address = conn.address

    async def read(self) -> bytes:
        """See :meth:`engines.Connection.read`."""
        data, self._data = self._data, b""
        return data or await self._conn.read()


class _Run:
    """One run of a request, which acts as its relay.

    The answer is forwarded to the relay of the request once it has won.
    """

    __slots__ = (
        "_exchange",
        "answered_at",
        "framing",
        "head_at",
        "race",
        "sent_at",
        "target",
        "task",
    )

    def __init__(self, *, race: "_Race", target: _target.TargetState):
        self.race = race
        self.target = target
        self.sent_at = time.monotonic()
        self.answered_at: float | None = None
        self.framing: engines.Framing | None = None
        self.head_at = 0.0
        self._exchange: asyncio.Future | None = None
        self.task: asyncio.Task[Outcome] = asyncio.create_task(
            race.send(race.context, target, self)
        )

    @property
    def is_live(self) -> bool:
        """Whether an answer may still come."""
        if self._exchange is None:
            return not self.task.done()
        return not self._exchange.done()

    def end(self) -> _attempts.AttemptOutcome:
        """Closes the connection, unless the answer is complete or lost.

        What follows a lost answer, such as the report of a crash, goes on.
        Returns the outcome, as another run answers the request.
        """
        if self.is_live:
            self.task.cancel()
            return _attempts.AttemptOutcome.LOST
        exchange = self._exchange
        if exchange is None or exchange.cancelled() or exchange.exception():
            return _attempts.AttemptOutcome.LOST
        return exchange.result() or _attempts.AttemptOutcome.LOST

    # As a relay

    @property
    def last_event_id(self) -> str | None:
        return self.race.relay.last_event_id

    @property
    def attempt_event_count(self) -> int:
        """The number of events that were forwarded from this run."""
        if self.race.winner is not self:
            return 0
        return self.race.relay.attempt_event_count

    @property
    def unfinished_bytes(self) -> int:
        """The size of an event that was forwarded in part."""
        if self.race.winner is not self:
            return 0
        return self.race.relay.unfinished_bytes

    @property
    def outlasts_lost_attempts(self) -> bool:
        """See :class:`Relay`."""
        return self.race.relay.outlasts_lost_attempts

    def begin_attempt(self) -> None:
        """Does nothing: the relay has begun, for both runs."""

    async def run(
        self, exchange: typing.Coroutine[typing.Any, typing.Any, Outcome]
    ) -> Outcome:
        """See :meth:`Relay.run`; :meth:`end` can end the exchange."""
        self._exchange = asyncio.ensure_future(exchange)
        return await self._exchange

    async def forward(self, head, conn, on_event, has_crashed) -> Outcome:
        """Forwards the response if it is the first; see :class:`Relay`."""
        self.framing = head.framing
        self.head_at = time.monotonic()
        relay = self.race.relay
        if head.status >= _relay.SERVER_ERROR and self.race.has_other(self):
            if self.race.context.route.kind is wire.RouteKind.IDEMPOTENT:
                # The error is kept in case that the other run fails too.
                return await relay.forward(head, conn, on_event, has_crashed)
            self.race.context.last_error = f"failed with status {head.status}"
            return _attempts.AttemptOutcome.FAILED
        if _relay.is_event_stream(head):
            data = await _read_first_event(conn)
            conn = _ReadAhead(conn=conn, data=data)
        self.answered_at = time.monotonic()
        self.race.win(self)
        return await relay.forward(head, conn, on_event, has_crashed)


class _Race:
    """The runs of one request, of which the first to answer wins."""

    __slots__ = ("context", "relay", "runs", "send", "winner")

    def __init__(
        self,
        *,
        context: _context.RequestContext,
        relay: _relay.Relay,
        send: typing.Callable,
    ):
        self.context = context
        self.relay = relay
        self.send = send
        self.runs: list[_Run] = []
        self.winner: _Run | None = None

    def start(self, target: _target.TargetState) -> _Run:
        """Sends the request to a target."""
        run = _Run(race=self, target=target)
        self.runs.append(run)
        return run

    def has_other(self, run: _Run) -> bool:
        """Whether another run may still answer."""
        return any(other.is_live for other in self.runs if other is not run)

    def win(self, run: _Run) -> None:
        """Has a run answer the request, and ends the other at once.

        The other one counts, whether it is ended here or had failed: another
        target may have to continue the stream of the winner.
        """
        self.winner = run
        names = self.context.attempted_targets
        names.remove(run.target.name)
        names.append(run.target.name)
        for other in self.runs:
            if other is not run:
                self.context.attempts.record(other.end())

    async def close(self) -> None:
        """Ends all runs, as their request has ended."""
        tasks = [run.task for run in self.runs]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def outcome(self) -> Outcome:
        """Waits for the winner, or until all runs have failed.

        Returns the outcome of the winner, else that of the first run that
        was not ended; the other one is counted here.
        """
        pending = {run.task for run in self.runs}
        while pending and self.winner is None:
            _, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            if self.winner is None and self.context.crashed_target:
                # One request must not crash several targets.
                for run in self.runs:
                    if run.is_live:
                        self.context.attempts.record(run.end())
        if self.winner is not None:
            return await self.winner.task
        outcomes = [
            run.task.result() for run in self.runs if not run.task.cancelled()
        ]
        for outcome in outcomes[1:]:
            assert outcome is not None
            self.context.attempts.record(outcome)
        return outcomes[0]


async def _read_first_event(conn: engines.Connection) -> bytes:
    """Reads until the first event of a stream is complete, or its end."""
    splitter = _events.EventSplitter()
    received = bytearray()
    while data := await conn.read():
        received += data
        try:
            if splitter.feed(data):
                break
        except _events.EventTooLargeError:
            # The relay finds the same.
            break
    return bytes(received)


class Hedges:
    """Sends requests of a gateway to a second target if the first is slow.

    Parameters
    ----------
    gateway : Gateway
        Sends the runs.  Its targets, retry budget and quarantine limit which
        requests are hedged.
    """

    def __init__(self, *, gateway: "_handler.Gateway"):
        self.gateway = gateway
        self.policy = routing.HedgePolicy()
        # By service: when its targets were looked at, and their state.
        self._states: dict[str, tuple[float, routing.ServiceState]] = {}
        # Runs that were lost to others may still report a crash.
        self._tasks: set[asyncio.Task] = set()

    async def send(
        self,
        context: _context.RequestContext,
        target: _target.TargetState,
        relay: _relay.Relay,
    ) -> Outcome:
        """Sends a request to a target, and to another if that one is slow.

        Returns None once the response is complete, else why there was none.
        """
        share = self.policy.share(context.route.hedge_share)
        if not share or not _may_hedge(context, relay):
            return await self.gateway.send(context, target, relay)
        now = time.monotonic()
        if not context.attempted_targets:
            self.policy.on_request(context.route.name, now)
        key = routing.HedgeKey(context.service, context.route.kind.value)
        relay.begin_attempt()
        race = _Race(context=context, relay=relay, send=self.gateway.send)
        first = self._start(race, target)
        delay = self.policy.delay(key, share, now)
        overdue = False
        try:
            await asyncio.wait({first.task}, timeout=delay)
            overdue = first.is_live and race.winner is None
            if overdue:
                self.policy.on_overdue(key, time.monotonic())
                self._send_second(race, key, share)
            return await race.outcome()
        except BaseException:
            # The caller has left or the time limit has passed.
            await race.close()
            raise
        finally:
            self._record(race, key, overdue=overdue)

    def _start(self, race: _Race, target: _target.TargetState) -> _Run:
        run = race.start(target)
        self._tasks.add(run.task)
        run.task.add_done_callback(self._tasks.discard)
        return run

    def _send_second(
        self, race: _Race, key: routing.HedgeKey, share: float
    ) -> None:
        """Sends a slow request to a second target, unless that is refused."""
        gateway, context = self.gateway, race.context
        now = time.monotonic()
        second = None
        refusal = self.policy.refusal(
            self._describe(context, key, share),
            self._service_state(context.service, now),
            now,
        )
        if refusal is None:
            second = self._choose(context, race.runs[0].target)
            if second is None:
                refusal = routing.HedgeRefusal.NO_TARGET
            elif not gateway.retries.try_acquire():
                refusal = routing.HedgeRefusal.RETRY_BUDGET
        if refusal is not None or second is None:
            gateway.metrics.count(f"gateway.hedge_refused.{refusal}")
            return
        self.policy.on_hedged(context.route.name, now)
        gateway.metrics.count("gateway.hedged")
        waited = now - race.runs[0].sent_at
        gateway.metrics.duration("gateway.hedge_delay", waited)
        gateway.log.write(
            "hedged",
            request=context.request.id,
            route=context.route.name,
            first=race.runs[0].target.name,
            target=second.name,
            waited=round(waited, 4),
            after=_context.elapsed_seconds(context.request),
        )
        self._start(race, second)

    def _describe(
        self,
        context: _context.RequestContext,
        key: routing.HedgeKey,
        share: float,
    ) -> routing.SlowRequest:
        request, quarantine = context.request, self.gateway.quarantine
        return routing.SlowRequest(
            route=context.route.name,
            key=key,
            share=share,
            runs=context.attempts.runs + 1,
            max_targets=context.route.max_targets,
            time_left=context.time_left(),
            suspected=context.in_trial
            or quarantine.is_suspected(request)
            or quarantine.find_quarantined(request) is not None,
        )

    def _service_state(self, service: str, now: float) -> routing.ServiceState:
        """Returns the state of a service's targets, of shortly before."""
        known = self._states.get(service)
        if known is not None and now - known[0] < STATE_SECONDS:
            return known[1]
        targets = self.gateway.targets
        usable = targets.usable(service)
        wall_time = time.time()
        state = routing.ServiceState(
            brittle=targets.is_brittle(service, now),
            cold=any(
                (target.announced.cold_until or 0) > wall_time
                for target in usable
            ),
            limited=any(
                targets.limits.is_limited(target.incarnation_name)
                for target in usable
            ),
            paused=any(target.paused_until > now for target in usable),
            reachable=service not in self.gateway.paths.lost,
            running=sum(target.running for target in usable),
            waiting=sum(target.waiting for target in usable),
            slots=sum(target.slots or DEFAULT_SLOTS for target in usable),
        )
        self._states[service] = (now, state)
        return state

    def _choose(
        self,
        context: _context.RequestContext,
        first: _target.TargetState,
    ) -> _target.TargetState | None:
        """Returns the second target; None if none has a slot to spare.

        It has the software version of the first.
        """
        if first.seen_down_at is not None:
            # It may have restarted with another version.
            return None
        bound = copy.copy(context)
        bound.version = first.announced.version
        second = self.gateway.choose_target(bound)
        if second is None or second.running >= (second.slots or DEFAULT_SLOTS):
            return None
        return second

    def _record(
        self, race: _Race, key: routing.HedgeKey, *, overdue: bool
    ) -> None:
        """Records the duration of the first run, and which run has won."""
        now = time.monotonic()
        first = race.runs[0]
        if first.answered_at is not None or overdue:
            answered_at = first.answered_at or now
            if race.winner is not None and race.winner.answered_at is not None:
                answered_at = min(answered_at, race.winner.answered_at)
            self.policy.on_first_answer(
                key, answered_at - first.sent_at, now, overdue=overdue
            )
        if len(race.runs) == 1:
            return
        winner = race.winner
        won = winner is race.runs[1]
        self.policy.on_hedge_end(key, now, won=won)
        ending = "failed" if winner is None else "won" if won else "lost"
        self.gateway.metrics.count(f"gateway.hedge_{ending}")
        self.gateway.log.write(
            "hedge ended",
            request=race.context.request.id,
            winner=winner.target.name if winner is not None else None,
            ending=ending,
            after=_context.elapsed_seconds(race.context.request),
        )


def _may_hedge(context: _context.RequestContext, relay: _relay.Relay) -> bool:
    """Whether a request may have a second run, if its target is slow.

    A stream that has begun, here or elsewhere, continues at one target.
    """
    return (
        context.route.kind is not wire.RouteKind.AT_MOST_ONCE
        and context.route.repeatable
        and context.attempts.runs + 1 < context.route.max_targets
        and context.request.resume_after is None
        and not relay.started
    )
