"""Engines and services whose responses have no end."""

import asyncio
import contextlib
import time
import types

import testtools

from galenashed import clients
from galenashed import engines
from galenashed.entry import _models
from galenashed.entry import _runs
from galenashed import telemetry
from galenashed import web

TIME_LIMIT_SECONDS = 10.0
PROMPT_SECONDS = TIME_LIMIT_SECONDS / 3
PIECE = b"x" * 2**16
# What the engine sends at most, so that a test that fails uses little memory.
OFFERED_BYTES = 64 * 2**20


class Engine:
    """Sends the head of a response, then a body without end."""

    def __init__(self, status, *, piece=PIECE):
        self.status = status
        self.piece = piece
        self.sent_bytes = 0
        self.requests = 0
        self.closed = asyncio.Event()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(b"HTTP/1.1 %d Status\r\n\r\n" % self.status)
            while self.piece and self.sent_bytes < OFFERED_BYTES:
                writer.write(self.piece)
                await writer.drain()
                self.sent_bytes += len(self.piece)
            await reader.read()
        except ConnectionError:
            pass
        finally:
            self.closed.set()
            writer.close()


class Slot:
    def __init__(self, address):
        self.target = types.SimpleNamespace(name="engine", address=address)

    def end(self, *, failed=False):
        pass

    def check_domain(self):
        pass


class Dispatcher:
    """Knows one engine, and allows no request to be sent again."""

    def __init__(self, address, time_limit):
        self.address = address
        self.time_limit = time_limit
        self.retry_budget = types.SimpleNamespace(try_acquire=lambda: False)

    async def acquire(self, slot_request):
        return Slot(self.address)

    def on_response(self, slot, status, headers):
        pass

    @contextlib.asynccontextmanager
    async def watch(self, slot, seconds):
        try:
            async with asyncio.timeout(self.time_limit):
                yield
        except TimeoutError:
            raise engines.TargetLostError("no response in time") from None


class CrashHandler:
    async def report_crash(self, run, target):
        pass

    def begin_try(self, run):
        pass


def make_run():
    return _runs.ModelRun(
        request=types.SimpleNamespace(
            attempt="a", body={}, path="/", priority=0, id="r"
        ),
        team=None,
        service=types.SimpleNamespace(timeout=TIME_LIMIT_SECONDS),
        reservation=None,
        slot_request=types.SimpleNamespace(
            requirements=types.SimpleNamespace(exclusive=False, excluded=set())
        ),
    )


class TestEndlessResponses(testtools.TestCase):
    """The caller gets an answer soon, and the engine is disconnected."""

    def get_error(self, engine_status, *, whole=False, **options):
        """Returns the error of a request, and the engine."""
        time_limit = options.pop("time_limit", TIME_LIMIT_SECONDS)

        async def run():
            engine = Engine(engine_status, **options)
            client = clients.TargetClient()
            await client.start()
            runner = _runs.EngineRunner(
                dispatcher=Dispatcher(await engine.start(), time_limit),
                client=client,
                crashes=types.SimpleNamespace(
                    has_crashed=client.refuses_connections
                ),
                crash_handler=CrashHandler(),
                metrics=telemetry.NullMetrics(),
            )
            handler = _models.ModelHandler(
                configuration=None,
                dispatcher=runner.dispatcher,
                reservations=None,
                runner=runner,
                quarantine=None,
                metrics=runner.metrics,
            )
            started = time.monotonic()
            try:
                async with asyncio.timeout(TIME_LIMIT_SECONDS):
                    if whole:
                        await handler._respond_whole(make_run())
                    else:
                        await runner.open(make_run(), first_event=0)
            except web.ApiError as exc:
                self.assertLess(time.monotonic() - started, PROMPT_SECONDS)
                async with asyncio.timeout(TIME_LIMIT_SECONDS):
                    await engine.closed.wait()
                return exc, engine
            finally:
                await client.close()
                engine.server.close()

        return asyncio.run(run())

    def test_refusal_without_end(self):
        error, engine = self.get_error(400)
        self.assertEqual((400, "engine_refused"), (error.status, error.code))
        self.assertLess(engine.sent_bytes, OFFERED_BYTES / 2)

    def test_failure_without_end(self):
        error, engine = self.get_error(500)
        self.assertEqual("targets_failing", error.code)
        self.assertLess(engine.sent_bytes, OFFERED_BYTES / 2)

    def test_refusal_whose_body_does_not_come(self):
        error, _ = self.get_error(400, piece=b"", time_limit=0.5)
        self.assertEqual((400, "engine_refused"), (error.status, error.code))

    def test_response_without_end(self):
        error, engine = self.get_error(200, whole=True)
        self.assertEqual("targets_failing", error.code)
        self.assertIs(web.ExecutionStatus.UNKNOWN, error.execution_status)
        self.assertLess(engine.sent_bytes, OFFERED_BYTES / 2)
