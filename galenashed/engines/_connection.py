"""One HTTP/1.1 connection to a target, and the answers that it brings.

What the answers' end proves matters here: an answer without a length is
whole only if the target closed the connection in order, and bytes that no
request asked for make a connection useless.
"""

import asyncio
import collections
import contextlib
import socket
import typing

import httptools

from galenashed.engines import _client

# Unread bytes of an answer after which the target is made to wait.
MAX_UNREAD_BYTES = 256 * 1024
# How long an idle connection is trusted if the target does not say.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0


class ResponseHead:
    """The status and headers of an answer, names in lower case."""

    __slots__ = ("headers", "status")

    def __init__(self, *, status: int, headers: list[tuple[str, str]]):
        self.status = status
        self.headers = headers

    def get(self, name: str) -> str | None:
        """Returns the first header of a name, which is in lower case."""
        for held, value in self.headers:
            if held == name:
                return value
        return None


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target, for messages.
    on_unusable : callable
        Called once when the connection can't be used again.
    """

    def __init__(
        self,
        *,
        address: str,
        on_unusable: typing.Callable[["Connection"], None],
    ):
        self.address = address
        self.on_unusable = on_unusable
        self.keep_alive = DEFAULT_KEEP_ALIVE_SECONDS
        self.used = False
        self.usable = True
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser: typing.Any = None
        self._expecting = False
        self._headers: list[tuple[str, str]] = []
        self._status = 0
        self._head: ResponseHead | None = None
        self._complete = False
        self._until_close = False
        self._without_body = False
        self._error: Exception | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._unread = 0
        self._paused = False
        self._wake: asyncio.Future | None = None

    # Requests

    def send(self, data: bytes, *, without_body: bool = False) -> None:
        """Sends a whole request.

        ``without_body`` is for methods whose answers have a head alone.
        """
        assert self._transport is not None and not self._expecting
        self._parser = httptools.HttpResponseParser(self)
        self._expecting = True
        self._head = None
        self._headers = []
        self._complete = False
        self._until_close = False
        self._without_body = without_body
        self._chunks.clear()
        self._unread = 0
        self.used = True
        self._transport.write(data)

    async def head(self) -> ResponseHead:
        """Waits for the answer's head; raises TargetLostError."""
        while self._head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Returns the next bytes of the body, none at its end.

        Raises TargetLostError if the answer breaks off.
        """
        while not self._chunks:
            if self._complete:
                return b""
            if self._error is not None:
                raise self._error
            await self._wait()
        data = self._chunks.popleft()
        if self._chunks:
            data += b"".join(self._chunks)
            self._chunks.clear()
        self._unread = 0
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return data

    @property
    def is_complete(self) -> bool:
        """Whether the answer has come to its end."""
        return self._complete

    def finish(self, now: float) -> bool:
        """Ends the request; returns whether another may follow."""
        self._expecting = False
        if not self._complete or not self.usable:
            self.abort()
            return False
        self.idle_since = now
        return True

    def is_fresh(self, now: float) -> bool:
        """Whether the target has surely not timed the connection out."""
        return self.usable and now - self.idle_since < self.keep_alive

    def abort(self) -> None:
        """Drops the connection, and with it any work at the target."""
        self._mark_unusable()
        if self._transport is not None:
            self._transport.abort()

    async def _wait(self) -> None:
        self._wake = asyncio.get_running_loop().create_future()
        try:
            await self._wake
        finally:
            self._wake = None

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _mark_unusable(self) -> None:
        if self.usable:
            self.usable = False
            self.on_unusable(self)

    def _fail(self, reason: str) -> None:
        if self._error is None:
            self._error = _client.TargetLostError(f"{self.address}: {reason}")
        self._mark_unusable()
        self._notify()

    # asyncio.Protocol

    def connection_made(self, transport) -> None:
        """Sets up the socket."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _client.probe_when_idle(sock)

    def data_received(self, data: bytes) -> None:
        """Takes bytes of an answer, or bytes that nobody asked for."""
        if not self._expecting or self._complete:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            if self._complete:
                self._mark_unusable()
                return
            self._fail(f"not an answer in HTTP: {exc!r}")
            if self._transport is not None:
                self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends an answer that lasts until its connection's end."""
        ended = exc is None and self._head is not None and self._until_close
        if ended and not self._complete:
            self._complete = True
        elif not self._complete:
            self._fail("closed" if exc is None else repr(exc))
        self._mark_unusable()
        self._notify()

    # httptools

    def on_message_begin(self) -> None:
        """Begins an answer; one that follows another is nobody's."""
        if self._complete:
            self._mark_unusable()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        if not self._complete:
            pair = (name.decode("latin-1").lower(), value.decode("latin-1"))
            self._headers.append(pair)

    def on_headers_complete(self) -> None:
        """Takes the whole head."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._headers = []
            return
        head = ResponseHead(status=status, headers=self._headers)
        self._head = head
        bodiless = self._without_body or status in (204, 304)
        framed = (
            head.get("content-length") is not None
            or head.get("transfer-encoding") is not None
        )
        self._until_close = not framed and not bodiless
        if self._until_close or not self._parser.should_keep_alive():
            self._mark_unusable()
        self._note_keep_alive(head.get("keep-alive"))
        if self._without_body:
            # The parser waits for the body that the length names.
            self._complete = True
            self._mark_unusable()
        self._notify()

    def _note_keep_alive(self, value: str | None) -> None:
        for part in (value or "").split(","):
            name, _, seconds = part.strip().partition("=")
            if name.lower() == "timeout" and seconds.isdigit():
                # Half of it: the target counts from an earlier moment.
                self.keep_alive = int(seconds) / 2

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        if self._complete:
            return
        self._chunks.append(data)
        self._unread += len(data)
        if self._unread > MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            assert self._transport is not None
            self._transport.pause_reading()
        self._notify()

    def on_message_complete(self) -> None:
        """Ends the answer."""
        if self._head is not None and not self._complete:
            self._complete = True
            self._notify()


class ConnectionPool:
    """Connections to targets, kept for the next request where that is safe.

    Parameters
    ----------
    connect_timeout : float
        Seconds within which a connection must open.

    Example::

        pool = ConnectionPool(connect_timeout=0.5)
        conn = await pool.acquire("127.0.0.1:8000", fresh=False)
        conn.send(request)
        head = await conn.head()
        while data := await conn.read():
            ...
        pool.release(conn)
    """

    def __init__(self, *, connect_timeout: float):
        self.connect_timeout = connect_timeout
        self.opened = 0
        self._idle: dict[str, list[Connection]] = {}

    async def close(self) -> None:
        """Closes the idle connections."""
        for conns in list(self._idle.values()):
            for conn in list(conns):
                conn.abort()

    async def acquire(self, address: str, *, fresh: bool) -> Connection:
        """Returns a connection, a new one if it must be ``fresh``.

        Raises NotSentError if none can be opened.
        """
        loop = asyncio.get_running_loop()
        idle = self._idle.get(address, [])
        while idle and not fresh:
            conn = idle.pop()
            if conn.is_fresh(loop.time()):
                return conn
            conn.abort()
        host, _, port = address.rpartition(":")
        self.opened += 1
        try:
            async with asyncio.timeout(self.connect_timeout):
                _, opened = await loop.create_connection(
                    lambda: Connection(
                        address=address, on_unusable=self._forget
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as exc:
            raise _client.NotSentError(f"{address}: {exc!r}") from exc
        return opened

    def release(self, conn: Connection) -> None:
        """Takes a connection back, and keeps it if it may be used again."""
        now = asyncio.get_running_loop().time()
        if conn.finish(now):
            self._idle.setdefault(conn.address, []).append(conn)

    def _forget(self, conn: Connection) -> None:
        idle = self._idle.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)
        if not idle:
            self._idle.pop(conn.address, None)
