"""Requests to targets that send bytes without end."""

import asyncio
import random
import time

import testtools

from galenashed import engines
from galenashed import gateway
from galenashed.protocol import gossip
from galenashed.protocol import routes
from galenashed import routing
from galenashed import telemetry
from galenashed import web

TIME_LIMIT_SECONDS = 10.0
# A third of the time limit: far from it, and from the time that the first
# bytes take on a busy machine.
PROMPT_SECONDS = TIME_LIMIT_SECONDS / 3
# What the target sends at most, so that a test that fails uses little memory.
OFFERED_BYTES = 32 * 2**20
# What a closed connection may have taken: a limit of the connection or of an
# event, one read, and the buffers of both sockets.
TAKEN_BYTES = 12 * 2**20
PIECE_BYTES = 64 * 1024

CHUNKED_EVENTS = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)
PLAIN = b"HTTP/1.1 200 OK\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


EVENT = chunk(b"id: 1\ndata: x\n\n")
LINE = chunk(b"data: %s\n" % (b"x" * 1000))
EVENTS_AFTER_THE_FIRST = (
    CHUNKED_EVENTS + chunk(b"id: 2\ndata: y\n\n") + b"0\r\n\r\n"
)


class Target:
    """Answers with ``first``, then ``repeated`` until the connection closes.

    It answers once ``may_answer`` is set.
    """

    def __init__(self, first, repeated=b""):
        self.first = first
        self.piece = repeated * (PIECE_BYTES // max(1, len(repeated)))
        self.may_answer = asyncio.Event()
        self.requests = []
        self.sent_bytes = 0
        self.closed_at = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                await self.may_answer.wait()
                writer.write(self.first)
                await self.send_pieces(writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed_at = time.monotonic()
            writer.close()

    async def send_pieces(self, writer):
        while self.piece and self.sent_bytes < OFFERED_BYTES:
            writer.write(self.piece)
            await writer.drain()
            self.sent_bytes += len(self.piece)


class TargetCodec:
    """Encodes a minimal request."""

    def encode(self, attempt):
        return b"GET /%s HTTP/1.1\r\nhost: x\r\n\r\n" % (
            (attempt.resume_after or "").encode()
        )

    def decode(self, head):
        return gateway.TargetResponse(
            request_id=None, not_executed=False, misdirected=False, load=None
        )


class PrepaidReservation:
    """A request that needs no tokens."""

    tokens = 0
    event_count = 0
    may_have_run = False

    def close(self, request, tokens_per_event):
        pass


class PrepaidReserver:
    async def open(self, request, team, objective):
        return PrepaidReservation()


class ResponseWriter:
    """Keeps the start of the response; ``may_write`` stops the caller."""

    def __init__(self):
        self.body = b""
        self.size = 0
        self.finished = False
        self.aborted = False
        self.may_write = asyncio.Event()
        self.may_write.set()

    async def start(self, head, *, with_content_length):
        pass

    async def write(self, data):
        await self.may_write.wait()
        self.size += len(data)
        self.body += data[: 1024 - len(self.body)]

    async def finish(self):
        self.finished = True

    def abort(self):
        self.aborted = True


class Fixture:
    """A gateway with a service under test and one without faults."""

    def __init__(self, *, kind, resumable=False, time_limit):
        self.route = routes.Route(
            name="r",
            host="h",
            prefix="/",
            kind=kind,
            shares=[routes.WeightedService(service="s", weight=1)],
            time_limit=time_limit,
            max_targets=3,
            resumable=resumable,
        )
        self.healthy_route = routes.Route(
            name="healthy",
            host="h",
            prefix="/healthy/",
            kind=routes.RouteKind.IDEMPOTENT,
            shares=[routes.WeightedService(service="healthy", weight=1)],
            time_limit=time_limit,
        )
        self.targets = gateway.Targets(domain="east")
        self.pool = engines.ConnectionPool(connect_timeout=1.0)
        self.gateway = gateway.Gateway(
            targets=self.targets,
            prepaid=PrepaidReserver(),
            pool=self.pool,
            codec=TargetCodec(),
            retries=routing.RetryBudget(share=1.0, max_saved=10.0),
            log=telemetry.NullDecisionLog(),
            metrics=telemetry.NullMetrics(),
            rng=random.Random(1),
        )
        self.gateway.apply_routing_table(
            routes.RoutingTable(
                version=1,
                routes=[self.route, self.healthy_route],
                services=[
                    routes.RoutedService(name="s"),
                    routes.RoutedService(name="healthy"),
                ],
            )
        )
        self.servers = []

    async def add(self, target, *, service="s"):
        """Starts a target and adds it to a service."""
        address = await target.start()
        self.servers.append(target)
        self.targets.update(
            gossip.Target(
                name=f"t{len(self.servers)}",
                incarnation="1",
                started=0.0,
                sequence=1,
                service=service,
                address=address,
                failure_domain="east",
                state="ready",
                slots=8,
            )
        )
        return target

    async def start_request(self, writer, bad, other):
        """Returns the task of a request that ``bad`` begins to answer.

        ``other`` becomes available after ``bad`` has the request.
        """
        await self.add(bad)
        task = asyncio.create_task(self.handle(writer))
        await wait_until(lambda: bad.requests)
        other.may_answer.set()
        await self.add(other)
        bad.may_answer.set()
        return task

    def handle(self, writer, route=None):
        request = gateway.Request(
            id=f"r{time.monotonic_ns()}",
            method="GET",
            host="h",
            path="/",
            request_target="/",
            headers=[],
            body=b"",
            arrived_at=time.monotonic(),
        )
        return self.gateway.handle(request, route or self.route, None, writer)

    async def close(self):
        await self.pool.close()
        for target in self.servers:
            target.server.close()


async def wait_until(condition):
    async with asyncio.timeout(TIME_LIMIT_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


class TestEndlessResponses(testtools.TestCase):
    """The target is disconnected, and the caller gets a true answer soon."""

    def run_test(self, scenario, **options):
        options.setdefault("kind", routes.RouteKind.AT_MOST_ONCE)
        options.setdefault("time_limit", TIME_LIMIT_SECONDS)

        async def run():
            fixture = Fixture(**options)
            try:
                await scenario(fixture)
            finally:
                await fixture.close()

        asyncio.run(run())

    async def check_disconnected(self, target, started):
        await wait_until(lambda: target.closed_at is not None)
        self.assertLess(target.sent_bytes, TAKEN_BYTES)
        self.assertLess(target.closed_at - started, PROMPT_SECONDS)

    def check_unanswered(self, first, repeated):
        """Checks the answer to a request that must not be repeated."""

        async def scenario(fixture):
            bad, other = Target(first, repeated), Target(ANSWER)
            task = await fixture.start_request(ResponseWriter(), bad, other)
            started = time.monotonic()
            (error,) = await asyncio.gather(task, return_exceptions=True)
            self.assertLess(time.monotonic() - started, PROMPT_SECONDS)
            self.assertIsInstance(error, web.ApiError)
            self.assertEqual(502, error.status)
            self.assertIs(web.ExecutionStatus.UNKNOWN, error.execution_status)
            self.assertEqual((1, 0), (len(bad.requests), len(other.requests)))
            await self.check_disconnected(bad, started)

        self.run_test(scenario)

    def check_cut(self, first, repeated):
        """Checks a stream that must not be resumed."""

        async def scenario(fixture):
            bad, other = Target(first, repeated), Target(ANSWER)
            writer = ResponseWriter()
            task = await fixture.start_request(writer, bad, other)
            started = time.monotonic()
            await task
            self.assertLess(time.monotonic() - started, PROMPT_SECONDS)
            self.assertTrue(writer.aborted)
            self.assertFalse(writer.finished)
            self.assertEqual(b"id: 1\ndata: x\n\n", writer.body)
            self.assertEqual((1, 0), (len(bad.requests), len(other.requests)))
            await self.check_disconnected(bad, started)

        self.run_test(scenario, kind=routes.RouteKind.STREAM)

    def check_resumed(self, first, repeated):
        """Checks a stream that another target can resume."""

        async def scenario(fixture):
            bad = Target(first, repeated)
            other = Target(EVENTS_AFTER_THE_FIRST)
            writer = ResponseWriter()
            task = await fixture.start_request(writer, bad, other)
            started = time.monotonic()
            await task
            self.assertLess(time.monotonic() - started, PROMPT_SECONDS)
            self.assertTrue(writer.finished)
            self.assertEqual(
                b"id: 1\ndata: x\n\nid: 2\ndata: y\n\n", writer.body
            )
            (resumption,) = other.requests
            self.assertTrue(resumption.startswith(b"GET /1 "))
            await self.check_disconnected(bad, started)

        self.run_test(scenario, kind=routes.RouteKind.STREAM, resumable=True)

    def test_head_without_end(self):
        self.check_unanswered(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n")

    def test_header_value_without_end(self):
        self.check_unanswered(b"HTTP/1.1 200 OK\r\na: ", b"x")

    def test_interim_responses_without_end(self):
        self.check_unanswered(b"", b"HTTP/1.1 102 Processing\r\n\r\n")

    def test_garbage_without_end(self):
        self.check_unanswered(b"", b"\x00\x01garbage")

    def test_switch_of_protocols_without_end(self):
        self.check_unanswered(
            b"HTTP/1.1 101 Switching Protocols\r\nupgrade: a\r\n"
            b"connection: upgrade\r\n\r\n",
            b"garbage",
        )

    def test_idempotent_request_is_sent_to_another_target(self):
        async def scenario(fixture):
            bad = Target(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n")
            writer = ResponseWriter()
            task = await fixture.start_request(writer, bad, Target(ANSWER))
            started = time.monotonic()
            await task
            self.assertLess(time.monotonic() - started, PROMPT_SECONDS)
            self.assertEqual(b"ok", writer.body)
            self.assertTrue(writer.finished)
            self.assertEqual(1, len(bad.requests))
            await self.check_disconnected(bad, started)

        self.run_test(scenario, kind=routes.RouteKind.IDEMPOTENT)

    def test_trailers_without_end_cut_the_stream(self):
        self.check_cut(CHUNKED_EVENTS + EVENT + b"0\r\n", b"a: b\r\n")

    def test_trailers_without_end_are_resumed_elsewhere(self):
        self.check_resumed(CHUNKED_EVENTS + EVENT + b"0\r\n", b"a: b\r\n")

    def test_chunk_extension_without_end_cuts_the_stream(self):
        self.check_cut(CHUNKED_EVENTS + EVENT + b"1;", b"x")

    def test_event_without_end_cuts_the_stream(self):
        self.check_cut(CHUNKED_EVENTS + EVENT, LINE)

    def test_event_without_end_is_resumed_elsewhere(self):
        self.check_resumed(CHUNKED_EVENTS + EVENT, LINE)

    def check_others_are_served(self, first, repeated):
        """Checks the delay of requests to targets without faults."""

        async def scenario(fixture):
            bad, healthy = Target(first, repeated), Target(ANSWER)
            healthy.may_answer.set()
            await fixture.add(healthy, service="healthy")
            await fixture.add(bad)
            bad.may_answer.set()
            tasks = [
                asyncio.create_task(fixture.handle(ResponseWriter()))
                for _ in range(8)
            ]
            slowest = 0.0
            while not all(task.done() for task in tasks):
                started = time.monotonic()
                writer = ResponseWriter()
                await fixture.handle(writer, fixture.healthy_route)
                slowest = max(slowest, time.monotonic() - started)
                self.assertEqual(b"ok", writer.body)
            await asyncio.gather(*tasks, return_exceptions=True)
            self.assertEqual(8, len(bad.requests))
            self.assertLess(slowest, fixture.healthy_route.objective / 2)

        self.run_test(scenario, kind=routes.RouteKind.STREAM)

    def test_other_requests_are_served_during_a_head_without_end(self):
        self.check_others_are_served(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n")

    def test_other_requests_are_served_during_an_event_without_end(self):
        self.check_others_are_served(CHUNKED_EVENTS + EVENT, LINE)


class TestEndlessBodies(testtools.TestCase):
    """A body without end stops with the caller or at the time limit."""

    def run_test(self, scenario, *, time_limit):
        async def run():
            fixture = Fixture(
                kind=routes.RouteKind.AT_MOST_ONCE, time_limit=time_limit
            )
            try:
                target = Target(PLAIN, b"x")
                target.may_answer.set()
                await fixture.add(target)
                await scenario(fixture, target)
            finally:
                await fixture.close()

        asyncio.run(run())

    def test_caller_that_does_not_read_stops_the_target(self):
        async def scenario(fixture, target):
            writer = ResponseWriter()
            writer.may_write.clear()
            await fixture.handle(writer)
            self.assertTrue(writer.aborted)
            self.assertFalse(writer.finished)
            self.assertLess(target.sent_bytes, TAKEN_BYTES)
            await wait_until(lambda: target.closed_at is not None)

        self.run_test(scenario, time_limit=1.0)

    def test_caller_that_has_left_disconnects_the_target(self):
        async def scenario(fixture, target):
            writer = ResponseWriter()
            task = asyncio.create_task(fixture.handle(writer))
            await wait_until(lambda: writer.size)
            task.cancel()
            started = time.monotonic()
            await asyncio.gather(task, return_exceptions=True)
            await wait_until(lambda: target.closed_at is not None)
            self.assertLess(target.closed_at - started, PROMPT_SECONDS)

        self.run_test(scenario, time_limit=TIME_LIMIT_SECONDS)

    def test_caller_that_reads_is_cut_at_the_time_limit(self):
        async def scenario(fixture, target):
            writer = ResponseWriter()
            started = time.monotonic()
            await fixture.handle(writer)
            self.assertGreaterEqual(time.monotonic() - started, 1.0)
            self.assertTrue(writer.aborted)
            self.assertFalse(writer.finished)
            self.assertGreater(writer.size, 0)
            await wait_until(lambda: target.closed_at is not None)

        self.run_test(scenario, time_limit=1.0)
