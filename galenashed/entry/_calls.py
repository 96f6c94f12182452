"""Forwards calls to plain services and buffers their responses."""

import aiohttp
import blacksheep
import loguru

from galenashed import budget
from galenashed import clients
from galenashed import engines
from galenashed.entry import _call
from galenashed.entry import _claims
from galenashed.entry import _crashes
from galenashed.entry import _dispatcher
from galenashed.entry import _reservations
from galenashed.protocol import control as wire
from galenashed import quarantine
from galenashed import routing
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

MAX_TRIES = 4
MAX_RESPONSE_BYTES = 16 * 2**20
RETRY_AFTER_SECONDS = 1.0
EVENT_STREAM_TYPE = "text/event-stream"
# An empty line ends an event; lines end with LF or CR LF.
EVENT_ENDS = (b"\n\n", b"\n\r\n")


class CallHandler:
    """Serves calls of plain services.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses targets.
    reservations : Reservations
        Reserves tokens from budgets and bills calls.
    client : TargetClient
        Sends calls to targets.
    claims : Claims
        Ensures that a non-idempotent call runs at most once.
    crash_quarantine : Quarantine
        Refuses calls under which targets crash.
    crashes : CrashDetector
        Tells whether a target has crashed.
    metrics : Metrics
        Counts retries.
    """

    def __init__(
        self,
        *,
        dispatcher: _dispatcher.Dispatcher,
        reservations: _reservations.Reservations,
        client: clients.TargetClient,
        claims: _claims.Claims,
        crash_quarantine: quarantine.Quarantine,
        crashes: _crashes.CrashDetector,
        metrics: telemetry.Metrics,
    ):
        self.dispatcher = dispatcher
        self.reservations = reservations
        self.client = client
        self.claims = claims
        self.quarantine = crash_quarantine
        self.crashes = crashes
        self.metrics = metrics

    async def handle(self, call: _call.Call) -> blacksheep.Response:
        """Runs a call and returns its response; raises ApiError."""
        if not call.idempotent and not call.key:
            raise web.ApiError(
                status=400,
                code="idempotency_key_required",
                message=f"{call.method} is not idempotent: send an"
                " Idempotency-Key header",
            )
        self.dispatcher.retry_budget.on_request()
        if call.idempotent:
            return await self._handle_idempotent(call)
        return await self._handle_non_idempotent(call)

    async def _handle_idempotent(
        self, call: _call.Call
    ) -> blacksheep.Response:
        reservation = await self._reserve(call)
        try:
            answer = await self._run_idempotent(call)
        except BaseException as exc:
            self._settle_failure(call, reservation, exc)
            raise
        await self._bill_durably(call, reservation)
        return _call.make_response(call, answer)

    async def _handle_non_idempotent(
        self, call: _call.Call
    ) -> blacksheep.Response:
        # The claim precedes every step that can fail: only then does
        # "not run" hold for the call and not just for this attempt.
        state = await self.claims.claim(call)
        if not state.fresh:
            state = await self.claims.wait_for_owner(call, state)
        if not state.fresh:
            answer = _call.replay_response(state)
            await self._bill_replayed(call)
            return _call.make_response(call, answer)
        try:
            reservation = await self._reserve(call)
        except BaseException:
            await self.claims.finish(call, "not_run", None)
            raise
        try:
            answer = await self._run_and_record(call)
        except BaseException as exc:
            self._settle_failure(call, reservation, exc)
            raise
        await self._bill_durably(call, reservation)
        return _call.make_response(call, answer)

    async def _reserve(self, call: _call.Call) -> budget.Reservation | None:
        if not call.service.cost:
            return None
        return await self.reservations.reserve(call.budget, call.service.cost)

    async def _bill_durably(self, call: _call.Call, reservation) -> None:
        """Bills a call and waits until the bill is durable.

        The wait has a time limit.
        """
        if reservation is not None:
            self._bill(call, reservation)
            await self.reservations.wait_until_durable()

    async def _bill_replayed(self, call: _call.Call) -> None:
        """Bills a call whose owner may have crashed before billing it.

        Bills are deduplicated by call, so it is never billed twice.
        """
        try:
            self._bill(call, await self._reserve(call))
        except web.ApiError as exc:
            LOG.warning("call {} was not billed: {}", call.id, exc.message)

    def _settle_failure(self, call: _call.Call, reservation, exc) -> None:
        if reservation is None:
            return
        ran = (
            isinstance(exc, web.ApiError)
            and exc.execution_status is web.ExecutionStatus.RUN
        )
        if ran:
            self._bill(call, reservation)
        elif not reservation.done:
            self.reservations.release(reservation)

    def _bill(self, call: _call.Call, reservation) -> None:
        if reservation is None:
            return
        self.reservations.bill(
            reservation,
            id=call.id,
            team=call.team.name,
            subject=call.service.name,
            attempt=call.attempt,
            keyed=bool(call.key),
            prompt_tokens=call.service.cost,
            output_tokens=0,
        )

    # Idempotent calls

    async def _run_idempotent(self, call: _call.Call) -> wire.StoredResponse:
        slot_request = _slot_request(call)
        tries = 0
        sent = False
        admitted = False
        while True:
            # A call stays admitted until it is sent.
            admitted = admitted or await self._admit(call, sent=sent)
            slot = await self.dispatcher.acquire(slot_request)
            tries += 1
            suspected = self.quarantine.is_suspected(call)
            try:
                answer = await self._send(call, slot)
            except engines.NotSentError as exc:
                slot.end(failed=True)
                slot_request.requirements.excluded.add(slot.target.name)
                self._check_may_retry(tries, sent, exc)
                continue
            except engines.TargetLostError as exc:
                sent = True
                admitted = False
                slot.end(failed=True)
                slot_request.requirements.excluded.add(slot.target.name)
                crashed = await self._report_crash(call, slot.target)
                if crashed and suspected:
                    raise _failing_error(tries, sent, exc) from None
                self._check_may_retry(tries, sent, exc)
                continue
            except BaseException:
                slot.end()
                raise
            slot.end()
            return answer

    def _check_may_retry(self, tries: int, sent: bool, exc: Exception) -> None:
        if tries < MAX_TRIES and self.dispatcher.retry_budget.try_acquire():
            self.metrics.count("service.retry")
            return
        raise _failing_error(tries, sent, exc)

    async def _admit(self, call: _call.Call, *, sent: bool) -> bool:
        """Returns whether control had to admit a call, and has.

        ``sent`` tells whether the call has been sent to a target before; if
        not, it may be the trial of one in quarantine.  Raises ApiError if it
        must not run.
        """
        suspect = self.quarantine.find_quarantined(call)
        if suspect is not None:
            if sent or not await self.quarantine.begin_trial(call):
                raise quarantine.make_error(suspect, executed=sent)
            return True
        if self.quarantine.is_suspected(call):
            await self.quarantine.admit_suspected(call, executed=sent)
            return True
        return False

    async def _report_crash(self, call: _call.Call, target) -> bool:
        """Reports a call if the target that it ran on has crashed."""
        if not await self.crashes.has_crashed(target.address):
            return False
        await self.quarantine.report_crash(
            call,
            f"{target.name}/{target.incarnation}",
            answer=quarantine.AnswerState.NONE,
            known=self.quarantine.index,
        )
        return True

    # Non-idempotent calls

    async def _run_and_record(self, call: _call.Call) -> wire.StoredResponse:
        """Runs a claimed call and records its outcome."""
        try:
            answer = await self._run_claimed(call)
        except web.ApiError as exc:
            outcome = {
                web.ExecutionStatus.NOT_RUN: "not_run",
                web.ExecutionStatus.RUN: "run",
                web.ExecutionStatus.UNKNOWN: "unknown",
            }
            await self.claims.finish(call, outcome[exc.execution_status], None)
            raise
        except BaseException:
            self.claims.finish_later(call, "unknown", None)
            raise
        await self.claims.finish(call, "run", answer)
        return answer

    async def _run_claimed(self, call: _call.Call) -> wire.StoredResponse:
        slot_request = _slot_request(call)
        tries = 0
        admitted = False
        while True:
            admitted = admitted or await self._admit(call, sent=False)
            slot = await self.dispatcher.acquire(slot_request)
            tries += 1
            try:
                answer = await self._send(call, slot)
            except engines.NotSentError as exc:
                slot.end(failed=True)
                slot_request.requirements.excluded.add(slot.target.name)
                self._check_may_retry(tries, False, exc)
                continue
            except engines.TargetLostError as exc:
                slot.end(failed=True)
                await self._report_crash(call, slot.target)
                raise _call.outcome_unknown_error(str(exc)) from None
            except BaseException:
                slot.end()
                raise
            slot.end()
            return answer

    # Targets

    async def _send(self, call: _call.Call, slot) -> wire.StoredResponse:
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() not in _call.HOP_BY_HOP
            and name.lower() != "authorization"
        ]
        headers.append(("X-Request-Id", call.attempt))
        async with self.dispatcher.watch(slot, call.service.timeout):
            resp = await self.client.send(
                address=slot.target.address,
                method=call.method,
                path=call.path,
                headers=headers,
                body=call.body,
                reuse_connection=call.idempotent,
                before_sending=slot.check_domain,
            )
            body = await self._read_response(call, slot, resp)
        self.quarantine.on_answer_complete(call)
        return wire.StoredResponse(
            status=resp.status,
            headers=[
                (str(name), value)
                for name, value in resp.headers.items()
                if _call.is_forwarded_header(name)
            ],
            body=body,
            whole=True,
        )

    async def _read_response(self, call: _call.Call, slot, resp) -> bytes:
        try:
            echoed = resp.headers.get("X-Request-Id", call.attempt)
            if echoed != call.attempt:
                raise engines.TargetLostError(
                    "response has the X-Request-Id of another request"
                )
            self.dispatcher.on_response(slot, resp.status, resp.headers)
            body = await self._read_bounded(resp)
            if clients.is_close_delimited(resp) and (
                await self.crashes.has_crashed(slot.target.address)
            ):
                # The end of a process closes its connections in the same way
                # as the end of a response.
                raise engines.TargetLostError(
                    "the connection closed with the target"
                )
            return body
        except aiohttp.ClientError as exc:
            raise engines.TargetLostError(repr(exc)) from exc
        finally:
            # A connection with a partly read response can't be reused.
            if resp.content.at_eof():
                resp.release()
            else:
                resp.close()

    async def _read_bounded(self, resp) -> bytes:
        parts = []
        size = 0
        async for chunk in resp.content.iter_any():
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES:
                raise web.ApiError(
                    status=502,
                    code="answer_too_large",
                    message=f"the response exceeds {MAX_RESPONSE_BYTES} bytes",
                    execution_status=web.ExecutionStatus.RUN,
                )
            parts.append(chunk)
        clients.check_complete(resp)
        body = b"".join(parts)
        if resp.status == 200 and resp.content_type == EVENT_STREAM_TYPE:
            _check_stream_complete(resp, body)
        return body


def _check_stream_complete(resp: aiohttp.ClientResponse, body: bytes) -> None:
    """Raises TargetLostError if a stream of events was broken off."""
    if body and not body.endswith(EVENT_ENDS):
        raise engines.TargetLostError("the stream ended inside an event")
    if not body and clients.is_close_delimited(resp):
        raise engines.TargetLostError("the stream ended before any event")


def _failing_error(tries: int, sent: bool, exc: Exception) -> web.ApiError:
    return web.ApiError(
        status=503,
        code="targets_failing",
        message=f"giving up after {tries} tries: {exc}",
        execution_status=web.ExecutionStatus.UNKNOWN
        if sent
        else web.ExecutionStatus.NOT_RUN,
        retry_after=RETRY_AFTER_SECONDS,
    )


def _slot_request(call: _call.Call) -> _dispatcher.SlotRequest:
    return _dispatcher.SlotRequest(
        requirements=routing.TargetRequirements(service=call.service),
        team=call.team,
        priority=0,
    )
