"""Truncated responses and invalid statuses, from a target to a caller.

Guards against a caller that takes a part of a response, or one with an
invalid status, for a complete response.
"""

import http.client
import socket
import struct

import testtools

from galenashed.engines.tests import _early_target
from galenashed.platform.tests import _site
from galenashed.tests import _fleet

BODY = b"x" * (4 * 2**20)
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": len(BODY),
    "headerTimeoutMs": 2000,
    "idleTimeoutMs": 5000,
}
FRAMED = b"HTTP/1.1 %s X\r\nX-Attempt-Id: %s\r\n%s\r\n"


class ScriptedTarget(_site.Target):
    """Answers with ``status``, ``framing`` and ``body`` at once.

    It reads no body of a request; ``resets`` tells how it ends.
    """

    status = b"200"
    framing = b"Content-Length: 3\r\n"
    body = b"abc"
    resets = False

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        headers = dict(
            line.lower().split(": ", 1) for line in head.split("\r\n")[1:-2]
        )
        self.arrivals.append(head)
        request = headers.get("x-attempt-id", "").encode()
        writer.write(FRAMED % (self.status, request, self.framing) + self.body)
        await writer.drain()
        if self.resets:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        return False


class TestTruncatedResponses(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = _site.Site(nodes=3)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.site.put_configuration(limits=LIMITS)
        self.target = self.site.add_target("app", target_class=ScriptedTarget)
        _fleet.wait_for(lambda: self.call() == (200, b"abc"), "a target")

    def call(self, body=b"x"):
        """Returns status and body; None if the response is incomplete."""
        try:
            response = self.site.call("/o/x", body=body)
        except (OSError, http.client.HTTPException):
            return None
        return response.status, response.body

    def check_lost(self):
        self.target.arrivals.clear()
        response = self.call(BODY)
        self.assertEqual(1, len(self.target.arrivals))
        if response is not None:
            self.assertIn(response[0], (502, 504))

    def test_invalid_statuses(self):
        for status in _early_target.INVALID_STATUSES:
            self.target.status = status
            self.check_lost()

    def test_part_without_length(self):
        self.target.framing = b""
        for resets in (True, False):
            self.target.resets = resets
            self.check_lost()

    def test_part_of_a_known_length(self):
        self.target.framing = b"Content-Length: 9\r\n"
        for resets in (True, False):
            self.target.resets = resets
            self.check_lost()
