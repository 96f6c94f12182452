"""Callers that send bytes without end which are no part of a body."""

import asyncio

import testtools

from galenashed import web
from galenashed.web import _server

PIECE_BYTES = 64 * 1024
# Far more than the limit and the buffers of both sockets.
OFFERED_BYTES = 32 * 2**20
PROMPT_SECONDS = 5.0
CHUNKED = (
    b"POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
    b"1\r\nx\r\n"
)


class App:
    """Answers each request with the length of its body and its headers."""

    def __init__(self, *, answers_at_once=False):
        self.answers_at_once = answers_at_once
        self.headers = []
        self.started = asyncio.Event()

    async def __call__(self, scope, receive, send):
        self.started.set()
        size = 0
        message = {"more_body": not self.answers_at_once}
        while message.get("more_body"):
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            size += len(message["body"])
        self.headers = scope["headers"]
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", b"1")],
            }
        )
        if self.answers_at_once:
            await receive()
            await receive()
        await send({"type": "http.response.body", "body": b"%d" % size})


class TestEndlessRequests(testtools.TestCase):
    """The connection is refused and closed once a limit is exceeded."""

    def send(self, app, data, rest=b"", repeated=b""):
        """Returns the response, and how many bytes of pieces were taken.

        ``rest`` is sent once the application has the request, and pieces
        with ``repeated`` after it.
        """

        async def run():
            server = web.HttpServer(app=app, address="127.0.0.1:0")
            await server.start()
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", server.port
            )
            writer.write(data)
            try:
                async with asyncio.timeout(PROMPT_SECONDS):
                    await app.started.wait()
                    writer.write(rest)
                    taken = await send_pieces(writer, repeated)
                    response = await read_all(reader, writer, repeated)
            finally:
                writer.close()
                await server.abort()
            return response, taken

        return asyncio.run(run())

    def check_refused(self, rest, repeated):
        app = App()
        response, taken = self.send(app, CHUNKED, rest, repeated)
        # A reset that follows the refusal may discard it.
        if response:
            self.assertTrue(response.startswith(b"HTTP/1.1 431 "), response)
        self.assertLess(taken, OFFERED_BYTES / 2)
        self.assertEqual([], app.headers)

    def test_trailers_without_end(self):
        self.check_refused(b"0\r\n", b"a: b\r\n")

    def test_trailer_value_without_end(self):
        self.check_refused(b"0\r\na: ", b"x")

    def test_chunk_extension_without_end(self):
        self.check_refused(b"1;", b"x")

    def test_trailers_over_the_limit_get_a_431(self):
        trailers = b"0\r\na: " + b"x" * _server.MAX_HEAD_BYTES
        app = App()
        response, _ = self.send(app, CHUNKED, trailers)
        self.assertTrue(response.startswith(b"HTTP/1.1 431 "), response)
        self.assertEqual([], app.headers)

    def test_trailers_without_end_do_not_follow_a_started_response(self):
        response, taken = self.send(
            App(answers_at_once=True), CHUNKED, b"0\r\n", b"a: b\r\n"
        )
        self.assertNotIn(b"431", response)
        self.assertLess(taken, OFFERED_BYTES / 2)

    def test_trailers_are_not_headers(self):
        app = App()
        response, _ = self.send(
            app, CHUNKED + b"0\r\nx-attempt-id: 1\r\nhost: y\r\n\r\n"
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 200 "), response)
        self.assertEqual(
            [(b"host", b"x"), (b"transfer-encoding", b"chunked")], app.headers
        )

    def test_body_of_small_chunks_may_exceed_the_limit(self):
        chunks = b"1\r\nx\r\n" * _server.MAX_HEAD_BYTES
        app = App()
        response, _ = self.send(app, CHUNKED + chunks + b"0\r\n\r\n")
        self.assertTrue(response.startswith(b"HTTP/1.1 200 "), response)


async def send_pieces(writer, repeated):
    piece = repeated * (PIECE_BYTES // max(1, len(repeated)))
    taken = 0
    try:
        while piece and taken < OFFERED_BYTES:
            writer.write(piece)
            await writer.drain()
            taken += len(piece)
    except ConnectionError:
        pass
    return taken


async def read_all(reader, writer, repeated):
    """Returns what comes until the connection closes, or one response."""
    if not repeated:
        return await reader.readuntil(b"\r\n\r\n")
    try:
        return await reader.read()
    except ConnectionError:
        return b""
