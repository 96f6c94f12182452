"""Sends a model request to engines and retries on failure."""

import time
import typing

import loguru
import msgspec

from galenashed import budget
from galenashed import clients
from galenashed import engines
from galenashed.entry import _crashes
from galenashed.entry import _dispatcher
from galenashed.entry import _requests
from galenashed.protocol import control as wire
from galenashed import quarantine
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

MAX_TRIES = 4
# Limit of the body of an error response; callers get its first part.
MAX_ERROR_BYTES = 64 * 1024
RETRY_AFTER_SECONDS = 1.0
STALL_SECONDS = 1.0


class ModelRun:
    """The state of one admitted request across its tries.

    ``answer_begun`` and ``answered`` tell of the current try whether its
    response has a head, and a complete event.  ``events_before`` is the number
    of events before the current try, ``most_lost_events`` that of the longest
    try that was broken off.  ``part_trial`` is set if a message of the request
    is quarantined and this is the one request that may try it.
    ``quarantine_index`` is that of the quarantine when it was last sent.
    """

    __slots__ = (
        "answer_begun",
        "answered",
        "caller_disconnected",
        "events_before",
        "in_trial",
        "last_chunk_at",
        "most_lost_events",
        "part_trial",
        "quarantine_index",
        "request",
        "reservation",
        "sent",
        "service",
        "slot",
        "slot_request",
        "started_at",
        "team",
        "tries",
    )

    def __init__(self, *, request, team, service, reservation, slot_request):
        self.request: _requests.ModelRequest = request
        self.team: wire.Team = team
        self.service: wire.Service = service
        self.reservation: budget.Reservation = reservation
        self.slot_request: _dispatcher.SlotRequest = slot_request
        self.slot: _dispatcher.Slot | None = None
        self.tries = 0
        self.sent = False
        self.in_trial = False
        self.part_trial = False
        self.answer_begun = False
        self.answered = False
        self.events_before = 0
        self.most_lost_events = 0
        self.quarantine_index = 0
        self.caller_disconnected = False
        self.started_at = time.monotonic()
        self.last_chunk_at = self.started_at

    @property
    def execution_status(self) -> web.ExecutionStatus:
        """The execution status to report if the request fails now."""
        return (
            web.ExecutionStatus.UNKNOWN
            if self.sent
            else web.ExecutionStatus.NOT_RUN
        )

    @property
    def answer_state(self) -> quarantine.AnswerState:
        """How far the answer of the current try has come."""
        if self.answered:
            return quarantine.AnswerState.OPEN
        if self.answer_begun:
            return quarantine.AnswerState.JUST_BEGUN
        return quarantine.AnswerState.NONE

    def begin_continuation(self, events: int) -> None:
        """Notes that the try was broken off after ``events`` in all."""
        lost = events - self.events_before
        self.most_lost_events = max(self.most_lost_events, lost)
        self.events_before = events

    def outlasts_lost_tries(self, events: int) -> bool:
        """Whether the try has brought more events than those broken off.

        A try that continues a stream may end before the event at which
        another target has crashed.
        """
        if not self.events_before:
            return True
        return events - self.events_before > self.most_lost_events

    def watch_stream(self, resp) -> None:
        """Closes a stream that stalls while its target's lease is expired.

        An expired lease alone is no proof of failure, because this entry
        may be the one that is partitioned: a stream that still delivers
        data is left open.
        """
        assert self.slot is not None
        self.last_chunk_at = time.monotonic()

        def on_lease_expired() -> None:
            if time.monotonic() - self.last_chunk_at > STALL_SECONDS:
                resp.close()

        self.slot.on_lease_expired = on_lease_expired

    def end_slot(self, *, failed: bool = False) -> None:
        """Releases the slot at the target, if the run has one."""
        if self.slot is not None:
            self.slot.end(failed=failed)
            self.slot = None


class CrashHandler(typing.Protocol):
    """Decides whether suspected requests run again."""

    async def report_crash(self, run: ModelRun, target) -> None:
        """Records that a target crashed under a run; may raise ApiError."""

    async def begin_trial(self, run: ModelRun) -> None:
        """Waits until a suspected request may run; may raise ApiError."""

    def begin_try(self, run: ModelRun) -> None:
        """Prepares a try; raises ApiError if the request must not run."""


class EngineRunner:
    """Sends model requests to engines, and retries where that is safe.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses engines.
    client : TargetClient
        Sends requests to engines.
    crash_handler : CrashHandler
        Records crashes of targets and admits suspected requests.
    crashes : CrashDetector
        Tells whether a target has crashed.
    metrics : Metrics
        Counts retries and lost targets.
    """

    def __init__(
        self,
        *,
        dispatcher: _dispatcher.Dispatcher,
        client: clients.TargetClient,
        crash_handler: CrashHandler,
        crashes: _crashes.CrashDetector,
        metrics: telemetry.Metrics,
    ):
        self.dispatcher = dispatcher
        self.client = client
        self.crash_handler = crash_handler
        self.crashes = crashes
        self.metrics = metrics

    async def open(self, run: ModelRun, *, first_event: int):
        """Sends the request to targets until one responds with success."""
        while True:
            if run.slot_request.requirements.exclusive:
                await self.crash_handler.begin_trial(run)
            run.slot = await self._acquire(run)
            self.crash_handler.begin_try(run)
            run.tries += 1
            try:
                resp = await self._send(run, first_event)
            except engines.NotSentError as exc:
                LOG.info("target {}: request not sent", run.slot.target.name)
                self._exclude_target(run, failed=True)
                self._check_may_retry(run, exc)
                continue
            except engines.TargetLostError as exc:
                run.sent = True
                await self.on_target_lost(run, exc)
                continue
            run.sent = True
            run.answer_begun = True
            if resp.status == 200:
                return resp
            await self._on_error_status(run, resp)

    async def _acquire(self, run: ModelRun) -> _dispatcher.Slot:
        try:
            return await self.dispatcher.acquire(run.slot_request)
        except web.ApiError as exc:
            if run.sent:
                exc.execution_status = web.ExecutionStatus.UNKNOWN
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
                reuse_connection=True,
                before_sending=run.slot.check_domain,
            )
        echoed = resp.headers.get("X-Request-Id", request.attempt)
        if echoed != request.attempt:
            resp.close()
            raise engines.TargetLostError(
                "response has the X-Request-Id of another request"
            )
        self.dispatcher.on_response(run.slot, resp.status, resp.headers)
        return resp

    async def _on_error_status(self, run: ModelRun, resp) -> None:
        """Handles an error response; returns if the request may be retried."""
        assert run.slot is not None
        status = resp.status
        try:
            async with self.dispatcher.watch(run.slot, run.service.timeout):
                body = await clients.read_body(resp, MAX_ERROR_BYTES)
        except engines.TargetLostError as exc:
            LOG.info("no complete body of an error response: {}", exc)
            body = b""
        busy = status in (429, 503)
        if status < 500 and not busy:
            run.end_slot()
            raise web.ApiError(
                status=status,
                code="engine_refused",
                message=body[:1000].decode("utf-8", "replace"),
            )
        self._exclude_target(run, failed=not busy)
        self._check_may_retry(run, Exception(f"status {status}"))

    def _exclude_target(self, run: ModelRun, *, failed: bool) -> None:
        assert run.slot is not None
        run.slot_request.requirements.excluded.add(run.slot.target.name)
        run.end_slot(failed=failed)

    def _check_may_retry(self, run: ModelRun, exc: Exception) -> None:
        if (
            run.tries < MAX_TRIES
            and self.dispatcher.retry_budget.try_acquire()
        ):
            self.metrics.count("model.retry")
            return
        raise web.ApiError(
            status=503,
            code="targets_failing",
            message=f"giving up after {run.tries} tries: {exc}",
            execution_status=run.execution_status,
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def on_target_lost(self, run: ModelRun, exc: Exception) -> None:
        """Handles the loss of a target; returns if a retry is allowed."""
        assert run.slot is not None
        target = run.slot.target
        LOG.warning("target {} lost during a request: {}", target.name, exc)
        self.metrics.count("model.target_lost")
        self._exclude_target(run, failed=True)
        if await self.crashes.has_crashed(target.address):
            await self.crash_handler.report_crash(run, target)
        self._check_may_retry(run, exc)
