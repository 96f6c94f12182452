"""Callers that send slowly, too much, or nonsense."""

import contextlib
import socket

import testtools

from galenashed.tests import _fleet

CONNECTIONS = 500


class TestBadCallers(testtools.TestCase):
    """Each is told what is wrong, and nobody else notices."""

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
        """Returns all that the entry says to some bytes."""
        sock = self.connect()
        sock.sendall(data)
        return self.read(sock)

    def read(self, sock: socket.socket) -> bytes:
        answer = b""
        with contextlib.suppress(ConnectionError):
            while data := sock.recv(65536):
                answer += data
        return answer

    def assert_others_unharmed(self):
        self.assertEqual(200, self.fleet.ask("e1").status)

    def test_head_that_never_ends(self):
        answer = self.send(b"GET /v1/models HTTP/1.1\r\nHost: x\r\n")
        self.assertIn(b"408", answer.split(b"\r\n")[0])
        self.assertIn(b"request_timeout", answer)
        self.assert_others_unharmed()

    def test_silent_connection(self):
        self.assertIn(b"408", self.read(self.connect()))

    def test_body_that_never_ends(self):
        answer = self.send(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer " + _fleet.TEAM_KEY.encode() + b"\r\n"
            b"Connection: close\r\nContent-Length: 100\r\n\r\n{"
        )
        self.assertIn(b"408", answer.split(b"\r\n")[0])
        self.assert_others_unharmed()

    def test_head_that_is_too_large(self):
        answer = self.send(b"GET / HTTP/1.1\r\n" + b"X-Y: " + b"z" * 400_000)
        self.assertIn(b"431", answer.split(b"\r\n")[0])

    def test_bytes_that_are_no_request(self):
        answer = self.send(b"\x16\x03\x01\x02\x00\r\n\r\n")
        self.assertIn(b"400", answer.split(b"\r\n")[0])
        self.assert_others_unharmed()

    def test_huge_body_is_refused_before_it_ends(self):
        sock = self.connect()
        sock.sendall(
            b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer " + _fleet.TEAM_KEY.encode() + b"\r\n"
            b"Content-Length: 1000000000\r\n\r\n"
        )
        sent = 0
        with contextlib.suppress(OSError):
            while sent < 64:
                sock.sendall(b"x" * 2**20)
                sent += 1
        # It stopped reading, and closed, long before the declared end.
        self.assertLess(sent, 64)
        self.assert_others_unharmed()

    def test_too_many_connections(self):
        held = [self.connect() for _ in range(CONNECTIONS)]
        answer = self.read(self.connect())
        self.assertIn(b"503", answer.split(b"\r\n")[0])
        self.assertIn(b"too_many_connections", answer)
        for sock in held:
            sock.close()
        _fleet.wait_for(
            lambda: self.fleet.ask("e1").status == 200, "room again"
        )

    def test_unknown_path_has_the_errors_form(self):
        answer = _fleet.fetch(self.fleet.addresses["e1"], "/v2/nothing")
        self.assertEqual(404, answer.status)
        self.assertEqual("not_found", answer.json()["error"]["code"])
