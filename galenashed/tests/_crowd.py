"""Clients outside the documented limits, bounded in number and time."""

import asyncio
import contextlib
import pathlib
import socket
import threading
import time

import grpc.aio

PIECE_BYTES = 64 * 1024
CLIENTS = 40
SILENT_CLIENTS = 300
SECONDS = 3.0
# A client whose connection is closed connects again so often at most.
MAX_CONNECTIONS = 50
# What a client offers on one connection.
MAX_BYTES = 32 * 2**20
BODY_BYTES = 4_000_000
# Below the bytes that a head with the start of a body may have.
SHORT_HEADERS_BYTES = 250_000
MESSAGE_BYTES = 32 * 2**20
MESSAGES = 8
SAMPLE_SECONDS = 0.05
BYTES_PER_MB = 1_000_000
HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\0\0\0\4" + b"\0" * 5


class Client:
    """What a client sends on each connection, without reading a response.

    ``first`` is sent once, then ``repeated`` until ``max_bytes`` are sent.
    The connection stays open until the crowd ends.
    """

    def __init__(self, *, first=b"", repeated=b"", max_bytes=MAX_BYTES):
        self.first = first
        self.piece = repeated * (PIECE_BYTES // max(1, len(repeated)))
        self.max_bytes = max_bytes


def make_head(method, path, headers):
    """Returns a request head without the empty line at its end."""
    lines = [f"{method} {path} HTTP/1.1\r\n"]
    lines += [f"{name}: {value}\r\n" for name, value in headers.items()]
    return "".join(lines).encode()


def make_clients(path, headers):
    """Returns the kinds of HTTP clients by name.

    ``headers`` are those of an ordinary request for ``path``.
    """
    head = make_head("GET", path, headers)
    post = make_head("POST", path, headers)
    bare = make_head("GET", path, {})
    count = SHORT_HEADERS_BYTES // len(b"a:b\r\n")
    return {
        "pipelined": Client(repeated=head + b"\r\n"),
        "pipelined, bare": Client(repeated=b"GET / HTTP/1.1\r\n\r\n"),
        "head of short headers": Client(first=bare + b"a:b\r\n" * count),
        "head without end": Client(first=head + b"a: ", repeated=b"x"),
        "empty lines": Client(repeated=b"\r\n"),
        "empty lines after a request": Client(
            first=head + b"\r\n", repeated=b"\r\n"
        ),
        "chunks of one byte": Client(
            first=post + b"Transfer-Encoding: chunked\r\n\r\n",
            repeated=b"1\r\nx\r\n",
        ),
        "incomplete body": Client(
            first=post + b"Content-Length: %d\r\n\r\n" % BODY_BYTES,
            repeated=b"x",
            max_bytes=BODY_BYTES - 2 * PIECE_BYTES,
        ),
        "unread response": Client(first=head + b"\r\n"),
        "silent": Client(),
    }


def make_http2_clients():
    """Returns the kinds of clients of gRPC servers by name."""
    settings_frame = b"\0\0\0\4" + b"\0" * 5
    headers_frame = b"\0\0\0\1\0" + b"\0\0\0\1"
    continuation = b"\0\x40\0\x09\0" + b"\0\0\0\1" + b"\x40\1a\1b" * 3276
    return {
        "silent": Client(),
        "settings": Client(first=HTTP2_PREFACE, repeated=settings_frame),
        "headers without end": Client(
            first=HTTP2_PREFACE + headers_frame, repeated=continuation
        ),
        "head without end": Client(repeated=b"x"),
    }


def run(address, clients):
    """Lets ``clients`` at an address for SECONDS; returns when they ended."""
    asyncio.run(_run_all(address, clients))


async def _run_all(address, clients):
    until = time.monotonic() + SECONDS
    tasks = [_run_one(address, client, until) for client in clients]
    await asyncio.gather(*tasks)


async def _run_one(address, client, until):
    for _ in range(MAX_CONNECTIONS):
        if time.monotonic() > until:
            return
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(max(0.0, until - time.monotonic())):
                await _use_connection(address, client)
        await asyncio.sleep(SAMPLE_SECONDS)


async def _use_connection(address, client):
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await loop.sock_connect(sock, (host, int(port)))
        await loop.sock_sendall(sock, client.first)
        sent = len(client.first)
        while client.piece and sent < client.max_bytes:
            await loop.sock_sendall(sock, client.piece)
            sent += len(client.piece)
        await asyncio.sleep(SECONDS)


def send_messages(address, path):
    """Sends large messages with a wrong key to a gRPC server, side by side."""

    async def send_one():
        options = [("grpc.max_send_message_length", -1)]
        async with grpc.aio.insecure_channel(address, options) as channel:
            call = channel.unary_unary(path)
            with contextlib.suppress(grpc.aio.AioRpcError):
                await call(bytes(MESSAGE_BYTES), timeout=SECONDS)

    async def send_all():
        await asyncio.gather(*(send_one() for _ in range(MESSAGES)))

    asyncio.run(send_all())


class Watch:
    """Measures the highest memory and number of descriptors of a process."""

    def __init__(self, process):
        self.popen = process.popen
        self.folder = pathlib.Path(f"/proc/{self.popen.pid}")
        self.descriptors = 0
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._sample)

    def __enter__(self):
        # Resets the highest resident memory to the present one.
        (self.folder / "clear_refs").write_text("5")
        self._thread.start()
        return self

    def __exit__(self, *args):
        self._stop.set()
        self._thread.join()

    def _sample(self):
        with contextlib.suppress(OSError):
            while not self._stop.wait(SAMPLE_SECONDS):
                count = self.count_descriptors()
                self.descriptors = max(self.descriptors, count)

    def count_descriptors(self):
        return len(list((self.folder / "fd").iterdir()))

    @property
    def is_alive(self):
        return self.popen.poll() is None

    def memory_mb(self, field="VmHWM"):
        """Returns the highest memory, or that of now with VmRSS."""
        status = (self.folder / "status").read_text()
        (line,) = [x for x in status.splitlines() if x.startswith(field)]
        return int(line.split()[1]) * 1024 / BYTES_PER_MB
