"""Requests to targets that send bytes without end."""

import asyncio
import time

import testtools

from galenashed.gateway.tests import _fixture
from galenashed.protocol import routes
from galenashed import web

# A third of the time limit: far from it, and from the time that the first
# bytes take on a busy machine.
PROMPT_SECONDS = _fixture.TIME_LIMIT_SECONDS / 3
# What a closed connection may have taken: a limit of the connection or of an
# event, one read, and the buffers of both sockets.
TAKEN_BYTES = 12 * 2**20

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


class TestEndlessResponses(testtools.TestCase):
    """The target is disconnected, and the caller gets a true answer soon."""

    def run_test(self, scenario, **options):
        options.setdefault("kind", routes.RouteKind.AT_MOST_ONCE)
        options.setdefault("time_limit", _fixture.TIME_LIMIT_SECONDS)

        async def run():
            fixture = _fixture.Fixture(**options)
            try:
                await scenario(fixture)
            finally:
                await fixture.close()

        asyncio.run(run())

    async def check_disconnected(self, target, started):
        await _fixture.wait_until(lambda: target.closed_at is not None)
        self.assertLess(target.sent_bytes, TAKEN_BYTES)
        self.assertLess(target.closed_at - started, PROMPT_SECONDS)

    def check_unanswered(self, first, repeated):
        """Checks the answer to a request that must not be repeated."""

        async def scenario(fixture):
            bad, other = (
                _fixture.Target(first, repeated),
                _fixture.Target(ANSWER),
            )
            task = await fixture.start_request(
                _fixture.ResponseWriter(), bad, other
            )
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
            bad, other = (
                _fixture.Target(first, repeated),
                _fixture.Target(ANSWER),
            )
            writer = _fixture.ResponseWriter()
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
            bad = _fixture.Target(first, repeated)
            other = _fixture.Target(EVENTS_AFTER_THE_FIRST)
            writer = _fixture.ResponseWriter()
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
            bad = _fixture.Target(b"HTTP/1.1 200 OK\r\n", b"a: b\r\n")
            writer = _fixture.ResponseWriter()
            task = await fixture.start_request(
                writer, bad, _fixture.Target(ANSWER)
            )
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
            bad, healthy = (
                _fixture.Target(first, repeated),
                _fixture.Target(ANSWER),
            )
            healthy.may_answer.set()
            await fixture.add(healthy, service="healthy")
            await fixture.add(bad)
            bad.may_answer.set()
            tasks = [
                asyncio.create_task(fixture.handle(_fixture.ResponseWriter()))
                for _ in range(8)
            ]
            slowest = 0.0
            while not all(task.done() for task in tasks):
                started = time.monotonic()
                writer = _fixture.ResponseWriter()
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
            fixture = _fixture.Fixture(
                kind=routes.RouteKind.AT_MOST_ONCE, time_limit=time_limit
            )
            try:
                target = _fixture.Target(PLAIN, b"x")
                target.may_answer.set()
                await fixture.add(target)
                await scenario(fixture, target)
            finally:
                await fixture.close()

        asyncio.run(run())

    def test_caller_that_does_not_read_stops_the_target(self):
        async def scenario(fixture, target):
            writer = _fixture.ResponseWriter()
            writer.may_write.clear()
            await fixture.handle(writer)
            self.assertTrue(writer.aborted)
            self.assertFalse(writer.finished)
            self.assertLess(target.sent_bytes, TAKEN_BYTES)
            await _fixture.wait_until(lambda: target.closed_at is not None)

        self.run_test(scenario, time_limit=1.0)

    def test_caller_that_has_left_disconnects_the_target(self):
        async def scenario(fixture, target):
            writer = _fixture.ResponseWriter()
            task = asyncio.create_task(fixture.handle(writer))
            await _fixture.wait_until(lambda: writer.size)
            task.cancel()
            started = time.monotonic()
            await asyncio.gather(task, return_exceptions=True)
            await _fixture.wait_until(lambda: target.closed_at is not None)
            self.assertLess(target.closed_at - started, PROMPT_SECONDS)

        self.run_test(scenario, time_limit=_fixture.TIME_LIMIT_SECONDS)

    def test_caller_that_reads_is_cut_at_the_time_limit(self):
        async def scenario(fixture, target):
            writer = _fixture.ResponseWriter()
            started = time.monotonic()
            await fixture.handle(writer)
            self.assertGreaterEqual(time.monotonic() - started, 1.0)
            self.assertTrue(writer.aborted)
            self.assertFalse(writer.finished)
            self.assertGreater(writer.size, 0)
            await _fixture.wait_until(lambda: target.closed_at is not None)

        self.run_test(scenario, time_limit=1.0)
