"""Answers of targets that break the rules, over real sockets."""

import asyncio
import socket
import struct

import testtools

from galenashed import engines

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"


class Target:
    """Answers each request on a connection by the next of its scripts.

    A script is a list of byte strings to send, and of ``close``, ``reset``
    and numbers of seconds to wait.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.connections = 0
        self.server = None

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *args):
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        while self.scripts:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            for step in self.scripts.pop(0):
                if step == "close":
                    writer.close()
                    return
                if step == "reset":
                    linger = struct.pack("ii", 1, 0)
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                    writer.transport.abort()
                    return
                if isinstance(step, bytes):
                    writer.write(step)
                    await writer.drain()
                else:
                    await asyncio.sleep(step)


async def fetch(pool, address, *, fresh=False):
    """Returns the status and the whole body."""
    conn = await pool.acquire(address, fresh=fresh)
    try:
        conn.send(REQUEST)
        head = await conn.head()
        body = b""
        while data := await conn.read():
            body += data
        return head.status, body
    finally:
        pool.release(conn)


def ok(body, *headers):
    head = [b"HTTP/1.1 200 OK", b"content-length: %d" % len(body), *headers]
    return b"\r\n".join(head) + b"\r\n\r\n" + body


class TestConnection(testtools.TestCase):
    """What counts as an answer, and which connections are kept."""

    def play(self, *scripts, times=1, pause=0.0):
        """Returns the answers, or errors, and the connections made."""

        async def run():
            pool = engines.ConnectionPool(connect_timeout=1.0)
            found = []
            async with Target(*scripts) as target:
                for _ in range(times):
                    try:
                        async with asyncio.timeout(5.0):
                            found.append(await fetch(pool, target.address))
                    except engines.TargetLostError:
                        found.append("lost")
                    await asyncio.sleep(pause)
                await pool.close()
                return found, target.connections

        return asyncio.run(run())

    def test_connection_is_used_again(self):
        found, connections = self.play([ok(b"a")], [ok(b"b")], times=2)
        self.assertEqual([(200, b"a"), (200, b"b")], found)
        self.assertEqual(1, connections)

    def test_connection_that_the_target_ends_is_not_used_again(self):
        ending = ok(b"a", b"connection: close")
        found, connections = self.play([ending], [ok(b"b")], times=2)
        self.assertEqual([(200, b"a"), (200, b"b")], found)
        self.assertEqual(2, connections)

    def test_bytes_after_an_answer_belong_to_no_request(self):
        found, connections = self.play(
            [ok(b"a") + ok(b"extra")], [ok(b"b")], times=2
        )
        self.assertEqual([(200, b"a"), (200, b"b")], found)
        self.assertEqual(2, connections)

    def test_late_second_answer_ends_the_idle_connection(self):
        found, connections = self.play(
            [ok(b"a"), 0.05, ok(b"late")], [ok(b"b")], times=2, pause=0.2
        )
        self.assertEqual([(200, b"a"), (200, b"b")], found)
        self.assertEqual(2, connections)

    def test_answer_without_length_ends_with_its_connection(self):
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        found, _ = self.play([head, b"abc", "close"])
        self.assertEqual([(200, b"abc")], found)

    def test_answer_without_length_that_is_reset_is_not_whole(self):
        head = b"HTTP/1.1 200 OK\r\n\r\n"
        found, _ = self.play([head, b"abc", 0.05, "reset"])
        self.assertEqual(["lost"], found)

    def test_answer_cut_short(self):
        found, _ = self.play([ok(b"abcdef")[:-3], "close"])
        self.assertEqual(["lost"], found)

    def test_chunks_cut_short(self):
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        found, _ = self.play([head, b"3\r\nabc\r\n", "close"])
        self.assertEqual(["lost"], found)

    def test_bytes_that_are_no_answer(self):
        found, _ = self.play([b"\x00\x01garbage\r\n\r\n"])
        self.assertEqual(["lost"], found)

    def test_closed_before_an_answer(self):
        found, _ = self.play(["close"])
        self.assertEqual(["lost"], found)

    def test_interim_answers_are_passed_over(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        found, _ = self.play([interim, ok(b"a")])
        self.assertEqual([(200, b"a")], found)

    def test_kept_connection_is_trusted_half_of_what_the_target_says(self):
        async def run():
            pool = engines.ConnectionPool(connect_timeout=1.0)
            script = [ok(b"a", b"keep-alive: timeout=1")]
            async with Target(script, script) as target:
                await fetch(pool, target.address)
                await asyncio.sleep(0.7)
                await fetch(pool, target.address)
                await pool.close()
                return target.connections

        self.assertEqual(2, asyncio.run(run()))

    def test_nobody_listens(self):
        async def run():
            pool = engines.ConnectionPool(connect_timeout=1.0)
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                port = sock.getsockname()[1]
            try:
                await pool.acquire(f"127.0.0.1:{port}", fresh=True)
            except engines.NotSentError:
                return True
            return False

        self.assertTrue(asyncio.run(run()))
