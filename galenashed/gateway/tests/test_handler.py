"""State that the gateway tracks for a target during a response."""

import asyncio
import random
import time

import testtools

from galenashed import engines
from galenashed import gateway
from galenashed.gateway.tests import _fixture
from galenashed.protocol import gossip
from galenashed.protocol import routes
from galenashed.quarantine.tests import _fixture as quarantine_fixture
from galenashed import routing
from galenashed import telemetry

HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"content-length: 24\r\n\r\n"
)
EVENT = b"id: %d\ndata: x\n\n"
PROMPT = (gateway.PromptPart("common", 2000), gateway.PromptPart("own", 500))


class Engine:
    """Sends the headers and two events, each when the test allows it."""

    def __init__(self):
        self.steps = [asyncio.Event() for _ in range(3)]
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for step, data in zip(
            self.steps, (HEAD, EVENT % 1, EVENT % 2), strict=True
        ):
            await step.wait()
            writer.write(data)
            await writer.drain()
        writer.close()


def route():
    return routes.Route(
        name="r",
        host="h",
        prefix="/",
        kind=routes.RouteKind.STREAM,
        shares=[routes.WeightedService(service="s", weight=1)],
        time_limit=5.0,
    )


class TestPendingPrompts(testtools.TestCase):
    """A prompt is pending until the first event of its response."""

    def test_prompt_is_pending_until_the_first_event(self):
        asyncio.run(self.run_stream())

    async def wait_until(self, condition):
        async with asyncio.timeout(5.0):
            while not condition():
                await asyncio.sleep(0.01)

    async def run_stream(self):
        engine = Engine()
        address = await engine.start()
        targets = gateway.Targets(
            domain="east", limits=routing.TargetLimits(name="entry")
        )
        targets.update(
            gossip.Target(
                name="t",
                incarnation="1",
                started=0.0,
                sequence=1,
                service="s",
                address=address,
                failure_domain="east",
                state="ready",
                slots=8,
            )
        )
        pool = engines.ConnectionPool(connect_timeout=1.0)
        handler = gateway.Gateway(
            targets=targets,
            prepaid=_fixture.PrepaidReserver(),
            pool=pool,
            codec=_fixture.TargetCodec(),
            crash_quarantine=quarantine_fixture.make_quarantine(
                quarantine_fixture.Control()
            ),
            paths=_fixture.make_paths(pool, targets),
            peers=_fixture.Peers(),
            origins=_fixture.Origins(),
            retries=routing.RetryBudget(share=0.1, max_saved=1.0),
            log=telemetry.NullDecisionLog(),
            metrics=telemetry.NullMetrics(),
            rng=random.Random(1),
        )
        handler.apply_routing_table(
            routes.RoutingTable(
                version=1,
                routes=[route()],
                services=[routes.RoutedService(name="s")],
            )
        )
        request = gateway.Request(
            id="r1",
            method="GET",
            host="h",
            path="/",
            request_target="/",
            headers=[],
            body=b"",
            arrived_at=time.monotonic(),
            prompt=PROMPT,
        )
        writer = _fixture.ResponseWriter()
        fut = asyncio.ensure_future(
            handler.handle(request, route(), None, writer)
        )
        target = targets.get("t")
        await self.wait_until(lambda: target.in_flight == 1)
        self.assertEqual(2500, target.pending_prefill_tokens)
        engine.steps[0].set()
        engine.steps[1].set()
        await self.wait_until(lambda: b"id: 1" in writer.body)
        self.assertEqual(0, target.pending_prefill_tokens)
        self.assertEqual(1, target.in_flight)
        self.assertEqual(500, target.uncached_tokens(PROMPT))
        engine.steps[2].set()
        await fut
        self.assertEqual(0, target.in_flight)
        await pool.close()
        engine.server.close()
