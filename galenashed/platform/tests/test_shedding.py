"""Requests that the entry has no capacity for, as callers see them."""

import asyncio
import random

import testtools

from galenashed import gateway
from galenashed.platform import _headers
from galenashed.platform import _ingress
from galenashed.protocol import routes
from galenashed import telemetry


class Gateway:
    """Admits and answers all requests."""

    route_index = None

    def __init__(self, answer):
        self.handled = 0
        self.answer = answer

    def admit(self, host, path, key):
        return routes.Route(
            name="r",
            host=host,
            prefix="/",
            kind=routes.RouteKind.IDEMPOTENT,
            shares=[],
            time_limit=1.0,
        ), None

    async def handle(self, request, route, team, writer):
        self.handled += 1
        await writer.write(self.answer)
        await writer.finish()


class TestShedding(testtools.TestCase):
    """What a caller gets while the link is overloaded.

    Guards against requests that run although they were refused, and against
    flows that are never closed and so use up the link for good.
    """

    def setUp(self):
        super().setUp()
        self.shedder = gateway.LoadShedder(
            limits=gateway.Limits(link=10_000.0, descriptors=100),
            metrics=telemetry.NullMetrics(),
            rng=random.Random(1),
        )
        self.gateway = Gateway(b"a" * 20_000)
        self.ingress = _ingress.Ingress(
            gateway=self.gateway,
            shedder=self.shedder,
            is_draining=lambda: False,
            relay_address="127.0.0.1:1",
            peer_key="k",
        )

    async def call(self):
        sent = []
        messages = [{"type": "http.request", "body": b"b" * 100}]

        async def receive():
            if messages:
                return messages.pop()
            return await asyncio.Event().wait()

        async def send(message):
            sent.append(message)

        scope = {
            "method": "POST",
            "query_string": b"",
            "raw_path": b"/p",
            "server": ("127.0.0.1", 2),
            "headers": [(_headers.REQUEST_ID.encode(), b"1")],
        }
        await self.ingress(scope, receive, send)
        return sent

    def test_refused_with_a_time_to_come_back_and_not_run(self):
        answered = asyncio.run(self.call())
        self.assertEqual(20_000, len(answered[0]["body"]))
        refused = asyncio.run(self.call())
        headers = dict(refused[0]["headers"])
        self.assertEqual(503, refused[0]["status"])
        self.assertLessEqual(float(headers[b"retry-after"]), 2.0)
        self.assertIn(b'"run":"not run"', refused[1]["body"])
        self.assertEqual(1, self.gateway.handled)
        self.assertEqual(0, self.shedder.running)
        self.assertGreater(self.shedder.moved, 20_100)

    def test_connections_are_closed_while_descriptors_are_scarce(self):
        self.shedder.update(gateway.Sample(descriptors=90), 0.0)
        asyncio.run(self.call())
        refused = asyncio.run(self.call())
        self.assertIn((b"connection", b"close"), refused[0]["headers"])
