"""Model requests from admission to the bill."""

import contextlib
import functools
import time

import aiohttp
import blacksheep
import loguru
import msgspec

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

RETRY_SECONDS = 1.0
EVENT_STREAM = b"text/event-stream"


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
    runner : EngineRunner
        Sends requests to engines.
    suspects : Suspects
        Knows the requests that ended engines.
    metrics : Metrics
        Takes counts and durations.
    """

    def __init__(
        self,
        *,
        configuration: _configuration.Configuration,
        dispatcher: _dispatcher.Dispatcher,
        reservations: _reservations.Reservations,
        runner: _runs.EngineRunner,
        suspects: _suspects.Suspects,
        metrics: telemetry.Metrics,
    ):
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.reservations = reservations
        self.runner = runner
        self.suspects = suspects
        self.metrics = metrics
        self._relay = _streams.StreamRelay(runner=runner, metrics=metrics)

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
        run = await self._admit(request, team, budget_name)
        try:
            if not request.stream:
                return await self._answer_whole(run)
            resp = await self.runner.open(run, first_event=0)
        except BaseException:
            run.end_slot()
            self.suspects.end(run, answered=False)
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
        service = self.configuration.service_of(request.model.name)
        if service is None:
            raise _no_service(request.model.name)
        suspected = self.suspects.check(request.digest)
        reservation = await self.reservations.reserve(
            budget_name, request.bound
        )
        self.dispatcher.retries.on_request()
        requirements = routing.TargetRequirements(
            service=service,
            model=request.model.name,
            prefix=request.prefix,
            exclusive=suspected,
        )
        return _runs.ModelRun(
            request=request,
            team=team,
            service=service,
            reservation=reservation,
            demand=_dispatcher.Demand(
                requirements=requirements, team=team, priority=request.priority
            ),
        )

    # Whole answers

    async def _answer_whole(self, run: _runs.ModelRun) -> blacksheep.Response:
        while True:
            resp = await self.runner.open(run, first_event=0)
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
                await self.runner.on_lost(run, exc)
                continue
            run.end_slot()
            self.suspects.end(run, answered=True)
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

    # Streams

    async def _stream(self, run: _runs.ModelRun, resp, receive):
        """Yields a stream's bytes, and bills it at its end."""
        scanner = _streams.StreamScanner(wants_usage=run.request.wants_usage)
        relayed = self._relay.relay(run, resp, scanner, receive)
        try:
            async with contextlib.aclosing(relayed) as stream:
                async for data in stream:
                    if scanner.finished:
                        # The end of the answer waits for its bill.
                        self._settle_stream(run, scanner)
                        await self.reservations.wait_until_durable()
                    yield data
        finally:
            run.end_slot()
            self.suspects.end(run, answered=scanner.finished)
            self._settle_stream(run, scanner)

    def _settle_stream(self, run: _runs.ModelRun, scanner) -> None:
        if run.reservation.done:
            return
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

    # Bills

    def _bill(self, run: _runs.ModelRun, prompt: int, output: int) -> None:
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

    def _release(self, run: _runs.ModelRun) -> None:
        if not run.reservation.done:
            self.reservations.release(run.reservation)


def _no_service(model: str) -> web.ApiError:
    return web.ApiError(
        status=503,
        code="no_service",
        message=f"no service in force serves model {model!r}",
        retry_after=RETRY_SECONDS,
    )
