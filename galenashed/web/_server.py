"""An HTTP server that runs as an asyncio task and limits connections."""

import asyncio
import contextlib
import socket
import typing

import httptools
import loguru
import uvicorn
import uvicorn.protocols.http.httptools_impl as httptools_impl

from galenashed.web import _errors
from galenashed.web import _send_queues

LOG = loguru.logger

MAX_HEAD_BYTES = 32 * 1024
LISTEN_BACKLOG = 1024
STARTUP_POLL_SECONDS = 0.005
# These tell where the body of a request ends.
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class _BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Limits connections, the size of request heads and the time they take.

    Connections that exceed a limit get an error response and are closed.
    Nothing more is read from one whose response in progress the error would
    interrupt; it is closed after the response.  Trailers are discarded; like
    chunk headers, they are limited to ``MAX_HEAD_BYTES`` without a part of a
    body among them.

    An offer to change the protocol is ignored.  The parser takes what follows
    the head of such a request for the other protocol, so a new parser reads
    on, which is given the headers that tell the length of the body.
    """

    head_timeout = 10.0
    max_connections = 1000
    is_draining = False

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self._head_bytes = 0
        self._framing_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._input_ended = False
        # While the old parser ends at an offer, and while a new one is given
        # the head again.
        self._ends_at_offer = False
        self._repeats_head = False
        if len(self.connections) > self.max_connections:
            self._refuse(
                503,
                "too_many_connections",
                f"the limit of {self.max_connections} connections is reached",
            )
            return
        self._start_head_timer()

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            self.head_timeout, self._on_head_timeout
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        self._refuse(
            408,
            "request_timeout",
            f"no complete request head arrived in {self.head_timeout} s",
        )

    def _can_send_error(self) -> bool:
        """Whether an error would be the response to the bytes it is about."""
        if self.pipeline:
            return False
        cycle = self.cycle
        return (
            cycle is None
            or cycle.response_complete
            or (cycle.more_body and not cycle.response_started)
        )

    def _end_input(self) -> None:
        """Reads no more; closes the connection after the open responses."""
        LOG.info("bad or late bytes after a request: closing after responses")
        self._input_ended = True
        self._stop_head_timer()
        if self.pipeline and self.cycle.more_body:
            # The last request is incomplete.
            self.pipeline.popleft()

    def on_response_complete(self) -> None:
        is_last = not self.pipeline
        super().on_response_complete()
        if self._input_ended and is_last:
            self.transport.close()

    def send_400_response(self, msg: str) -> None:
        if self._can_send_error():
            super().send_400_response(msg)
        else:
            self._end_input()

    def _refuse(self, status: int, code: str, message: str) -> None:
        if not self._can_send_error():
            self._end_input()
            return
        error = _errors.ApiError(status=status, code=code, message=message)
        body = error.to_json()
        head = (
            f"HTTP/1.1 {status} Refused\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Galenashed-Run: {error.execution_status.value}\r\n"
            f"Retry-After: 1\r\nConnection: close\r\n\r\n"
        )
        if not self.transport.is_closing():
            self.transport.write(head.encode() + body)
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        if self._input_ended:
            return
        if self._head_timer is not None:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES + self.max_body_prefix_bytes:
                self._stop_head_timer()
                self._refuse(
                    431,
                    "head_too_large",
                    f"the request head exceeds {MAX_HEAD_BYTES} bytes",
                )
                return
        else:
            self._framing_bytes += len(data)
        self._parse(data)
        if self._framing_bytes > MAX_HEAD_BYTES:
            self._framing_bytes = 0
            self._on_long_framing()

    def _parse(self, data: bytes) -> None:
        self._unset_keepalive_if_required()
        try:
            while data:
                try:
                    self.parser.feed_data(data)
                    return
                except httptools.HttpParserUpgrade as exc:
                    (end,) = exc.args
                    data = data[end:]
                    self._continue_after_offer()
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")

    def _continue_after_offer(self) -> None:
        """Has a new parser read the body of a request and what follows."""
        framing = [
            b"%s: %s\r\n" % (name, value)
            for name, value in self.headers
            if name in FRAMING_HEADERS
        ]
        self.parser = httptools.HttpRequestParser(self)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self._ends_at_offer = False
        self._repeats_head = True
        head = b"POST / HTTP/1.1\r\n%s\r\n" % b"".join(framing)
        self.parser.feed_data(head)
        self._repeats_head = False

    def _on_long_framing(self) -> None:
        if self.cycle is not None and self.cycle.response_started:
            self.transport.abort()
            return
        self._refuse(
            431,
            "trailers_too_large",
            f"over {MAX_HEAD_BYTES} bytes without a part of the body",
        )

    # A single read can contain a complete small head and the start of the
    # body, so the limit on bytes read before the head ends is this much
    # higher.
    max_body_prefix_bytes = 256 * 1024

    def on_message_begin(self) -> None:
        if self._repeats_head:
            return
        super().on_message_begin()
        self._framing_bytes = 0
        if self._head_timer is None:
            self._head_bytes = 0
            self._start_head_timer()

    def on_url(self, url: bytes) -> None:
        if not self._repeats_head:
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_timer is not None and not self._repeats_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        if self._repeats_head:
            return
        self._ends_at_offer = self.parser.should_upgrade()
        self._stop_head_timer()
        super().on_headers_complete()
        if self.is_draining:
            self.end_with_response()

    def end_with_response(self) -> None:
        """Closes the connection after the response to the last request.

        The response says so if it has not started.
        """
        if self.cycle is not None:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        self._framing_bytes = 0
        super().on_body(body)

    def on_message_complete(self) -> None:
        if self._ends_at_offer:
            return
        self._framing_bytes = 0
        super().on_message_complete()

    def connection_lost(self, exc) -> None:
        self._stop_head_timer()
        super().connection_lost(exc)


class _UvicornServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the program.

    It waits for its end without the ten checks a second of uvicorn, which
    every idle instance would pay for.
    """

    def __init__(self, cfg: uvicorn.Config):
        super().__init__(cfg)
        self._stopping = asyncio.Event()

    def stop(self, *, force: bool) -> None:
        """Ends the server, with ``force`` also the requests in flight."""
        self.should_exit = True
        self.force_exit = self.force_exit or force
        self._stopping.set()

    async def main_loop(self) -> None:
        """Returns once the server is to stop."""
        await self._stopping.wait()

    @contextlib.contextmanager
    def capture_signals(self):
        """Installs no signal handlers."""
        yield


class HttpServer:
    """Serves an ASGI application on one or more addresses.

    Parameters
    ----------
    app : callable
        The ASGI application.
    address : str
        ``ip:port``; port 0 selects a free port.
    extra_addresses : list of str
        Additional addresses that serve the same application.
    max_connections : int
        Open connections allowed, counted over all addresses; further ones
        are refused with status 503.
    head_timeout : float
        Seconds within which a request head must arrive.
    sock : socket.socket or None
        A socket that is bound to ``address`` already.
    """

    def __init__(
        self,
        *,
        app,
        address: str,
        extra_addresses: typing.Sequence[str] = (),
        max_connections: int = 1000,
        head_timeout: float = 10.0,
        sock: socket.socket | None = None,
    ):
        self.app = app
        self.address = address
        self.extra_addresses = list(extra_addresses)
        self.max_connections = max_connections
        self.head_timeout = head_timeout
        self.sock = sock
        self.port = 0
        self._protocol: type[_BoundedProtocol] = _BoundedProtocol
        self._send_queues = _send_queues.SendQueues()
        self._server: _UvicornServer | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Binds the addresses and accepts connections; raises OSError."""
        sock = self.sock or _bind(self.address)
        sockets = [sock] + [_bind(address) for address in self.extra_addresses]
        self.port = sock.getsockname()[1]
        self._protocol = type(
            "_Protocol",
            (_BoundedProtocol,),
            {
                "head_timeout": self.head_timeout,
                "max_connections": self.max_connections,
            },
        )
        cfg = uvicorn.Config(
            self.app,
            http=self._protocol,
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            backlog=LISTEN_BACKLOG,
            timeout_keep_alive=75,
        )
        self._server = _UvicornServer(cfg)
        self._task = asyncio.create_task(self._server.serve(sockets=sockets))
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError(
                    f"the HTTP server on {self.address} did not start"
                )
            await asyncio.sleep(STARTUP_POLL_SECONDS)

    def begin_drain(self) -> None:
        """Ends connections with their next response, which says so.

        Callers then need not find out from a closed connection, which leaves
        open whether a request that they have just sent on it was read.
        """
        self._protocol.is_draining = True
        if self._server is not None:
            for conn in self._server.server_state.connections:
                typing.cast(_BoundedProtocol, conn).end_with_response()

    @property
    def connection_count(self) -> int:
        """The number of open connections."""
        if self._server is None:
            return 0
        return len(self._server.server_state.connections)

    def measure_send_queue(self, now: float) -> _send_queues.SendQueue:
        """Returns what waits to be sent on all connections."""
        if self._server is None:
            return _send_queues.SendQueue()
        connections = self._server.server_state.connections
        return self._send_queues.measure(
            [
                typing.cast(_BoundedProtocol, conn).transport
                for conn in connections
            ],
            now,
        )

    async def close(self) -> None:
        """Stops accepting connections and waits for requests in flight."""
        if self._server is None or self._task is None:
            return
        self._server.stop(force=False)
        await self._task

    async def abort(self) -> None:
        """Stops without waiting for requests in flight."""
        if self._server is None or self._task is None:
            return
        self._server.stop(force=True)
        await self._task


def _bind(address: str) -> socket.socket:
    """Returns a socket bound to ``ip:port``; raises OSError."""
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind((host, int(port)))
    except OSError:
        sock.close()
        raise
    return sock
