"""Connections whose input is bad, and those of a server that drains."""

import asyncio

import testtools

from galenashed import web

HEAD_TIMEOUT_SECONDS = 0.2
WAIT_SECONDS = 10.0
GET = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
FIRST_HALF = b"first half, "
SECOND_HALF = b"second half"


class HalvesApp:
    """ASGI application that sends the second half of a body when told to."""

    def __init__(self):
        self.requests = 0
        self.released = asyncio.Event()

    async def __call__(self, scope, receive, send):
        self.requests += 1
        length = len(FIRST_HALF + SECOND_HALF)
        headers = [(b"content-length", b"%d" % length)]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send(
            {
                "type": "http.response.body",
                "body": FIRST_HALF,
                "more_body": True,
            }
        )
        await self.released.wait()
        await send({"type": "http.response.body", "body": SECOND_HALF})


class TestErrorsDuringResponse(testtools.TestCase):
    """Bytes after a request don't end the response to it."""

    def read_response(self, *later):
        """Sends a request, then ``later`` while its response is in progress.

        Returns what the server sends after the head of the first response
        until it closes the connection.
        """
        return asyncio.run(self._read_response(later))

    async def _read_response(self, later):
        app = HalvesApp()
        server = web.HttpServer(
            app=app, address="127.0.0.1:0", head_timeout=HEAD_TIMEOUT_SECONDS
        )
        await server.start()
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", server.port
                )
                writer.write(GET)
                await reader.readuntil(FIRST_HALF)
                for data in later:
                    writer.write(data)
                    await writer.drain()
                # The time limit of the head passes meanwhile.
                await asyncio.sleep(3 * HEAD_TIMEOUT_SECONDS)
                app.released.set()
                try:
                    return await reader.read()
                finally:
                    writer.close()
        finally:
            await server.abort()

    def test_incomplete_second_head_does_not_cut_the_response(self):
        self.assertEqual(SECOND_HALF, self.read_response(GET[:-10]))

    def test_oversized_second_head_does_not_cut_the_response(self):
        data = GET[:-2] + b"X-Y: " + b"z" * 400_000
        self.assertEqual(SECOND_HALF, self.read_response(data))

    def test_malformed_second_request_does_not_cut_the_response(self):
        self.assertEqual(SECOND_HALF, self.read_response(b"\x16\x03\x01\r\n"))

    def test_malformed_second_body_does_not_cut_the_responses(self):
        head = (
            b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        self.assertEqual(SECOND_HALF, self.read_response(head + b"no size"))

    def test_second_request_is_served_after_the_first(self):
        data = GET.replace(b"Host", b"Connection: close\r\nHost")
        response = self.read_response(data)
        self.assertTrue(response.startswith(SECOND_HALF + b"HTTP/1.1 200"))
        self.assertTrue(response.endswith(FIRST_HALF + SECOND_HALF))


class TestDrain(testtools.TestCase):
    """A server that drains ends connections with their next response."""

    def test_response_during_the_drain_closes_the_connection(self):
        first, second = asyncio.run(self.send_before_and_during_the_drain())
        self.assertNotIn(b"connection: close", first)
        self.assertIn(b"connection: close", second)

    async def send_before_and_during_the_drain(self):
        app = HalvesApp()
        app.released.set()
        server = web.HttpServer(app=app, address="127.0.0.1:0")
        await server.start()
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", server.port
                )
                writer.write(GET)
                first = await reader.readuntil(SECOND_HALF)
                server.begin_drain()
                writer.write(GET)
                second = await reader.read()
                writer.close()
                return first, second
        finally:
            await server.abort()


class EchoApp:
    """ASGI application that answers with the body of the request."""

    def __init__(self):
        self.bodies = []

    async def __call__(self, scope, receive, send):
        body = b""
        while True:
            message = await receive()
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        self.bodies.append((scope["method"], scope["path"], body))
        headers = [(b"content-length", b"%d" % len(body))]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": body})


class TestUpgradeOffers(testtools.TestCase):
    """A request that offers another protocol is read as if it did not.

    Guards against bodies that are lost, and run as requests of their own.
    """

    OFFER = (
        b"Host: x\r\nConnection: Upgrade, HTTP2-Settings\r\n"
        b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n"
    )
    INNER = b"POST /inner HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"

    def serve(self, *packets, last):
        """Returns what was served, once ``last`` was."""

        async def run():
            app = EchoApp()
            server = web.HttpServer(app=app, address="127.0.0.1:0")
            await server.start()
            try:
                async with asyncio.timeout(WAIT_SECONDS):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", server.port
                    )
                    for packet in packets:
                        writer.write(packet)
                        await writer.drain()
                        await asyncio.sleep(0.02)
                    while not app.bodies or app.bodies[-1][1] != last:
                        await reader.readuntil(b"\r\n\r\n")
                        await asyncio.sleep(0.02)
                    writer.close()
            finally:
                await server.abort()
            return app.bodies

        return asyncio.run(run())

    def request(self, path, framing, *, offer=OFFER):
        return b"POST %s HTTP/1.1\r\n%s%s\r\n" % (path, offer, framing)

    def check(self, body, *packets):
        after = self.request(b"/after", b"Content-Length: 2\r\n") + b"ok"
        self.assertEqual(
            [("POST", "/first", body), ("POST", "/after", b"ok")],
            self.serve(*packets, after, last="/after"),
        )

    def test_body_with_a_length_in_a_packet_of_its_own(self):
        head = self.request(
            b"/first", b"Content-Length: %d\r\n" % len(self.INNER)
        )
        self.check(self.INNER, head, self.INNER)

    def test_body_with_a_length_in_the_packet_of_the_head(self):
        head = self.request(
            b"/first", b"Content-Length: %d\r\n" % len(self.INNER)
        )
        self.check(self.INNER, head + self.INNER)

    def test_body_in_pieces_and_a_head_in_pieces(self):
        head = self.request(
            b"/first", b"Content-Length: %d\r\n" % len(self.INNER)
        )
        data = head + self.INNER
        self.check(
            self.INNER,
            *[data[start : start + 40] for start in range(0, len(data), 40)],
        )

    def test_body_in_chunks(self):
        head = self.request(b"/first", b"Transfer-Encoding: chunked\r\n")
        chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(self.INNER), self.INNER)
        self.check(self.INNER, head, chunk)

    def test_no_body(self):
        self.check(b"", self.request(b"/first", b""))

    def test_offers_in_requests_that_are_pipelined(self):
        framing = b"Content-Length: 1\r\n"
        data = b"".join(
            self.request(path, framing) + b"x" for path in (b"/1", b"/2")
        )
        self.assertEqual(
            [("POST", "/1", b"x"), ("POST", "/2", b"x")],
            self.serve(data, last="/2"),
        )

    def test_body_without_a_known_end_is_an_error(self):
        async def run():
            server = web.HttpServer(app=EchoApp(), address="127.0.0.1:0")
            await server.start()
            try:
                async with asyncio.timeout(WAIT_SECONDS):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", server.port
                    )
                    writer.write(
                        self.request(b"/", b"Transfer-Encoding: gzip\r\n")
                        + b"x"
                    )
                    try:
                        return await reader.read()
                    finally:
                        writer.close()
            finally:
                await server.abort()

        self.assertTrue(asyncio.run(run()).startswith(b"HTTP/1.1 400 "))
