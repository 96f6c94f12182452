"""Running a model request at one engine after another."""

import time
import typing

import aiohttp
import loguru
import msgspec

from galenashed import budget
from galenashed import engines
from galenashed.entry import _dispatcher
from galenashed.entry import _requests
from galenashed.protocol import control as wire
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

MAX_TRIES = 4
RETRY_SECONDS = 1.0
STALL_SECONDS = 1.0


class ModelRun:
    """One admitted request on its way through targets."""

    __slots__ = (
        "caller_gone",
        "demand",
        "heard",
        "on_trial",
        "request",
        "reservation",
        "sent",
        "service",
        "slot",
        "started",
        "team",
        "tries",
    )

    def __init__(self, *, request, team, service, reservation, demand):
        self.request: _requests.ModelRequest = request
        self.team: wire.Team = team
        self.service: wire.Service = service
        self.reservation: budget.Reservation = reservation
        self.demand: _dispatcher.Demand = demand
        self.slot: _dispatcher.Slot | None = None
        self.tries = 0
        self.sent = False
        self.on_trial = False
        self.caller_gone = False
        self.started = time.monotonic()
        self.heard = self.started

    @property
    def run_so_far(self) -> web.ExecutionStatus:
        """What is known of the run, for an answer that gives it up."""
        return (
            web.ExecutionStatus.UNKNOWN
            if self.sent
            else web.ExecutionStatus.NOT_RUN
        )

    def watch_stream(self, resp) -> None:
        """Breaks a stream off that stalls after its target's lease ends.

        A lease alone proves nothing, for this entry may be the one that is
        cut off: a stream that goes on is left alone.
        """
        assert self.slot is not None
        self.heard = time.monotonic()

        def on_silent() -> None:
            if time.monotonic() - self.heard > STALL_SECONDS:
                resp.close()

        self.slot.on_silent = on_silent

    def end_slot(self, *, failed: bool = False) -> None:
        """Gives the target's place back."""
        if self.slot is not None:
            self.slot.end(failed=failed)
            self.slot = None


class Trials(typing.Protocol):
    """Decides whether requests that may end targets run again."""

    async def report(self, run: ModelRun, target) -> None:
        """Records that a target died under a run; may raise ApiError."""

    async def begin(self, run: ModelRun) -> None:
        """Waits until a suspected request may run; may raise ApiError."""


class EngineRunner:
    """Sends model requests to engines, and tries again where that is safe.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses engines.
    client : TargetClient
        Calls them.
    trials : Trials
        Is told of targets that died, and asked before another try.
    metrics : Metrics
        Counts retries and losses.
    """

    def __init__(
        self,
        *,
        dispatcher: _dispatcher.Dispatcher,
        client: engines.TargetClient,
        trials: Trials,
        metrics: telemetry.Metrics,
    ):
        self.dispatcher = dispatcher
        self.client = client
        self.trials = trials
        self.metrics = metrics

    async def open(self, run: ModelRun, *, first_event: int):
        """Sends the request to targets until one answers with success."""
        while True:
            if run.demand.requirements.exclusive:
                await self.trials.begin(run)
            run.slot = await self._acquire(run)
            run.tries += 1
            try:
                resp = await self._send(run, first_event)
            except engines.NotSentError as exc:
                LOG.info("target {} refused", run.slot.target.name)
                self._avoid(run, failed=True)
                self._check_tries(run, exc)
                continue
            except engines.TargetLostError as exc:
                run.sent = True
                await self.on_lost(run, exc)
                continue
            run.sent = True
            if resp.status == 200:
                return resp
            await self._on_refusal(run, resp)

    async def _acquire(self, run: ModelRun) -> _dispatcher.Slot:
        try:
            return await self.dispatcher.acquire(run.demand)
        except web.ApiError as exc:
            if run.sent:
                exc.run = web.ExecutionStatus.UNKNOWN
            raise

    async def _send(self, run: ModelRun, first_event: int):
        assert run.slot is not None
        request = run.request
        fields = dict(request.body, priority=request.priority)
        if first_event:
            fields["resume_from_event"] = first_event
        async with self.dispatcher.watch(run.slot, run.service.timeout):
            resp = await self.client.send(
                address=run.slot.target.address,
                method="POST",
                path=request.path,
                headers={
                    "Content-Type": "application/json",
                    "X-Request-Id": request.attempt,
                },
                body=msgspec.json.encode(fields),
                repeatable=True,
            )
        echoed = resp.headers.get("X-Request-Id", request.attempt)
        if echoed != request.attempt:
            resp.close()
            raise engines.TargetLostError("answer to another request")
        return resp

    async def _on_refusal(self, run: ModelRun, resp) -> None:
        """Handles an answer other than success; returns to try again."""
        status = resp.status
        try:
            body = await resp.read()
        except (aiohttp.ClientError, TimeoutError):
            body = b""
        busy = status in (429, 503)
        if status < 500 and not busy:
            run.end_slot()
            raise web.ApiError(
                status=status,
                code="engine_refused",
                message=body[:1000].decode("utf-8", "replace"),
            )
        self._avoid(run, failed=not busy)
        self._check_tries(run, Exception(f"status {status}"))

    def _avoid(self, run: ModelRun, *, failed: bool) -> None:
        assert run.slot is not None
        run.demand.requirements.excluded.add(run.slot.target.name)
        run.end_slot(failed=failed)

    def _check_tries(self, run: ModelRun, exc: Exception) -> None:
        if run.tries < MAX_TRIES and self.dispatcher.retries.take():
            self.metrics.count("model.retry")
            return
        raise web.ApiError(
            status=503,
            code="targets_failing",
            message=f"given up after {run.tries} tries: {exc}",
            run=run.run_so_far,
            retry_after=RETRY_SECONDS,
        )

    async def on_lost(self, run: ModelRun, exc: Exception) -> None:
        """Handles a target lost in mid-request; returns to try again."""
        assert run.slot is not None
        target = run.slot.target
        LOG.warning("target {} was lost: {}", target.name, exc)
        self.metrics.count("model.target_lost")
        self._avoid(run, failed=True)
        if await self.client.is_refusing(target.address):
            await self.trials.report(run, target)
        self._check_tries(run, exc)
