"""An HTTP server as an asyncio task, with bounds on what callers may hold."""

import asyncio
import contextlib
import socket
import typing

import uvicorn
import uvicorn.protocols.http.httptools_impl as httptools_impl

from galenashed.web import _errors

MAX_HEADER_BYTES = 32 * 1024
LISTEN_BACKLOG = 1024
STARTUP_POLL_SECONDS = 0.005


class _BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Closes connections that are too many or too slow to send a head."""

    head_timeout = 10.0
    max_connections = 1000

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self._head_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        if len(self.connections) > self.max_connections:
            self._refuse(
                503,
                "too_many_connections",
                f"{self.max_connections} connections are open already",
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
            f"no whole request head came within {self.head_timeout} s",
        )

    def _refuse(self, status: int, code: str, message: str) -> None:
        error = _errors.ApiError(status=status, code=code, message=message)
        body = error.body()
        head = (
            f"HTTP/1.1 {status} Refused\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Galenashed-Run: {error.run.value}\r\n"
            f"Retry-After: 1\r\nConnection: close\r\n\r\n"
        )
        if not self.transport.is_closing():
            self.transport.write(head.encode() + body)
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        if self._head_timer is not None:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEADER_BYTES + self.body_allowance:
                self._stop_head_timer()
                self._refuse(
                    431,
                    "head_too_large",
                    f"the request head passes {MAX_HEADER_BYTES} bytes",
                )
                return
        super().data_received(data)

    # One read may hold a whole small head and the start of a body.
    body_allowance = 256 * 1024

    def on_message_begin(self) -> None:
        super().on_message_begin()
        if self._head_timer is None:
            self._head_bytes = 0
            self._start_head_timer()

    def on_headers_complete(self) -> None:
        self._stop_head_timer()
        super().on_headers_complete()

    def connection_lost(self, exc) -> None:
        self._stop_head_timer()
        super().connection_lost(exc)


class _Server(uvicorn.Server):
    """Leaves signals to the program."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Captures none."""
        yield


class HttpServer:
    """Serves an ASGI application on one address.

    Parameters
    ----------
    app : callable
        The application.
    address : str
        ``ip:port``; port 0 takes a free one.
    others : list of str
        Further addresses that the same application is served on.
    max_connections : int
        More are refused.
    head_timeout : float
        Seconds within which the head of a request must come.
    """

    def __init__(
        self,
        *,
        app,
        address: str,
        others: typing.Sequence[str] = (),
        max_connections: int = 1000,
        head_timeout: float = 10.0,
    ):
        self.app = app
        self.address = address
        self.others = list(others)
        self.max_connections = max_connections
        self.head_timeout = head_timeout
        self.port = 0
        self._server: _Server | None = None
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Binds the address and starts to accept; raises OSError."""
        sock = _bind(self.address)
        socks = [sock] + [_bind(address) for address in self.others]
        self.port = sock.getsockname()[1]
        protocol = type(
            "_Protocol",
            (_BoundedProtocol,),
            {
                "head_timeout": self.head_timeout,
                "max_connections": self.max_connections,
            },
        )
        cfg = uvicorn.Config(
            self.app,
            http=protocol,
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
        self._server = _Server(cfg)
        self._task = asyncio.create_task(self._server.serve(sockets=socks))
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError(f"no HTTP server on {self.address}")
            await asyncio.sleep(STARTUP_POLL_SECONDS)

    async def close(self) -> None:
        """Stops accepting and waits for the requests in flight."""
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        await self._task

    async def abort(self) -> None:
        """Stops at once."""
        if self._server is None or self._task is None:
            return
        self._server.should_exit = True
        self._server.force_exit = True
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
