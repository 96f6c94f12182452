"""Responses that begin, or end, before the request was written.

Guards against a part of a response, or one with an invalid status, that is
taken for a complete response.
"""

import asyncio

import testtools
import uvloop

from galenashed import clients
from galenashed import engines
from galenashed.engines.tests import _early_target
from galenashed.entry import _call
from galenashed.entry import _calls
from galenashed.entry import _forwarding
from galenashed.entry.tests import test_broken_calls
from galenashed.gateway import _forwarding as gateway_forwarding
from galenashed.gateway.tests import _fixture
from galenashed.protocol import routes
from galenashed.quarantine.tests import _fixture as quarantine_fixture
from galenashed import telemetry
from galenashed import web

TIME_LIMIT_SECONDS = 10.0
LOOPS = {"asyncio": asyncio.new_event_loop, "uvloop": uvloop.new_event_loop}
ENCODED = (
    b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
    % len(_early_target.BODY)
) + _early_target.BODY


class Cases:
    """The cases, for a path by which a response reaches its caller."""

    async def deliver(self, target):
        """Returns status and body; None if the response is lost."""
        raise NotImplementedError

    def respond(self, data, ending, *, settles=True):
        """Returns what was delivered with each event loop."""

        async def run():
            target = _early_target.EarlyTarget(data, ending, settles=settles)
            try:
                async with asyncio.timeout(TIME_LIMIT_SECONDS):
                    return await self.deliver(target)
            finally:
                target.close()

        results = []
        for factory in LOOPS.values():
            with asyncio.Runner(loop_factory=factory) as runner:
                results.append(runner.run(run()))
        self.assertEqual(results[0], results[1])
        return results[0]

    def check_lost(self, data, ending="read", **options):
        delivered = self.respond(data, ending, **options)
        self.assertIsNone(delivered, (data, ending))

    def check_delivered(self, data, ending):
        self.assertEqual((200, b"abc"), self.respond(data, ending))

    def test_invalid_statuses(self):
        for data in _early_target.invalid_responses().values():
            self.check_lost(data)

    def test_invalid_status_before_a_valid_response(self):
        valid = _early_target.LENGTH + b"abc"
        for status in (b"000", b"099"):
            head = b"HTTP/1.1 %s X\r\n\r\n" % status
            self.check_lost(head + valid)

    def test_part_without_length_before_a_reset(self):
        data = _early_target.NO_LENGTH + _early_target.PART
        self.check_lost(data, "reset")

    def test_part_without_length_before_a_reset_in_the_kernel(self):
        data = _early_target.NO_LENGTH + _early_target.PART * 100_000
        self.check_lost(data, "reset", settles=False)

    def test_part_without_length_before_a_close(self):
        data = _early_target.NO_LENGTH + _early_target.PART
        self.check_lost(data, "close")
        self.check_lost(data, "close", settles=False)

    def test_part_without_length_before_a_shutdown(self):
        data = _early_target.NO_LENGTH + _early_target.PART
        self.check_lost(data, "shutdown")

    def test_part_of_a_known_length(self):
        for data in (_early_target.HALF_LENGTH, _early_target.CHUNKS):
            for ending in ("reset", "close", "shutdown"):
                self.check_lost(data, ending)

    def test_complete_early_response(self):
        data = _early_target.LENGTH + b"abc"
        for ending in ("read", "reset", "shutdown"):
            self.check_delivered(data, ending)

    def test_complete_early_response_in_chunks(self):
        self.check_delivered(_early_target.CHUNKS + b"0\r\n\r\n", "read")

    def test_interim_responses_before_a_complete_one(self):
        for interim in (
            _early_target.CONTINUE,
            _early_target.PROCESSING,
            _early_target.HINTS * 3,
        ):
            data = interim + _early_target.LENGTH + b"abc"
            self.check_delivered(data, "read")

    def test_interim_responses_before_a_part(self):
        data = _early_target.HINTS + _early_target.NO_LENGTH
        for ending in ("reset", "close", "shutdown"):
            self.check_lost(data + _early_target.PART, ending)
            self.check_lost(_early_target.HINTS, ending)


class TestConnectionPool(Cases, testtools.TestCase):
    """The connections of the gateway to targets."""

    async def deliver(self, target):
        pool = engines.ConnectionPool(connect_timeout=1.0)
        conn = await pool.acquire(await target.start(), new_connection=True)
        try:
            conn.send(ENCODED)
            head = await conn.head()
            body = b""
            while data := await conn.read():
                body += data
            return head.status, body
        except engines.TargetLostError:
            return None
        finally:
            pool.release(conn)
            await pool.close()


class TestTargetClient(Cases, testtools.TestCase):
    """The connections of the entries of the product."""

    async def deliver(self, target):
        client = clients.TargetClient()
        await client.start()
        try:
            resp = await client.send(
                address=await target.start(),
                method="POST",
                path="/",
                headers=[],
                body=_early_target.BODY,
                reuse_connection=True,
            )
            return resp.status, await clients.read_body(resp, 2**24)
        except engines.TargetLostError:
            return None
        finally:
            await client.close()


class TestCalls(Cases, testtools.TestCase):
    """Calls of services by way of an entry of the product."""

    async def deliver(self, target):
        client = clients.TargetClient()
        await client.start()
        handler = _calls.CallHandler(
            dispatcher=test_broken_calls.Dispatcher(await target.start()),
            reservations=None,
            client=client,
            claims=None,
            crash_quarantine=quarantine_fixture.make_quarantine(
                quarantine_fixture.Control()
            ),
            crashes=_Crashes(),
            metrics=telemetry.NullMetrics(),
        )
        call = test_broken_calls.make_call()
        call.method = "POST"
        call.body = _early_target.BODY
        try:
            answer = await handler._run_idempotent(call)
            return answer.status, bytes(answer.body)
        except web.ApiError as exc:
            assert exc.execution_status is web.ExecutionStatus.UNKNOWN
            return None
        finally:
            await client.close()


class _Crashes:
    async def has_crashed(self, address):
        return False


class TestForwardingOfEntries(Cases, testtools.TestCase):
    """Requests that an entry of the product passes on to another one."""

    async def deliver(self, target):
        address = await target.start()
        forwarder = _forwarding.PeerForwarder(
            name="e1",
            paths=None,
            instances=_Instances(address),
            metrics=telemetry.NullMetrics(),
        )
        await forwarder.start()
        try:
            response = await forwarder.forward(
                _Request(),
                _early_target.BODY,
                _Service(),
                repeatable=False,
                receive=None,
            )
            return response.status, response.content.body
        except web.ApiError as exc:
            assert exc.code == _call.outcome_unknown_error("").code
            return None
        finally:
            await forwarder.close()


class _Service:
    name = "s"
    timeout = TIME_LIMIT_SECONDS


class _Request:
    method = "POST"
    headers = []
    scope = {"raw_path": b"/", "query_string": b""}


class _Instances:
    def __init__(self, address):
        self.address = address

    def with_path(self, service):
        return [self]


class TestGateway(Cases, testtools.TestCase):
    """The whole path of a request through the gateway."""

    async def deliver(self, target):
        fixture = _fixture.Fixture(
            kind=routes.RouteKind.AT_MOST_ONCE, time_limit=TIME_LIMIT_SECONDS
        )
        fixture.gateway.codec.encode = lambda attempt: ENCODED
        target.server = target
        writer = _Writer()
        try:
            await fixture.add(target)
            await fixture.handle(writer)
        except web.ApiError as exc:
            assert exc.execution_status is not web.ExecutionStatus.NOT_RUN
            return None
        finally:
            await fixture.pool.close()
        return writer.result()


class TestRelayBetweenNodes(Cases, testtools.TestCase):
    """Requests that a node passes on to another one."""

    async def deliver(self, target):
        forwarder = gateway_forwarding.PeerForwarder(
            paths=None,
            peers=_Peers(await target.start()),
            codec=_Codec(),
            log=telemetry.NullDecisionLog(),
            metrics=telemetry.NullMetrics(),
        )
        writer = _Writer()
        loop = asyncio.get_running_loop()
        route = routes.Route(
            name="r",
            host="h",
            prefix="/",
            kind=routes.RouteKind.AT_MOST_ONCE,
            shares=[],
            time_limit=TIME_LIMIT_SECONDS,
        )
        try:
            await forwarder.forward(
                _GatewayRequest(),
                route,
                "s",
                writer,
                loop.time() + TIME_LIMIT_SECONDS,
                None,
            )
        except web.ApiError as exc:
            assert exc.execution_status is web.ExecutionStatus.UNKNOWN
            return None
        finally:
            await forwarder.close()
        return writer.result()


class _GatewayRequest:
    id = "r"
    method = "POST"
    arrived_at = 0.0


class _Codec:
    def encode_forwarded(self, request, seconds):
        return ENCODED


class _Peers:
    def __init__(self, address):
        self.address = address

    def entries_with_path(self, service, regions):
        return [self.address]


class _Writer(_fixture.ResponseWriter):
    """Keeps the status as well; None is the result if it was aborted."""

    status = 0

    async def start(self, head, *, with_content_length):
        self.status = head.status

    def result(self):
        if self.aborted or not self.finished:
            return None
        return self.status, self.body
