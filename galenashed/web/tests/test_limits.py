"""What the clients of a server make it hold, and for how long.

Guards against memory that grows with what clients send or do not read.
"""

import asyncio
import contextlib
import socket

import testtools

from galenashed import telemetry
from galenashed import web
from galenashed.web import _guard

WAIT_SECONDS = 15.0
GET = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
LARGE_BYTES = 8 * 2**20


class App:
    """Answers with ``size`` bytes once ``released``, after the body."""

    def __init__(self, *, size=2):
        self.size = size
        self.paths = []
        self.released = asyncio.Event()
        self.released.set()

    async def __call__(self, scope, receive, send):
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            if not message["more_body"]:
                break
        self.paths.append(scope["path"])
        await self.released.wait()
        headers = [(b"content-length", b"%d" % self.size)]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        await send({"type": "http.response.body", "body": b"x" * self.size})


class TestLimits(testtools.TestCase):
    def run_server(self, function, app=None, **limits):
        """Returns the result of ``function(server, app)``."""

        async def run():
            used_app = app or App()
            metrics = telemetry.InMemoryMetrics()
            server = web.HttpServer(
                app=used_app,
                address="127.0.0.1:0",
                limits=web.ConnectionLimits(**limits),
                metrics=metrics,
            )
            await server.start()
            try:
                async with asyncio.timeout(WAIT_SECONDS):
                    result = await function(server, used_app)
                    await asyncio.sleep(1.5 * _guard.SWEEP_SECONDS)
                    return result, metrics.render().decode()
            finally:
                await server.abort()

        return asyncio.run(run())

    def test_a_few_pipelined_requests_are_answered_in_order(self):
        async def function(server, app):
            reader, writer = await connect(server)
            app.released.clear()
            body = POST % 3 + b"abc"
            writer.write(b"".join(GET % n for n in range(5)) + body)
            await asyncio.sleep(0.1)
            app.released.set()
            for _ in range(6):
                await reader.readuntil(b"\r\n\r\nxx")
            writer.close()
            return app.paths

        paths, _ = self.run_server(function)
        self.assertEqual([*(f"/{n}" for n in range(5)), "/"], paths)

    def test_pipelined_requests_wait_with_the_kernel(self):
        async def function(server, app):
            app.released.clear()
            _, writer = await connect(server)
            piece = b"".join(GET % n for n in range(1000))
            for _ in range(200):
                writer.write(piece)
            await asyncio.sleep(0.5)
            held = server._guard.held_bytes
            unsent = writer.transport.get_write_buffer_size()
            writer.transport.abort()
            app.released.set()
            return held, unsent, app.paths

        (held, unsent, paths), _ = self.run_server(function)
        self.assertLess(held, 300_000)
        self.assertGreater(unsent, 0)
        self.assertEqual(["/0"], paths)

    def test_all_pipelined_requests_are_answered_in_the_end(self):
        async def function(server, app):
            reader, writer = await connect(server)
            writer.write(b"".join(GET % n for n in range(4000)))
            for _ in range(4000):
                await reader.readuntil(b"\r\n\r\nxx")
            writer.close()
            return app.paths

        paths, _ = self.run_server(function)
        self.assertEqual([f"/{n}" for n in range(4000)], paths)

    def test_client_that_reads_nothing_is_disconnected(self):
        async def function(server, app):
            sock = await connect_socket(server)
            await asyncio.get_running_loop().sock_sendall(sock, GET % 1)
            await wait_until(lambda: app.paths)
            await wait_until(lambda: server.connection_count == 0)
            sock.close()

        _, page = self.run_server(
            function, App(size=LARGE_BYTES), stall_timeout=1.0
        )
        self.assertIn("galenashed_web_ended_stalled_total 1", page)

    def test_client_that_reads_slowly_gets_the_whole_response(self):
        async def function(server, app):
            sock = await connect_socket(server)
            loop = asyncio.get_running_loop()
            await loop.sock_sendall(sock, GET % 1)
            received = 0
            # Far slower than the server's kernel would accept more bytes.
            for _ in range(12):
                received += len(await loop.sock_recv(sock, 16 * 1024))
                await asyncio.sleep(0.5)
            while received < LARGE_BYTES:
                received += len(await loop.sock_recv(sock, 2**20))
            sock.close()
            return received

        received, page = self.run_server(
            function, App(size=LARGE_BYTES), stall_timeout=2.0
        )
        self.assertGreaterEqual(received, LARGE_BYTES)
        self.assertNotIn("web_ended", page)

    def test_client_that_ends_no_request_gets_a_408(self):
        async def function(server, app):
            reader, writer = await connect(server)
            writer.write(POST % 100 + b"x")
            response = await reader.read()
            writer.close()
            return response, app.paths

        (response, paths), _ = self.run_server(function, stall_timeout=1.0)
        self.assertTrue(response.startswith(b"HTTP/1.1 408 "), response)
        self.assertIn(b"Galenashed-Run: not run", response)
        self.assertEqual([], paths)

    def test_incomplete_requests_over_the_limit_are_refused(self):
        async def function(server, app):
            first = await connect(server)
            first[1].write(POST % LARGE_BYTES + b"x" * 900_000)
            await wait_until(lambda: server._guard.held_bytes > 900_000)
            second = await connect(server)
            second[1].write(POST % LARGE_BYTES + b"x" * 900_000)
            refused = await second[0].readuntil(b"\r\n\r\n")
            # The first client loses its connection for the ordinary one.
            await first[0].read()
            third = await connect(server)
            third[1].write(GET % 3)
            await third[0].readuntil(b"\r\n\r\nxx")
            for _, writer in (first, second, third):
                writer.close()
            await wait_until(lambda: server._guard.held_bytes == 0)
            return refused, app.paths

        (refused, paths), page = self.run_server(
            function, max_held_bytes=1_000_000, stall_timeout=3.0
        )
        self.assertTrue(refused.startswith(b"HTTP/1.1 503 "), refused)
        self.assertIn(b"Galenashed-Run: not run", refused)
        self.assertIn(b"Retry-After: ", refused)
        self.assertEqual(["/3"], paths)
        self.assertIn("galenashed_web_ended_too_many_held_bytes_total", page)

    def test_only_those_that_hold_most_are_disconnected(self):
        async def function(server, app):
            clients = []
            for size in (600_000, 300_000, 200_000):
                if len(clients) == 2:
                    await asyncio.sleep(1.5 * _guard.RELIEF_WAIT_SECONDS)
                reader, writer = await connect(server)
                clients.append((reader, writer, size))
                writer.write(POST % (size + 1) + b"x" * size)
                await writer.drain()
            await wait_until(lambda: server.connection_count < len(clients))
            responses = []
            for reader, writer, _ in clients:
                with contextlib.suppress(ConnectionError):
                    writer.write(b"x")
                responses.append((await reader.readuntil(b"\r\n"))[9:12])
                writer.close()
            return responses

        responses, _ = self.run_server(function, max_held_bytes=1_000_000)
        self.assertEqual([b"408", b"200", b"200"], responses)

    def test_pipelined_requests_are_dropped_for_ordinary_ones(self):
        async def function(server, app):
            app.released.clear()
            pipelining = [await connect(server) for _ in range(20)]
            for _, writer in pipelining:
                writer.write(b"".join(GET % n for n in range(10_000)))
            await wait_until(lambda: server.connection_count == 20)
            await asyncio.sleep(0.5)
            held = server._guard.held_bytes
            app.paths.clear()
            reader, writer = await connect(server)
            writer.write(GET % 5)
            await wait_until(lambda: app.paths)
            app.released.set()
            await reader.readuntil(b"\r\n\r\nxx")
            for _, other in [*pipelining, (reader, writer)]:
                other.transport.abort()
            return held

        held, page = self.run_server(function, max_held_bytes=1_000_000)
        self.assertLess(held, 1_000_000)
        self.assertIn("galenashed_web_ended_held_total", page)

    def test_many_small_chunks_are_refused(self):
        async def function(server, app):
            reader, writer = await connect(server)
            head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            writer.write(head + b"1\r\nx\r\n" * 100_000)
            status = (await reader.readuntil(b"\r\n"))[9:12]
            await wait_until(lambda: server.connection_count == 0)
            writer.transport.abort()
            return status, app.paths

        result, _ = self.run_server(function)
        self.assertEqual((b"400", []), result)

    def test_large_body_in_chunks_of_ordinary_size_is_served(self):
        async def function(server, app):
            reader, writer = await connect(server)
            head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
            chunk = b"40\r\n" + b"x" * 64 + b"\r\n"
            writer.write(head + chunk * 65_536 + b"0\r\n\r\n")
            status = (await reader.readuntil(b"\r\n"))[9:12]
            writer.transport.abort()
            return status

        self.assertEqual(b"200", self.run_server(function)[0])

    def test_head_over_the_limit_is_refused(self):
        for size, status in ((15_000, b"200"), (20_000, b"431")):
            response = self.send_head(size)
            self.assertTrue(response.startswith(b"HTTP/1.1 " + status), size)

    def send_head(self, size):
        async def function(server, app):
            reader, writer = await connect(server)
            head = (GET % 1)[:-2] + b"a: " + b"x" * size + b"\r\n\r\n"
            writer.write(head)
            response = await reader.readuntil(b"\r\n\r\n")
            writer.close()
            return response

        return self.run_server(function, max_head_bytes=16 * 1024)[0]

    def test_log_has_one_line_for_many_clients(self):
        lines = []
        guard = _guard.Guard(
            limits=web.ConnectionLimits(), report=lines.append
        )
        for second in range(15):
            for _ in range(100):
                guard.note("bad_input")
            guard.sweep([], float(second))
        self.assertEqual([{"bad_input": 100}, {"bad_input": 1000}], lines)


async def connect(server):
    return await asyncio.open_connection("127.0.0.1", server.port)


async def connect_socket(server):
    """Returns a socket that takes few bytes without being read."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * 1024)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ("127.0.0.1", server.port))
    return sock


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.02)
