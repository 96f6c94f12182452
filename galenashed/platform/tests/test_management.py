"""Bodies of announcements that are too long or not complete."""

import asyncio
import json

import testtools

from galenashed.platform import _management

HEARTBEAT = {
    "service": "app",
    "address": "127.0.0.1:80",
    "zone": "east",
    "state": "ready",
    "seq": 1,
}
ENDLESS_BYTES = 4 * 2**20


class Log:
    def write(self, event, **fields):
        pass


class Node:
    """Records the announcements and deregistrations."""

    log = Log()

    def __init__(self):
        self.announced = []
        self.deregistered = []

    def announce_target(self, target):
        self.announced.append(target)

    def deregister_target(self, name, started):
        self.deregistered.append(name)


class TestAnnouncementBodies(testtools.TestCase):
    def request(self, path, messages):
        """Returns the node, the messages sent and how many were read."""
        node = Node()
        app = _management.ManagementApi(
            node=node, discovery_max_age=1.0, metrics=lambda: b""
        )
        remaining = iter(messages)
        sent = []
        received = []

        async def receive():
            message = next(remaining, {"type": "http.disconnect"})
            received.append(message)
            return message

        async def send(message):
            sent.append(message)

        scope = {"method": "POST", "path": path, "query_string": b""}
        asyncio.run(app(scope, receive, send))
        return node, sent, len(received)

    def body(self, data, *, more):
        return {"type": "http.request", "body": data, "more_body": more}

    def test_heartbeat_is_announced(self):
        data = json.dumps(HEARTBEAT).encode()
        node, sent, _ = self.request(
            "/Instances.Heartbeat/t",
            [self.body(data[:9], more=True), self.body(data[9:], more=False)],
        )
        self.assertEqual(200, sent[0]["status"])
        self.assertEqual(["t"], [target.name for target in node.announced])

    def test_announcement_without_end_is_refused(self):
        piece = self.body(b"x" * 4096, more=True)
        for path in ("/Instances.Heartbeat/t", "/Instances.Deregister/t"):
            node, sent, received = self.request(
                path, [piece] * (ENDLESS_BYTES // 4096)
            )
            self.assertEqual(413, sent[0]["status"])
            self.assertIn((b"connection", b"close"), sent[0]["headers"])
            self.assertLess(
                received * 4096, 2 * _management.MAX_ANNOUNCEMENT_BYTES
            )
            self.assertEqual([], node.announced)

    def test_deregistration_that_breaks_off_is_ignored(self):
        node, sent, _ = self.request("/Instances.Deregister/t", [])
        self.assertEqual([], node.deregistered)
        self.assertEqual([], sent)
