"""Model requests from admission to the bill."""

import asyncio
import functools
import time

import aiohttp
import blacksheep
import loguru
import msgspec

from galenashed import budget
from galenashed import control
from galenashed import engines
from galenashed.entry import _configuration
from galenashed.entry import _dispatcher
from galenashed.entry import _relay
from galenashed.entry import _requests
from galenashed.entry import _reservations
from galenashed.protocol import control as wire
from galenashed import routing
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

MAX_TRIES = 4
QUARANTINE_CRASHES = 2
CRASH_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 1.0
# Events beyond the output bound that carry no token, such as the role.
EXTRA_EVENTS = 4

STALL_SECONDS = 1.0

EVENT_STREAM = b"text/event-stream"


class ModelRun:
    """One admitted request on its way through targets."""

    __slots__ = (
        "caller_gone",
        "demand",
        "heard",
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
        self.caller_gone = False
        self.started = time.monotonic()
        self.heard = self.started

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


class ModelHandler:
    """Serves model requests.

    Parameters
    ----------
    configuration : Configuration
        The release in force.
    dispatcher : Dispatcher
        Chooses targets.
    reservations : Reservations
        Reserves from budgets and bills.
    client : TargetClient
        Calls engines.
    proposer : ControlClient
        Records crashes.
    metrics : Metrics
        Takes counts and durations.
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
    ):
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.reservations = reservations
        self.client = client
        self.proposer = proposer
        self.metrics = metrics

    async def handle(
        self,
        request: _requests.ModelRequest,
        team: wire.Team,
        budget_name: str,
        receive,
    ) -> blacksheep.Response:
        """Runs a request and returns its answer; raises ApiError.

        ``receive`` is the server's, by which it tells that the caller left.
        """
        service = self.configuration.service_of(request.model.name)
        if service is None:
            raise _no_service(request.model.name)
        crashes = self._check_quarantine(request)
        reservation = await self.reservations.reserve(
            budget_name, request.bound
        )
        self.dispatcher.retries.on_request()
        run = ModelRun(
            request=request,
            team=team,
            service=service,
            reservation=reservation,
            demand=_dispatcher.Demand(
                ask=routing.Ask(
                    service=service,
                    model=request.model.name,
                    prefix=request.prefix,
                    alone=crashes > 0,
                ),
                team=team,
                priority=request.priority,
            ),
        )
        try:
            if not request.stream:
                return await self._answer_whole(run)
            resp = await self._open(run, first_event=0)
        except BaseException:
            run.end_slot()
            self._release(run)
            raise
        return blacksheep.Response(
            200,
            [
                (b"Cache-Control", b"no-store"),
                (b"X-Request-Id", request.id.encode()),
            ],
            blacksheep.StreamedContent(
                EVENT_STREAM,
                functools.partial(self._relay, run, resp, receive),
            ),
        )

    def _check_quarantine(self, request: _requests.ModelRequest) -> int:
        crashes = self.configuration.quarantine.get(request.digest, 0)
        if crashes >= QUARANTINE_CRASHES:
            raise _quarantined(web.Run.NOT_RUN)
        return crashes

    # Whole answers

    async def _answer_whole(self, run: ModelRun) -> blacksheep.Response:
        while True:
            resp = await self._open(run, first_event=0)
            try:
                assert run.slot is not None
                limit = run.service.timeout
                async with self.dispatcher.watch(run.slot, limit):
                    body = await resp.read()
                usage = _requests.usage_of(msgspec.json.decode(body))
                if usage is None:
                    raise engines.TargetLostError("answer without usage")
            except (
                aiohttp.ClientError,
                TimeoutError,
                msgspec.DecodeError,
                engines.TargetLostError,
            ) as exc:
                resp.close()
                await self._on_lost(run, exc)
                continue
            run.end_slot()
            self._bill(run, *usage)
            return blacksheep.Response(
                200,
                [
                    (b"X-Request-Id", run.request.id.encode()),
                    (b"Galenashed-Run", b"run"),
                ],
                blacksheep.Content(b"application/json", body),
            )

    # Streams

    async def _relay(self, run: ModelRun, resp, receive):
        """Yields the stream's bytes; goes on at another target if it can."""
        scanner = _relay.StreamScanner(wants_usage=run.request.wants_usage)
        watcher = asyncio.create_task(self._watch_caller(run, receive))
        try:
            while True:
                try:
                    async for data in self._read_events(run, resp, scanner):
                        yield data
                    break
                except (
                    aiohttp.ClientError,
                    TimeoutError,
                    engines.TargetLostError,
                ) as exc:
                    resp.close()
                    if run.caller_gone:
                        break
                    error = await self._resume_error(run, exc)
                if error is None:
                    try:
                        scanner.restart()
                        resp = await self._open(
                            run, first_event=scanner.events
                        )
                        continue
                    except web.ApiError as exc:
                        error = exc
                yield b"data: " + error.body() + _relay.SEPARATOR
                break
        finally:
            watcher.cancel()
            if not scanner.finished:
                resp.close()
            run.end_slot()
            self._settle_stream(run, scanner)

    async def _read_events(self, run: ModelRun, resp, scanner):
        first = scanner.events == 0
        allowed = run.request.max_output + EXTRA_EVENTS
        run.watch_stream(resp)
        async for chunk in resp.content.iter_any():
            run.heard = time.monotonic()
            if run.caller_gone:
                raise engines.TargetLostError("the caller left")
            data = scanner.feed(chunk)
            if not data:
                continue
            if first:
                first = False
                elapsed = time.monotonic() - run.started
                self.metrics.duration("model.first_token", elapsed)
            if scanner.events > allowed:
                raise engines.TargetLostError("more output than asked for")
            yield data
        if not scanner.finished:
            raise engines.TargetLostError("the stream ended too early")

    async def _watch_caller(self, run: ModelRun, receive) -> None:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                run.caller_gone = True
                return

    async def _resume_error(
        self, run: ModelRun, exc: Exception
    ) -> web.ApiError | None:
        """Returns why a broken stream can't go on, or None if it can."""
        resumes = run.slot is not None and run.slot.target.resumes
        try:
            await self._on_lost(run, exc)
        except web.ApiError as error:
            return error
        if resumes:
            return None
        return web.ApiError(
            status=502,
            code="stream_broken",
            message="the target was lost; ask again for a whole answer",
            run=web.Run.UNKNOWN,
            retry_after=RETRY_SECONDS,
        )

    def _settle_stream(self, run: ModelRun, scanner) -> None:
        if scanner.usage is not None and scanner.finished:
            self._bill(run, *scanner.usage)
        elif run.caller_gone and scanner.events:
            # The engine reports no use for a stream that was cancelled.
            self._bill(run, run.request.prompt_bound, scanner.events)
        elif scanner.finished:
            self._bill(run, run.request.prompt_bound, scanner.events)
        else:
            # The caller got no whole answer: it owes nothing.
            self._release(run)

    # Targets

    async def _open(self, run: ModelRun, *, first_event: int):
        """Sends the request to targets until one answers with success."""
        while True:
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
                await self._on_lost(run, exc)
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
                exc.run = web.Run.UNKNOWN
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
        run.demand.ask.avoid.add(run.slot.target.name)
        run.end_slot(failed=failed)

    def _check_tries(self, run: ModelRun, exc: Exception) -> None:
        if run.tries < MAX_TRIES and self.dispatcher.retries.take():
            self.metrics.count("model.retry")
            return
        raise web.ApiError(
            status=503,
            code="targets_failing",
            message=f"given up after {run.tries} tries: {exc}",
            run=web.Run.UNKNOWN if run.sent else web.Run.NOT_RUN,
            retry_after=RETRY_SECONDS,
        )

    async def _on_lost(self, run: ModelRun, exc: Exception) -> None:
        """Handles a target lost in mid-request; returns to try again."""
        assert run.slot is not None
        target = run.slot.target
        LOG.warning("target {} was lost: {}", target.name, exc)
        self.metrics.count("model.target_lost")
        self._avoid(run, failed=True)
        if await self.client.is_refusing(target.address):
            crashes = await self._report_crash(run, target)
            if crashes >= QUARANTINE_CRASHES:
                raise _quarantined(web.Run.RUN)
            run.demand.ask.alone = True
        self._check_tries(run, exc)

    async def _report_crash(self, run: ModelRun, target) -> int:
        command = wire.ReportCrash(
            digest=run.request.digest,
            target=f"{target.name}/{target.incarnation}",
        )
        try:
            reply = await self.proposer.propose(
                command, timeout=CRASH_TIMEOUT_SECONDS
            )
        except control.ControlUnavailableError:
            # Without the count, another try might cost a third target.
            raise web.ApiError(
                status=503,
                code="targets_failing",
                message="a target died and control does not answer",
                run=web.Run.UNKNOWN,
                retry_after=RETRY_SECONDS,
            ) from None
        return reply.count if isinstance(reply, wire.Crashes) else 0

    # Bills

    def _bill(self, run: ModelRun, prompt: int, output: int) -> None:
        request = run.request
        used = prompt + output
        if used > request.bound:
            LOG.error(
                "request {} used {} tokens of {} reserved",
                request.id,
                used,
                request.bound,
            )
            self.metrics.count("model.over_reservation")
        self.reservations.bill(
            run.reservation,
            id=request.id,
            team=run.team.name,
            subject=request.model.name,
            attempt=request.attempt,
            keyed=request.keyed,
            prompt_tokens=prompt,
            output_tokens=output,
        )
        self.metrics.count("model.tokens", used)
        self.metrics.duration("model.whole", time.monotonic() - run.started)

    def _release(self, run: ModelRun) -> None:
        if not run.reservation.done:
            self.reservations.release(run.reservation)


def _no_service(model: str) -> web.ApiError:
    return web.ApiError(
        status=503,
        code="no_service",
        message=f"no service in force serves model {model!r}",
        retry_after=RETRY_SECONDS,
    )


def _quarantined(run: web.Run) -> web.ApiError:
    return web.ApiError(
        status=422,
        code="quarantined",
        message="this request ended the targets that ran it; it is not"
        " run again",
        run=run,
    )
