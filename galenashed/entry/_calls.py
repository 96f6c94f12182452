"""Calls of plain services, passed through whole."""

import asyncio
import hashlib
import time
import uuid

import aiohttp
import blacksheep
import loguru

from galenashed import budget
from galenashed import control
from galenashed import engines
from galenashed.entry import _configuration
from galenashed.entry import _dispatcher
from galenashed.entry import _reservations
from galenashed.protocol import control as wire
from galenashed import routing
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

MAX_TRIES = 4
MAX_ANSWER_BYTES = 16 * 2**20
MAX_KEPT_ANSWER_BYTES = 16 * 1024
CLAIM_TIMEOUT_SECONDS = 3.0
FINISH_TIMEOUT_SECONDS = 5.0
OWNER_WAIT_SECONDS = 10.0
OWNER_POLL_SECONDS = 0.1
RETRY_SECONDS = 1.0

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Call:
    """One call of a plain service.

    ``key`` is empty for an idempotent call without a key.
    """

    __slots__ = (
        "attempt",
        "body",
        "budget",
        "headers",
        "idempotent",
        "key",
        "method",
        "path",
        "service",
        "team",
    )

    def __init__(
        self, *, service, team, budget_name, method, path, headers, body, key
    ):
        self.service: wire.Service = service
        self.team: wire.Team = team
        self.budget: str = budget_name
        self.method: str = method
        self.path: str = path
        self.headers: list[tuple[str, str]] = headers
        self.body: bytes = body
        self.key: str = key
        self.idempotent = method in service.idempotent_methods
        self.attempt = uuid.uuid4().hex

    @property
    def id(self) -> str:
        """Names the call within its team."""
        if not self.key:
            return self.attempt
        return hashlib.sha256(
            f"{self.key}\0{self.digest}".encode()
        ).hexdigest()[:32]

    @property
    def digest(self) -> str:
        """Returns the digest of what is asked for."""
        head = f"{self.service.name} {self.method} {self.path}\0"
        return hashlib.sha256(head.encode() + self.body).hexdigest()


class CallHandler:
    """Serves calls of plain services.

    Parameters are those of ``ModelHandler``, and ``holder``, the unique
    name of this incarnation, and ``is_alive``, which tells whether the
    incarnation of that name is.
    """

    def __init__(
        self,
        *,
        configuration: _configuration.Configuration,
        dispatcher: _dispatcher.Dispatcher,
        reservations: _reservations.Reservations,
        client: engines.TargetClient,
        proposer: control.ControlClient,
        metrics: telemetry.Metrics,
        holder: str,
        is_alive,
    ):
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.reservations = reservations
        self.client = client
        self.proposer = proposer
        self.metrics = metrics
        self.holder = holder
        self.is_alive = is_alive
        self._finishing: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Waits until every outcome is recorded."""
        await asyncio.gather(*self._finishing)

    async def handle(self, call: Call) -> blacksheep.Response:
        """Runs a call and returns its answer; raises ApiError."""
        if not call.idempotent and not call.key:
            raise web.ApiError(
                status=400,
                code="idempotency_key_required",
                message=f"{call.method} may not be repeated: name the"
                " request by an Idempotency-Key header",
            )
        self.dispatcher.retries.on_request()
        if call.idempotent:
            return await self._handle_idempotent(call)
        return await self._handle_once(call)

    async def _handle_idempotent(self, call: Call) -> blacksheep.Response:
        reservation = await self._reserve(call)
        try:
            answer = await self._run_idempotent(call)
        except BaseException as exc:
            self._settle_failure(call, reservation, exc)
            raise
        self._bill(call, reservation)
        return _respond(call, answer)

    async def _handle_once(self, call: Call) -> blacksheep.Response:
        # Claimed before anything may refuse it: only then is "not run" true
        # of the call, and not of this sending alone.
        state = await self._claim(call)
        if not state.fresh:
            state = await self._wait_for_owner(call, state)
        if not state.fresh:
            answer = _replay(state)
            await self._bill_again(call)
            return _respond(call, answer)
        try:
            reservation = await self._reserve(call)
        except BaseException:
            await self._finish(call, "not_run", None)
            raise
        try:
            answer = await self._run_once(call)
        except BaseException as exc:
            self._settle_failure(call, reservation, exc)
            raise
        self._bill(call, reservation)
        return _respond(call, answer)

    async def _reserve(self, call: Call) -> budget.Reservation | None:
        if not call.service.cost:
            return None
        return await self.reservations.reserve(call.budget, call.service.cost)

    async def _bill_again(self, call: Call) -> None:
        """Bills a call whose owner may have died before it did.

        Bills of one call count once, so this never bills it twice.
        """
        try:
            self._bill(call, await self._reserve(call))
        except web.ApiError as exc:
            LOG.warning("call {} is not billed: {}", call.id, exc.message)

    def _settle_failure(self, call: Call, reservation, exc) -> None:
        if reservation is None:
            return
        ran = isinstance(exc, web.ApiError) and exc.run is web.Run.RUN
        if ran:
            self._bill(call, reservation)
        elif not reservation.done:
            self.reservations.release(reservation)

    def _bill(self, call: Call, reservation) -> None:
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

    async def _run_idempotent(self, call: Call) -> wire.Answer:
        demand = _demand(call)
        tries = 0
        sent = False
        while True:
            slot = await self.dispatcher.acquire(demand)
            tries += 1
            try:
                answer = await self._send(call, slot)
            except (engines.NotSentError, engines.TargetLostError) as exc:
                sent = sent or isinstance(exc, engines.TargetLostError)
                slot.end(failed=True)
                demand.ask.avoid.add(slot.target.name)
                self._check_tries(tries, sent, exc)
                continue
            except BaseException:
                slot.end()
                raise
            slot.end()
            return answer

    def _check_tries(self, tries: int, sent: bool, exc: Exception) -> None:
        if tries < MAX_TRIES and self.dispatcher.retries.take():
            self.metrics.count("service.retry")
            return
        raise web.ApiError(
            status=503,
            code="targets_failing",
            message=f"given up after {tries} tries: {exc}",
            run=web.Run.UNKNOWN if sent else web.Run.NOT_RUN,
            retry_after=RETRY_SECONDS,
        )

    # Non-idempotent calls

    async def _run_once(self, call: Call) -> wire.Answer:
        """Runs a claimed call and records its outcome."""
        try:
            answer = await self._run_claimed(call)
        except web.ApiError as exc:
            outcome = {
                web.Run.NOT_RUN: "not_run",
                web.Run.RUN: "run",
                web.Run.UNKNOWN: "unknown",
            }
            await self._finish(call, outcome[exc.run], None)
            raise
        except BaseException:
            self._finish_later(call, "unknown", None)
            raise
        await self._finish(call, "run", answer)
        return answer

    def _owner(self, call: Call) -> str:
        return f"{self.holder}/{call.attempt}"

    def _claim_command(self, call: Call) -> wire.ClaimCall:
        return wire.ClaimCall(
            team=call.team.name,
            key=call.key,
            digest=call.digest,
            owner=self._owner(call),
        )

    async def _claim(self, call: Call) -> wire.CallState:
        command = self._claim_command(call)
        try:
            reply = await self.proposer.propose(
                command, timeout=CLAIM_TIMEOUT_SECONDS
            )
        except control.ControlUnavailableError:
            # Nothing was sent and nothing will be under this claim; but an
            # earlier sending may have been run.
            self._spawn(self._disclaim(call))
            raise web.ApiError(
                status=503,
                code="claim_unavailable",
                message="the call can't be claimed for a single run now;"
                " send it again under the same key",
                run=web.Run.UNKNOWN,
                retry_after=RETRY_SECONDS,
            ) from None
        except asyncio.CancelledError:
            self._spawn(self._disclaim(call))
            raise
        if isinstance(reply, wire.CallState):
            return reply
        raise web.ApiError(
            status=422,
            code="idempotency_key_reused",
            message=_findings_of(reply),
        )

    async def _disclaim(self, call: Call) -> None:
        """Frees a key whose claim got no answer; the call was not run."""
        command = self._claim_command(call)
        while True:
            try:
                reply = await self.proposer.propose(
                    command, timeout=FINISH_TIMEOUT_SECONDS
                )
            except control.ControlUnavailableError:
                continue
            break
        if isinstance(reply, wire.CallState) and reply.fresh:
            await self._record(call, "not_run", None)

    async def _wait_for_owner(
        self, call: Call, state: wire.CallState
    ) -> wire.CallState:
        """Waits for the outcome of a run under way, while it can come."""
        deadline = time.monotonic() + OWNER_WAIT_SECONDS
        while state.state == "claimed" and not state.fresh:
            holder = state.owner.rpartition("/")[0]
            if not self.is_alive(holder) or time.monotonic() > deadline:
                break
            await asyncio.sleep(OWNER_POLL_SECONDS)
            state = await self._claim(call)
        return state

    async def _run_claimed(self, call: Call) -> wire.Answer:
        demand = _demand(call)
        tries = 0
        while True:
            slot = await self.dispatcher.acquire(demand)
            tries += 1
            try:
                answer = await self._send(call, slot)
            except engines.NotSentError as exc:
                slot.end(failed=True)
                demand.ask.avoid.add(slot.target.name)
                self._check_tries(tries, False, exc)
                continue
            except engines.TargetLostError as exc:
                slot.end(failed=True)
                raise _outcome_unknown(str(exc)) from None
            except BaseException:
                slot.end()
                raise
            slot.end()
            return answer

    async def _finish(self, call, outcome: str, answer) -> None:
        """Records an outcome, before the caller learns it if possible."""
        task = self._finish_later(call, outcome, answer)
        await asyncio.wait([task], timeout=FINISH_TIMEOUT_SECONDS)

    def _finish_later(self, call, outcome: str, answer) -> asyncio.Task:
        if answer is not None and len(answer.body) > MAX_KEPT_ANSWER_BYTES:
            answer = wire.Answer(
                status=answer.status, headers=[], body=b"", whole=False
            )
        return self._spawn(self._record(call, outcome, answer))

    async def _record(self, call, outcome: str, answer) -> None:
        command = wire.FinishCall(
            team=call.team.name,
            key=call.key,
            owner=self._owner(call),
            outcome=outcome,
            answer=answer,
        )
        while True:
            try:
                await self.proposer.propose(
                    command, timeout=FINISH_TIMEOUT_SECONDS
                )
            except control.ControlUnavailableError:
                LOG.warning("outcome of call {} waits for control", call.id)
                continue
            return

    def _spawn(self, coro) -> asyncio.Task:
        task = asyncio.create_task(coro)
        self._finishing.add(task)
        task.add_done_callback(self._finishing.discard)
        return task

    # Targets

    async def _send(self, call: Call, slot) -> wire.Answer:
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() not in HOP_BY_HOP
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
                repeatable=call.idempotent,
            )
            body = await self._read_answer(call, resp)
        return wire.Answer(
            status=resp.status,
            headers=[
                (str(name), value)
                for name, value in resp.headers.items()
                if name.lower() not in HOP_BY_HOP
                and name.lower() != "x-request-id"
            ],
            body=body,
            whole=True,
        )

    async def _read_answer(self, call: Call, resp) -> bytes:
        try:
            echoed = resp.headers.get("X-Request-Id", call.attempt)
            if echoed != call.attempt:
                raise engines.TargetLostError("answer to another request")
            return await self._read_bounded(resp)
        except aiohttp.ClientError as exc:
            raise engines.TargetLostError(repr(exc)) from exc
        finally:
            # A connection with an answer half read is not used again.
            if resp.content.at_eof():
                resp.release()
            else:
                resp.close()

    async def _read_bounded(self, resp) -> bytes:
        parts = []
        size = 0
        async for chunk in resp.content.iter_any():
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise web.ApiError(
                    status=502,
                    code="answer_too_large",
                    message=f"the answer passes {MAX_ANSWER_BYTES} bytes",
                    run=web.Run.RUN,
                )
            parts.append(chunk)
        return b"".join(parts)


def _demand(call: Call) -> _dispatcher.Demand:
    return _dispatcher.Demand(
        ask=routing.Ask(service=call.service),
        team=call.team,
        priority=0,
    )


def _findings_of(reply: wire.Reply) -> str:
    if isinstance(reply, wire.Refused):
        return "; ".join(reply.findings)
    return f"unexpected reply {type(reply).__name__}"


def _replay(state: wire.CallState) -> wire.Answer:
    """Returns the kept answer of a call that was run before."""
    if state.state == "run" and state.answer and state.answer.whole:
        kept = state.answer
        headers = [*kept.headers, ("Galenashed-Replayed", "true")]
        return wire.Answer(
            status=kept.status, headers=headers, body=kept.body, whole=True
        )
    if state.state == "run":
        raise web.ApiError(
            status=409,
            code="answer_not_kept",
            message="the call was run before; its answer is not kept",
            run=web.Run.RUN,
        )
    raise _outcome_unknown("an earlier sending of this call has no outcome")


def _outcome_unknown(reason: str) -> web.ApiError:
    return web.ApiError(
        status=409,
        code="outcome_unknown",
        message=f"{reason}; the call may have been run and is not repeated",
        run=web.Run.UNKNOWN,
    )


def _respond(call: Call, answer: wire.Answer) -> blacksheep.Response:
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
        if name.lower() != "content-type"
    ]
    headers.append((b"X-Request-Id", call.id.encode()))
    headers.append((b"Galenashed-Run", b"run"))
    kind = b"application/octet-stream"
    for name, value in answer.headers:
        if name.lower() == "content-type":
            kind = value.encode("latin-1")
    content = blacksheep.Content(kind, answer.body)
    return blacksheep.Response(answer.status, headers, content)
