"""An HTTP server that runs as an asyncio task and limits connections."""

import asyncio
import contextlib
import socket
import typing

import uvicorn

from galenashed.web import _guard
from galenashed.web import _protocol
from galenashed.web import _send_queues

MAX_HEAD_BYTES = _guard.MAX_HEAD_BYTES
LISTEN_BACKLOG = 1024
STARTUP_POLL_SECONDS = 0.005


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
    limits : ConnectionLimits or None
        All limits, instead of these two.
    metrics : Metrics or InMemoryMetrics or None
        See :class:`Guard`.
    report : callable
        Called with the number of clients that were refused or disconnected.
    configured_head_bytes : callable
        Returns a size of request heads that is served in any case.
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
        limits: _guard.ConnectionLimits | None = None,
        metrics=None,
        report: typing.Callable[[dict[str, int]], None] = (
            _guard.log_ended_clients
        ),
        configured_head_bytes: typing.Callable[[], int] = lambda: 0,
        sock: socket.socket | None = None,
    ):
        self.app = app
        self.address = address
        self.extra_addresses = list(extra_addresses)
        self.sock = sock
        self.port = 0
        self._guard = _guard.Guard(
            limits=limits
            or _guard.ConnectionLimits(
                max_connections=max_connections, head_timeout=head_timeout
            ),
            metrics=metrics,
            report=report,
            configured_head_bytes=configured_head_bytes,
        )
        self._protocol: type[_protocol.BoundedProtocol] = (
            _protocol.BoundedProtocol
        )
        self._send_queues = _send_queues.SendQueues()
        self._server: _UvicornServer | None = None
        self._task: asyncio.Task | None = None
        self._sweeper: asyncio.Task | None = None

    async def start(self) -> None:
        """Binds the addresses and accepts connections; raises OSError."""
        sock = self.sock or _bind(self.address)
        sockets = [sock] + [_bind(address) for address in self.extra_addresses]
        self.port = sock.getsockname()[1]
        self._protocol = typing.cast(
            type[_protocol.BoundedProtocol],
            type(
                "_Protocol",
                (_protocol.BoundedProtocol,),
                {
                    "guard": self._guard,
                    "read_buffer": bytearray(_protocol.READ_BYTES),
                },
            ),
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
        self._sweeper = asyncio.create_task(self._sweep(), name="web guard")
        while not self._server.started:
            if self._task.done():
                await self._task
                raise OSError(
                    f"the HTTP server on {self.address} did not start"
                )
            await asyncio.sleep(STARTUP_POLL_SECONDS)

    async def _sweep(self) -> None:
        """Ends the connections of stalled clients until the server ends."""
        assert self._server is not None and self._task is not None
        loop = asyncio.get_running_loop()
        while not self._task.done():
            await asyncio.sleep(_guard.SWEEP_SECONDS)
            conns = typing.cast(
                set[_guard.GuardedConnection],
                self._server.server_state.connections,
            )
            self._guard.sweep(conns, loop.time())

    def begin_drain(self) -> None:
        """Ends connections with their next response, which says so.

        Callers then need not find out from a closed connection, which leaves
        open whether a request that they have just sent on it was read.
        """
        self._protocol.is_draining = True
        if self._server is not None:
            for conn in self._server.server_state.connections:
                typing.cast(
                    _protocol.BoundedProtocol, conn
                ).end_with_response()

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
                typing.cast(_protocol.BoundedProtocol, conn).transport
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
        self._stop_sweeper()

    async def abort(self) -> None:
        """Stops without waiting for requests in flight."""
        if self._server is None or self._task is None:
            return
        self._server.stop(force=True)
        await self._task
        self._stop_sweeper()

    def _stop_sweeper(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()


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
