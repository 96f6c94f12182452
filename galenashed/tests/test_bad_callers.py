"""Callers that send slow, oversized or malformed requests."""

import contextlib
import socket

import testtools

from galenashed.tests import _fleet

MAX_CONNECTIONS = 500


class TestBadCallers(testtools.TestCase):
    """Each gets an error response; other requests are still served."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.fleet = _fleet.Fleet(controls=1, entries=1, engines=1, services=0)
        cls.addClassCleanup(cls.fleet.close)
        cls.fleet.start()

    def connect(self) -> socket.socket:
        host, _, port = self.fleet.addresses["e1"].rpartition(":")
        sock = socket.create_connection((host, int(port)), timeout=20)
        self.addCleanup(sock.close)
        return sock

    def send(self, data: bytes) -> bytes:
        """Sends bytes and returns everything that the entry sends back."""
        sock = self.connect()
        sock.sendall(data)
        return self.read(sock)

    def read(self, sock: socket.socket) -> bytes:
        response = b""
        with contextlib.suppress(ConnectionError):
            while data := sock.recv(65536):
                response += data
        return response

    def assert_serves_other_requests(self):
        self.assertEqual(200, self.fleet.ask("e1").status)

    def test_incomplete_head_times_out(self):
        response = self.send(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n")
        self.assertIn(b"408", response.split(b"\r\n")[0])
        self.assertIn(b"request_timeout", response)
        self.assert_serves_other_requests()

    def test_idle_connection_times_out(self):
        self.assertIn(b"408", self.read(self.connect()))

    def test_incomplete_body_times_out(self):
        response = self.send(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer " + _fleet.TEAM_KEY.encode() + b"\r\n"
            b"Connection: close\r\nContent-Length: 100\r\n\r\n{"
        )
        self.assertIn(b"408", response.split(b"\r\n")[0])
        self.assert_serves_other_requests()

    def test_oversized_head_is_refused(self):
        response = self.send(b"GET / HTTP/1.1\r\n" + b"X-Y: " + b"z" * 400_000)
        self.assertIn(b"431", response.split(b"\r\n")[0])

    def test_non_http_bytes_are_refused(self):
        response = self.send(b"\x16\x03\x01\x02\x00\r\n\r\n")
        self.assertIn(b"400", response.split(b"\r\n")[0])
        self.assert_serves_other_requests()

    def test_oversized_body_is_refused_before_its_end(self):
        sock = self.connect()
        sock.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer " + _fleet.TEAM_KEY.encode() + b"\r\n"
            b"Content-Length: 1000000000\r\n\r\n"
        )
        sent_mib = 0
        with contextlib.suppress(OSError):
            while sent_mib < 64:
                sock.sendall(b"x" * 2**20)
                sent_mib += 1
        # The entry stopped reading and closed the connection long before
        # the declared length.
        self.assertLess(sent_mib, 64)
        self.assert_serves_other_requests()

    def test_excess_connections_are_refused(self):
        open_socks = [self.connect() for _ in range(MAX_CONNECTIONS)]
        response = self.read(self.connect())
        self.assertIn(b"503", response.split(b"\r\n")[0])
        self.assertIn(b"too_many_connections", response)
        for sock in open_socks:
            sock.close()
        _fleet.wait_for(
            lambda: self.fleet.ask("e1").status == 200, "a free connection"
        )

    def test_unknown_path_returns_the_error_format(self):
        response = _fleet.fetch(self.fleet.addresses["e1"], "/v2/nothing")
        self.assertEqual(404, response.status)
        self.assertEqual("not_found", response.json()["error"]["code"])
