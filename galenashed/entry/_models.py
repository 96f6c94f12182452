"""Handles model requests, from admission to billing."""

import contextlib
import functools
import time

import blacksheep
import loguru
import msgspec

from galenashed import clients
from galenashed import engines
from galenashed.entry import _configuration
from galenashed.entry import _dispatcher
from galenashed.entry import _requests
from galenashed.entry import _reservations
from galenashed.entry import _runs
from galenashed.entry import _streams
from galenashed.entry import _suspects
from galenashed.protocol import control as wire
from galenashed import routing
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

RETRY_AFTER_SECONDS = 1.0
MAX_RESPONSE_BYTES = 16 * 2**20
EVENT_STREAM = b"text/event-stream"


class ModelHandler:
    """Serves model requests.

    Parameters
    ----------
    configuration : Configuration
        The configuration release in force.
    dispatcher : Dispatcher
        Chooses targets.
    reservations : Reservations
        Reserves tokens from budgets and bills requests.
    runner : EngineRunner
        Sends requests to engines.
    quarantine : CrashQuarantine
        Tracks the requests under which targets crashed.
    metrics : Metrics
        Records counts and durations.
    """

    def __init__(
        self,
        *,
        configuration: _configuration.Configuration,
        dispatcher: _dispatcher.Dispatcher,
        reservations: _reservations.Reservations,
        runner: _runs.EngineRunner,
        quarantine: _suspects.CrashQuarantine,
        metrics: telemetry.Metrics,
    ):
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.reservations = reservations
        self.runner = runner
        self.quarantine = quarantine
        self.metrics = metrics
        self._relay = _streams.StreamRelay(runner=runner, metrics=metrics)

    async def handle(
        self,
        request: _requests.ModelRequest,
        team: wire.Team,
        budget_name: str,
        receive,
    ) -> blacksheep.Response:
        """Runs a request and returns its response; raises ApiError.

        ``receive`` is the ASGI callable, which reports when the caller
        disconnects.
        """
        run = await self._admit(request, team, budget_name)
        try:
            if not request.stream:
                return await self._respond_whole(run)
            resp = await self.runner.open(run, first_event=0)
        except BaseException:
            run.end_slot()
            self.quarantine.end_trial(run, answered=False)
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
                functools.partial(self._stream, run, resp, receive),
            ),
        )

    async def _admit(self, request, team, budget_name) -> _runs.ModelRun:
        service = self.configuration.service_for_model(request.model.name)
        if service is None:
            raise _no_service(request.model.name)
        suspected = self.quarantine.check_suspected(request.digest)
        part_trial = await self.quarantine.check_parts(request)
        reservation = await self.reservations.reserve(
            budget_name, request.token_bound
        )
        self.dispatcher.retry_budget.on_request()
        requirements = routing.TargetRequirements(
            service=service,
            model=request.model.name,
            prefix=request.prefix,
            exclusive=suspected,
        )
        run = _runs.ModelRun(
            request=request,
            team=team,
            service=service,
            reservation=reservation,
            slot_request=_dispatcher.SlotRequest(
                requirements=requirements, team=team, priority=request.priority
            ),
        )
        run.part_trial = part_trial
        return run

    # Responses without streaming

    async def _respond_whole(self, run: _runs.ModelRun) -> blacksheep.Response:
        while True:
            resp = await self.runner.open(run, first_event=0)
            try:
                assert run.slot is not None
                limit = run.service.timeout
                async with self.dispatcher.watch(run.slot, limit):
                    body = await clients.read_body(resp, MAX_RESPONSE_BYTES)
                usage = _requests.parse_usage(msgspec.json.decode(body))
                if usage is None:
                    raise engines.TargetLostError("response without usage")
            except (msgspec.DecodeError, engines.TargetLostError) as exc:
                resp.close()
                await self.runner.on_target_lost(run, exc)
                continue
            run.end_slot()
            self.quarantine.on_answer_complete(run)
            self.quarantine.end_trial(run, answered=True)
            self._bill(run, *usage)
            await self.reservations.wait_until_durable()
            return blacksheep.Response(
                200,
                [
                    (b"X-Request-Id", run.request.id.encode()),
                    (b"Galenashed-Run", b"run"),
                ],
                blacksheep.Content(b"application/json", body),
            )

    # Streaming responses

    async def _stream(self, run: _runs.ModelRun, resp, receive):
        """Yields the bytes of a stream and bills it at its end."""
        scanner = _streams.EventStreamScanner(
            wants_usage=run.request.wants_usage
        )
        relayed = self._relay.relay(run, resp, scanner, receive)
        try:
            async with contextlib.aclosing(relayed) as stream:
                async for data in stream:
                    if scanner.finished:
                        # The end marker is held back until the bill is
                        # durable.
                        self._settle_stream(run, scanner)
                        await self.reservations.wait_until_durable()
                    yield data
        finally:
            run.end_slot()
            if scanner.finished and run.outlasts_lost_tries(scanner.events):
                self.quarantine.on_answer_complete(run)
            self.quarantine.end_trial(run, answered=scanner.finished)
            self._settle_stream(run, scanner)

    def _settle_stream(self, run: _runs.ModelRun, scanner) -> None:
        if run.reservation.done:
            return
        if scanner.usage is not None and scanner.finished:
            self._bill(run, *scanner.usage)
        elif run.caller_disconnected and scanner.events:
            # The engine reports no usage for a cancelled stream.
            self._bill(run, run.request.prompt_bound, scanner.events)
        elif scanner.finished:
            self._bill(run, run.request.prompt_bound, scanner.events)
        else:
            # The response is incomplete: the caller is not billed.
            self._release(run)

    # Billing

    def _bill(self, run: _runs.ModelRun, prompt: int, output: int) -> None:
        request = run.request
        used = prompt + output
        if used > request.token_bound:
            LOG.error(
                "request {} used {} tokens but reserved only {}",
                request.id,
                used,
                request.token_bound,
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
        self.metrics.duration("model.whole", time.monotonic() - run.started_at)

    def _release(self, run: _runs.ModelRun) -> None:
        if not run.reservation.done:
            self.reservations.release(run.reservation)


def _no_service(model: str) -> web.ApiError:
    return web.ApiError(
        status=503,
        code="no_service",
        message=f"no service serves model {model!r}",
        retry_after=RETRY_AFTER_SECONDS,
    )
