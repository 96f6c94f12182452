"""Targets that send bytes without end, none of which complete a response."""

import asyncio
import socket

import testtools

from galenashed import engines
from galenashed.engines import _connection

PIECE_BYTES = 16 * 1024
# Far more than the limit, so that a connection without one reads it all.
OFFERED_BYTES = 4 * 2**20
OK_LINE = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK_LINE + b"transfer-encoding: chunked\r\n\r\n"
ONE_CHUNK = CHUNKED + b"1\r\nx\r\n"


class Transport:
    """Records what the connection does to its transport."""

    def __init__(self):
        self.aborted = False
        self.paused = False
        self.sock = socket.socket()

    def get_extra_info(self, name):
        return self.sock

    def write(self, data):
        pass

    def abort(self):
        self.aborted = True

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


class TestEndlessResponses(testtools.TestCase):
    """The connection is closed once the limit is exceeded."""

    def open(self):
        conn = _connection.Connection(
            address="target:1", on_unusable=lambda conn: None
        )
        transport = Transport()
        self.addCleanup(transport.sock.close)
        conn.connection_made(transport)
        conn.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        return conn, transport

    def offer(self, conn, transport, first, repeated, *, piece=PIECE_BYTES):
        """Returns the bytes that the connection takes before it closes."""
        conn.data_received(first)
        data = repeated * (piece // len(repeated))
        taken = len(first)
        while not transport.aborted and taken < OFFERED_BYTES:
            conn.data_received(data)
            taken += len(data)
        return taken

    def check_closed(self, first, repeated, **options):
        conn, transport = self.open()
        taken = self.offer(conn, transport, first, repeated, **options)
        self.assertTrue(transport.aborted)
        self.assertLessEqual(
            taken, len(first) + _connection.MAX_FRAMING_BYTES + PIECE_BYTES
        )
        self.assertFalse(conn.usable)
        return conn

    def check_head_is_lost(self, first, repeated):
        conn = self.check_closed(first, repeated)
        error = self.assertRaises(
            engines.TargetLostError, asyncio.run, conn.head()
        )
        self.assertIn(str(_connection.MAX_FRAMING_BYTES), str(error))

    def check_body_is_lost(self, first, repeated):
        conn = self.check_closed(first, repeated)

        async def read():
            head = await conn.head()
            while await conn.read():
                pass
            return head

        error = self.assertRaises(engines.TargetLostError, asyncio.run, read())
        self.assertIn(str(_connection.MAX_FRAMING_BYTES), str(error))

    def test_headers_without_end(self):
        self.check_head_is_lost(OK_LINE, b"a: b\r\n")

    def test_header_value_without_end(self):
        self.check_head_is_lost(OK_LINE + b"a: ", b"x")

    def test_header_name_without_end(self):
        self.check_head_is_lost(OK_LINE, b"x")

    def test_interim_responses_without_end(self):
        self.check_head_is_lost(b"", b"HTTP/1.1 102 Processing\r\n\r\n")

    def test_interim_responses_with_headers_without_end(self):
        self.check_head_is_lost(
            b"", b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"
        )

    def test_status_line_without_end(self):
        self.check_head_is_lost(b"HTTP/1.1 200 ", b"OK ")

    def test_line_breaks_without_end_before_the_status_line(self):
        self.check_head_is_lost(b"", b"\r\n")

    def test_trailers_without_end(self):
        self.check_body_is_lost(ONE_CHUNK + b"0\r\n", b"a: b\r\n")

    def test_trailer_value_without_end(self):
        self.check_body_is_lost(ONE_CHUNK + b"0\r\na: ", b"x")

    def test_chunk_extension_without_end(self):
        self.check_body_is_lost(CHUNKED + b"1;a=", b"x")

    def test_chunk_size_without_end(self):
        self.check_body_is_lost(CHUNKED, b"0")

    def test_garbage_without_end(self):
        conn, transport = self.open()
        self.offer(conn, transport, b"", b"\x00\x01garbage")
        self.assertTrue(transport.aborted)
        self.assertRaises(engines.TargetLostError, asyncio.run, conn.head())

    def test_head_that_exceeds_the_limit_in_one_read_is_not_stored(self):
        conn, transport = self.open()
        headers = b"a: b\r\n" * _connection.MAX_FRAMING_BYTES
        conn.data_received(OK_LINE + headers + b"\r\n")
        self.assertTrue(transport.aborted)
        self.assertRaises(engines.TargetLostError, asyncio.run, conn.head())
        self.assertEqual([], conn._headers)

    def test_head_within_the_limit_may_come_with_a_long_body(self):
        conn, transport = self.open()
        value = b"x" * (_connection.MAX_FRAMING_BYTES // 2)
        body = b"y" * (_connection.MAX_FRAMING_BYTES * 2)
        head = b"a: %s\r\ncontent-length: %d\r\n\r\n" % (value, len(body))
        conn.data_received(OK_LINE + head + body)

        async def read():
            return await conn.head(), await conn.read()

        received_head, received_body = asyncio.run(read())
        self.assertEqual(value, received_head.get("a").encode())
        self.assertEqual(body, received_body)
        self.assertTrue(conn.is_complete)
        self.assertFalse(transport.aborted)

    def test_limit_applies_to_each_response_of_a_connection(self):
        conn, transport = self.open()
        value = b"x" * (_connection.MAX_FRAMING_BYTES // 2)
        for _ in range(4):
            conn.data_received(
                OK_LINE + b"a: %s\r\ncontent-length: 0\r\n\r\n" % value
            )
            self.assertTrue(conn.is_complete)
            self.assertTrue(conn.finish(0.0))
            conn.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        self.assertFalse(transport.aborted)

    def test_chunked_body_in_small_chunks_may_exceed_the_limit(self):
        conn, transport = self.open()
        conn.data_received(CHUNKED)
        chunks = b"1\r\nx\r\n" * (PIECE_BYTES // 6)
        received = 0
        for _ in range(3 * _connection.MAX_FRAMING_BYTES // len(chunks)):
            conn.data_received(chunks)
            received += len(asyncio.run(conn.read()))
        self.assertGreater(received, 0)
        self.assertFalse(transport.aborted)

    def test_body_without_end_is_not_read_faster_than_by_the_caller(self):
        conn, transport = self.open()
        conn.data_received(OK_LINE + b"\r\n")
        taken = 0
        while not transport.paused:
            conn.data_received(b"x" * PIECE_BYTES)
            taken += PIECE_BYTES
        self.assertLessEqual(taken, _connection.MAX_UNREAD_BYTES + PIECE_BYTES)
        self.assertEqual(taken, len(asyncio.run(conn.read())))
        self.assertFalse(transport.paused)
