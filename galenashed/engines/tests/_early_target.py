"""A target that answers while a long request is still being written."""

import asyncio
import contextlib
import socket
import struct

# More than the buffers of both sockets, so that it can't be written at once.
BODY = b"x" * (16 * 2**20)
RECEIVE_BUFFER_BYTES = 16 * 1024
NO_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
PART = b"a part of "
SETTLE_SECONDS = 0.05
CLOSED_SECONDS = 0.5

LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
HALF_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
PROCESSING = b"HTTP/1.1 102 Processing\r\n\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
INVALID_STATUSES = (
    b"000", b"099", b"001", b"600", b"999", b"20", b"2 0", b"2000", b"101",
)  # fmt: skip


def invalid_responses():
    """Returns responses that are whole but for their status, by status."""
    return {
        status: b"HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok" % status
        for status in INVALID_STATUSES
    }


class EarlyTarget:
    """Sends ``data`` once a head has arrived, without reading the body.

    ``ending`` is what it does then: ``reset`` or ``close`` the connection,
    ``shutdown`` its own direction only, or ``read`` the rest of the request.
    Without ``settles``, it does so before the client can read the data.
    """

    def __init__(self, data, ending, *, settles=True):
        self.data = data
        self.ending = ending
        self.settles = settles
        self.requests = 0
        self.unread_at_the_end = 0
        self._sock = None
        self._task = None

    async def start(self):
        self._sock = socket.socket()
        self._sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._sock.bind(("127.0.0.1", 0))
        self._sock.listen()
        self._sock.setblocking(False)
        self._task = asyncio.create_task(self._serve())
        return "{}:{}".format(*self._sock.getsockname())

    def close(self):
        self._task.cancel()
        self._sock.close()

    async def _serve(self):
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as group:
            while True:
                conn, _ = await loop.sock_accept(self._sock)
                conn.setblocking(False)
                group.create_task(self._respond(conn))

    async def _respond(self, conn):
        loop = asyncio.get_running_loop()
        with conn, contextlib.suppress(OSError):
            head = b""
            while b"\r\n\r\n" not in head:
                data = await loop.sock_recv(conn, 1024)
                if not data:
                    return
                head += data
            self.requests += 1
            await loop.sock_sendall(conn, self.data)
            if self.settles:
                await asyncio.sleep(SETTLE_SECONDS)
            if self.ending == "reset":
                linger = struct.pack("ii", 1, 0)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            elif self.ending == "shutdown":
                conn.shutdown(socket.SHUT_WR)
                await asyncio.sleep(CLOSED_SECONDS)
            elif self.ending == "read":
                while await loop.sock_recv(conn, 2**20):
                    pass
