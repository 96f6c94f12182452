"""HTTP/1.1 connections to targets, and a pool of them.

Only responses that are known to be complete are reported as such: a response
without a length is complete only if the target closed the connection without
an error.  A connection that receives bytes outside of a response to a request
is not reused.  A target that sends a head, interim responses or trailers
without end is disconnected.
"""

import asyncio
import collections
import contextlib
import enum
import socket
import time
import typing

import httptools

from galenashed.engines import _errors
from galenashed.engines import _sockets
from galenashed.engines import _statuses

# Reading from the target pauses when more bytes of a response are buffered.
MAX_UNREAD_BYTES = 256 * 1024
# Limit of the bytes that a target may send without any bytes of a body among
# them: a head with the interim responses before it, a chunk header, trailers.
MAX_FRAMING_BYTES = 64 * 1024
# Limit of the headers that a target may send in the same way, as each of them
# is handled apart, however short it is.
MAX_HEADERS = 1000
# How long a probe of an address waits for its connection.
PROBE_SECONDS = 0.2
MAX_PROBE_ATTEMPTS = 5
# Idle time after which a connection is not reused, unless the target sends a
# timeout in a Keep-Alive header.
DEFAULT_KEEP_ALIVE_SECONDS = 4.0
# A longer number of seconds is ignored; ``int`` fails on some of them.
MAX_KEEP_ALIVE_DIGITS = 9


class Framing(enum.StrEnum):
    """What marks the end of a response's body."""

    NO_BODY = "no body"
    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class ResponseHead:
    """Status, headers and framing of a response.

    Header names are lower case.
    """

    __slots__ = ("framing", "headers", "status")

    def __init__(
        self,
        *,
        status: int,
        headers: list[tuple[str, str]],
        framing: Framing,
    ):
        self.status = status
        self.headers = headers
        self.framing = framing

    def get(self, name: str) -> str | None:
        """Returns the first value of a header; ``name`` is lower case."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None


class Connection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Parameters
    ----------
    address : str
        ``ip:port`` of the target, for error messages and the pool.
    on_unusable : callable
        Called once, when the connection can no longer be reused.
    on_received : callable
        Called when bytes arrive.
    """

    def __init__(
        self,
        *,
        address: str,
        on_unusable: typing.Callable[["Connection"], None],
        on_received: typing.Callable[[], None] = lambda: None,
    ):
        self.address = address
        self.on_unusable = on_unusable
        self.on_received = on_received
        self.keep_alive_seconds = DEFAULT_KEEP_ALIVE_SECONDS
        self.used = False
        self.usable = True
        self.idle_since = 0.0
        self._transport: asyncio.Transport | None = None
        self._parser: typing.Any = None
        self._request_active = False
        self._headers: list[tuple[str, str]] = []
        self._status = 0
        self._head: ResponseHead | None = None
        self._complete = False
        self._no_response_body = False
        self._error: Exception | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._unread_bytes = 0
        self._framing_bytes = 0
        self._header_count = 0
        self._paused = False
        self._waiter: asyncio.Future | None = None

    # Requests

    def send(self, data: bytes, *, no_response_body: bool = False) -> None:
        """Sends a complete request.

        ``no_response_body`` is for methods whose responses have no body, such
        as HEAD.
        """
        assert self._transport is not None and not self._request_active
        self._parser = httptools.HttpResponseParser(self)
        self._request_active = True
        self._head = None
        self._headers = []
        self._complete = False
        self._no_response_body = no_response_body
        self._chunks.clear()
        self._unread_bytes = 0
        self._framing_bytes = 0
        self._header_count = 0
        self.used = True
        self._transport.write(data)

    async def head(self) -> ResponseHead:
        """Waits for the response head; raises TargetLostError."""
        while self._head is None:
            if self._error is not None:
                raise self._error
            await self._wait()
        return self._head

    async def read(self) -> bytes:
        """Returns the next bytes of the body, or b"" at its end.

        Raises TargetLostError if the response is incomplete.
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
        self._unread_bytes = 0
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()
        return data

    @property
    def is_complete(self) -> bool:
        """Whether the response was received completely."""
        return self._complete

    def finish(self, now: float) -> bool:
        """Ends the request; returns whether the connection can be reused.

        The connection is aborted if it cannot.
        """
        self._request_active = False
        # Reading is paused if a long body was not read.
        if not self._complete or self._paused or not self.usable:
            self.abort()
            return False
        self.idle_since = now
        return True

    def is_reusable(self, now: float) -> bool:
        """Whether the idle connection can carry another request.

        It can if it is usable and has been idle for less than its keep-alive
        time, within which the target should not have closed it.
        """
        return self.usable and now - self.idle_since < self.keep_alive_seconds

    def abort(self) -> None:
        """Closes the connection at once, so that the target stops its work."""
        self._mark_unusable()
        if self._transport is not None:
            self._transport.abort()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _mark_unusable(self) -> None:
        if self.usable:
            self.usable = False
            self.on_unusable(self)

    def _fail(self, reason: str) -> None:
        if self._error is None:
            self._error = _errors.TargetLostError(f"{self.address}: {reason}")
        self._mark_unusable()
        self._wake_waiter()

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport) -> None:
        """Sets the socket options."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            _sockets.enable_keepalive(sock)

    def data_received(self, data: bytes) -> None:
        """Parses a response; aborts if no request is waiting for one."""
        self.on_received()
        if not self._request_active or self._complete:
            self.abort()
            return
        self._framing_bytes += len(data)
        excess = self._framing_bytes - MAX_FRAMING_BYTES
        try:
            if excess > 0 and self._head is None:
                # The rest may only be parsed if the head ends before it.
                self._parser.feed_data(data[:-excess])
                data = data[-excess:] if self._head is not None else b""
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            if self._complete:
                self._mark_unusable()
                return
            if self._header_count <= MAX_HEADERS:
                self._reject_response(f"invalid HTTP response: {exc!r}")
                return
        if self._is_framing_too_long() and not self._complete:
            self._reject_response(
                f"over {MAX_FRAMING_BYTES} bytes or {MAX_HEADERS} headers"
                " without a part of a body"
            )

    def _is_framing_too_long(self) -> bool:
        return (
            self._framing_bytes > MAX_FRAMING_BYTES
            or self._header_count > MAX_HEADERS
        )

    def _reject_response(self, reason: str) -> None:
        self._fail(reason)
        self._headers = []
        self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Completes a close-delimited response, or fails the request."""
        ended_by_close = (
            exc is None
            and self._head is not None
            and self._head.framing is Framing.CLOSE
        )
        if ended_by_close and not self._complete:
            self._complete = True
        elif not self._complete:
            self._fail("connection closed" if exc is None else repr(exc))
        self._mark_unusable()
        self._wake_waiter()

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Rules out reuse if a second response follows a complete one."""
        if self._complete:
            self._mark_unusable()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header of the response; trailers are discarded.

        Raises ValueError, which ends the parsing, if there are too many.
        """
        self._header_count += 1
        if self._header_count > MAX_HEADERS:
            raise ValueError(f"more than {MAX_HEADERS} headers")
        if self._head is None:
            pair = (name.decode("latin-1").lower(), value.decode("latin-1"))
            self._headers.append(pair)

    def on_headers_complete(self) -> None:
        """Stores the response head; interim responses are skipped.

        Raises ValueError, which ends the parsing, if the status is invalid.
        """
        if self._complete:
            return
        status = self._parser.get_status_code()
        if _statuses.is_interim_status(status):
            self._headers = []
            return
        if not _statuses.is_final_status(status):
            raise ValueError(f"invalid status {status:03}")
        framing = self._find_framing(status)
        head = ResponseHead(
            status=status, headers=self._headers, framing=framing
        )
        self._head = head
        closes = framing is Framing.CLOSE
        if closes or not self._parser.should_keep_alive():
            self._mark_unusable()
        self._set_keep_alive(head.get("keep-alive"))
        if self._no_response_body:
            # The parser would wait for a body of the announced length.
            self._complete = True
            self._mark_unusable()
        self._wake_waiter()

    def _find_framing(self, status: int) -> Framing:
        if self._no_response_body or status in (204, 304):
            return Framing.NO_BODY
        names = {name for name, _ in self._headers}
        if "transfer-encoding" in names:
            return Framing.CHUNKS
        if "content-length" in names:
            return Framing.LENGTH
        return Framing.CLOSE

    def _set_keep_alive(self, value: str | None) -> None:
        for part in (value or "").split(","):
            name, _, seconds = part.strip().partition("=")
            if name.lower() == "timeout" and _is_duration(seconds):
                # The target started to count earlier, so the connection is
                # reused for only half of the announced time.
                self.keep_alive_seconds = int(seconds) / 2

    def on_body(self, data: bytes) -> None:
        """Buffers a part of the body; pauses reading at the limit."""
        if self._complete:
            return
        self._framing_bytes = 0
        self._header_count = 0
        self._chunks.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > MAX_UNREAD_BYTES and not self._paused:
            self._paused = True
            assert self._transport is not None
            self._transport.pause_reading()
        self._wake_waiter()

    def on_message_complete(self) -> None:
        """Marks the response as complete."""
        if self._head is not None and not self._complete:
            self._complete = True
            self._wake_waiter()


def _is_duration(value: str) -> bool:
    """Returns whether a value is a usual whole number of seconds."""
    return (
        value.isascii()
        and value.isdigit()
        and len(value) <= MAX_KEEP_ALIVE_DIGITS
    )


class _Probe(asyncio.Protocol):
    """A connection that carries no request."""

    def __init__(self) -> None:
        self._closed = asyncio.Event()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notes that the target closed the connection."""
        self._closed.set()

    async def closes_within(self, seconds: float) -> bool:
        """Returns whether the target closes the connection so soon."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._closed.wait()
        return self._closed.is_set()


class ConnectionPool:
    """Connections to targets, kept for later requests where that is safe.

    Parameters
    ----------
    connect_timeout : float
        Seconds within which a connection must open.

    Example::

        pool = ConnectionPool(connect_timeout=0.5)
        conn = await pool.acquire("127.0.0.1:8000", new_connection=False)
        conn.send(request)
        head = await conn.head()
        while data := await conn.read():
            ...
        pool.release(conn)
    """

    def __init__(self, *, connect_timeout: float):
        self.connect_timeout = connect_timeout
        self.opened_count = 0
        # Monotonic time at which bytes arrived on any connection.
        self.received_at = float("-inf")
        self._idle: dict[str, list[Connection]] = {}

    async def close(self) -> None:
        """Closes the idle connections."""
        for conns in list(self._idle.values()):
            for conn in list(conns):
                conn.abort()

    async def acquire(
        self, address: str, *, new_connection: bool
    ) -> Connection:
        """Returns an idle connection, or a new one if none can be reused.

        With ``new_connection``, the connection is always new.
        Raises NotSentError if no connection can be opened.
        """
        loop = asyncio.get_running_loop()
        idle = self._idle.get(address, [])
        while idle and not new_connection:
            conn = idle.pop()
            if conn.is_reusable(loop.time()):
                return conn
            conn.abort()
        host, _, port = address.rpartition(":")
        self.opened_count += 1
        try:
            async with asyncio.timeout(self.connect_timeout):
                _, new_conn = await loop.create_connection(
                    lambda: Connection(
                        address=address,
                        on_unusable=self._remove_idle,
                        on_received=self._note_received,
                    ),
                    host,
                    int(port),
                )
        except (OSError, TimeoutError, ValueError) as exc:
            raise _errors.NotSentError(f"{address}: {exc!r}") from exc
        return new_conn

    def _note_received(self) -> None:
        self.received_at = time.monotonic()

    async def accepts_connections(self, address: str) -> bool:
        """See :class:`galenashed.engines.Prober`."""
        return await _sockets.accepts_connections(address)

    async def refuses_connections(
        self, address: str, *, hold_seconds: float = 0.0
    ) -> bool:
        """Returns whether an address refuses connections: it is down.

        A target that is out of reach, or that answers too late, is not known
        to be down.  A process that is shutting down may reset a connection
        that it has just accepted, so the probe is repeated then, also if that
        happens within ``hold_seconds``.
        """
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        for _ in range(MAX_PROBE_ATTEMPTS):
            try:
                async with asyncio.timeout(PROBE_SECONDS):
                    transport, probe = await loop.create_connection(
                        _Probe, host, int(port)
                    )
            except ConnectionRefusedError:
                return True
            except ConnectionResetError:
                await asyncio.sleep(PROBE_SECONDS / MAX_PROBE_ATTEMPTS)
                continue
            except (OSError, TimeoutError, ValueError):
                return False
            closed = hold_seconds and await probe.closes_within(hold_seconds)
            transport.abort()
            if not closed:
                return False
        return False

    def release(self, conn: Connection) -> None:
        """Ends the request; keeps the connection if it can be reused."""
        now = asyncio.get_running_loop().time()
        if conn.finish(now):
            self._idle.setdefault(conn.address, []).append(conn)

    def _remove_idle(self, conn: Connection) -> None:
        idle = self._idle.get(conn.address)
        if idle and conn in idle:
            idle.remove(conn)
        if not idle:
            self._idle.pop(conn.address, None)
