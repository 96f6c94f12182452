"""Responses of services that are broken off."""

import asyncio
import contextlib
import socket
import struct
import types

import testtools

from galenashed import clients
from galenashed.entry import _calls
from galenashed.quarantine.tests import _fixture as quarantine_fixture
from galenashed import telemetry
from galenashed import web

TIME_LIMIT_SECONDS = 10.0
PLAIN = b"HTTP/1.1 200 OK\r\n%s\r\n"
EVENTS = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n%s\r\n"
EVENT = b"id: 1\ndata: x\n\n"


class Service:
    """Sends ``data``, and closes or resets the connection.

    If it ``ends``, it listens no more, like a process that was killed.
    """

    def __init__(self, data, *, reset, ends):
        self.data = data
        self.reset = reset
        self.ends = ends
        self.requests = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        try:
            await self.respond(reader, writer)
        finally:
            writer.close()

    async def respond(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.requests += 1
        writer.write(self.data)
        await writer.drain()
        # Lets the client read what was sent: a reset discards the rest.
        await asyncio.sleep(0.05)
        if self.ends:
            self.server.close()
        if self.reset:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


class Dispatcher:
    """Knows one target, and allows no call to be sent again."""

    def __init__(self, address):
        self.address = address
        self.retry_budget = types.SimpleNamespace(try_acquire=lambda: False)

    async def acquire(self, slot_request):
        target = types.SimpleNamespace(
            name="service", incarnation="1", address=self.address
        )
        return types.SimpleNamespace(
            target=target,
            end=lambda *, failed=False: None,
            check_domain=lambda: None,
        )

    def on_response(self, slot, status, headers):
        pass

    @contextlib.asynccontextmanager
    async def watch(self, slot, seconds):
        async with asyncio.timeout(TIME_LIMIT_SECONDS):
            yield


def make_call():
    return types.SimpleNamespace(
        attempt="a",
        digest="d",
        part_ids=(),
        body=b"",
        headers=[],
        idempotent=True,
        method="GET",
        path="/",
        service=types.SimpleNamespace(timeout=TIME_LIMIT_SECONDS),
        team=None,
    )


class TestBrokenCalls(testtools.TestCase):
    """A response that is broken off is not taken for complete."""

    def call(self, data, *, reset=False, ends=False):
        async def run():
            service = Service(data, reset=reset, ends=ends)
            client = clients.TargetClient()
            await client.start()
            handler = _calls.CallHandler(
                dispatcher=Dispatcher(await service.start()),
                reservations=None,
                client=client,
                claims=None,
                crash_quarantine=quarantine_fixture.make_quarantine(
                    quarantine_fixture.Control()
                ),
                crashes=types.SimpleNamespace(
                    has_crashed=client.refuses_connections
                ),
                metrics=telemetry.NullMetrics(),
            )
            try:
                return await handler._run_idempotent(make_call())
            finally:
                await client.close()
                service.server.close()

        return asyncio.run(run())

    def check_lost(self, data, **options):
        error = self.assertRaises(web.ApiError, self.call, data, **options)
        self.assertEqual("targets_failing", error.code)
        self.assertIs(web.ExecutionStatus.UNKNOWN, error.execution_status)

    def test_response_without_length_is_incomplete_at_reset(self):
        self.check_lost(PLAIN % b"" + b"abc", reset=True)

    def test_response_without_length_is_complete_at_close(self):
        self.assertEqual(b"abc", self.call(PLAIN % b"" + b"abc").body)

    def test_response_that_ends_with_its_service_is_incomplete(self):
        # A service that is killed closes its connections in an orderly way.
        self.check_lost(PLAIN % b"" + b"abc", ends=True)
        self.check_lost(EVENTS % b"" + EVENT, ends=True)

    def test_response_shorter_than_its_length_is_incomplete(self):
        self.check_lost(PLAIN % b"content-length: 9\r\n" + b"abc")

    def test_response_without_its_last_chunk_is_incomplete(self):
        head = PLAIN % b"transfer-encoding: chunked\r\n"
        self.check_lost(head + b"3\r\nabc\r\n")

    def test_response_with_a_length_is_complete_before_a_reset(self):
        data = PLAIN % b"content-length: 3\r\n" + b"abc"
        self.assertEqual(b"abc", self.call(data, reset=True).body)

    def test_stream_that_closes_inside_an_event_is_incomplete(self):
        self.check_lost(EVENTS % b"" + EVENT + b"id: 2\nda")

    def test_stream_with_a_length_that_ends_inside_an_event_is_incomplete(
        self,
    ):
        self.check_lost(EVENTS % b"content-length: 4\r\n" + b"id: ")

    def test_stream_that_closes_before_any_event_is_incomplete(self):
        self.check_lost(EVENTS % b"")

    def test_stream_with_a_length_of_zero_is_complete(self):
        head = EVENTS % b"content-length: 0\r\n"
        self.assertEqual(b"", self.call(head).body)

    def test_stream_that_closes_after_an_event_is_complete(self):
        self.assertEqual(EVENT, self.call(EVENTS % b"" + EVENT).body)
