"""Limits on what the clients of an HTTP server make it hold.

Addresses clients that send without reading, or begin requests without ending
them, on many connections.  The bytes that a server holds for its clients are
counted over all connections.  Above the limit, connections whose client makes
no progress are closed, and requests that have not begun are refused.
"""

import collections
import typing

import loguru

LOG = loguru.logger

# Defaults of the limits.
MAX_HEAD_BYTES = 32 * 1024
MAX_HELD_BYTES = 256 * 1024 * 1024
STALL_SECONDS = 75.0
SWEEP_SECONDS = 1.0
REPORT_SECONDS = 10.0
# While the limit is exceeded, a client that was waited for so long loses its
# connection, the one that holds most first, until RELIEF_SHARE of the limit
# is held.
RELIEF_WAIT_SECONDS = 1.0
RELIEF_SHARE = 0.75
RELIEF_INTERVAL_SECONDS = 0.25


class ConnectionLimits:
    """Limits of an HTTP server on its clients.

    Parameters
    ----------
    max_connections : int
        Open connections, counted over all addresses of the server.
    head_timeout : float
        Seconds within which a request head must arrive.
    max_head_bytes : int
        Size of a request head, and of chunk headers, trailers or empty lines
        without a part of a body among them.
    max_held_bytes : int
        Bytes of requests and of unsent responses, with the objects that hold
        them, over all connections.
    stall_timeout : float
        Seconds after which a client is disconnected that neither sends the
        rest of its request nor acknowledges any byte of its response.
    """

    __slots__ = (
        "head_timeout",
        "max_connections",
        "max_head_bytes",
        "max_held_bytes",
        "stall_timeout",
    )

    def __init__(
        self,
        *,
        max_connections: int = 1000,
        head_timeout: float = 10.0,
        max_head_bytes: int = MAX_HEAD_BYTES,
        max_held_bytes: int = MAX_HELD_BYTES,
        stall_timeout: float = STALL_SECONDS,
    ):
        self.max_connections = max_connections
        self.head_timeout = head_timeout
        self.max_head_bytes = max_head_bytes
        self.max_held_bytes = max_held_bytes
        self.stall_timeout = stall_timeout


class GuardedConnection(typing.Protocol):
    """A connection whose client may be disconnected."""

    held_bytes: int

    def seconds_waited(self, now: float) -> float:
        """Returns how long nothing has come from the client.

        0 while the server does not wait for the client.
        """

    def drop_waiting(self) -> None:
        """Drops requests that wait for the response to an earlier one.

        The connection closes after that response.
        """

    def end_stalled(self, reason: str) -> None:
        """Closes the connection; refuses a request that has not begun."""


def log_ended_clients(counts: dict[str, int]) -> None:
    """Writes how many clients were refused or disconnected, by reason."""
    LOG.info("clients refused or disconnected: {}", counts)


class Guard:
    """Counts what the connections of a server hold, and enforces limits.

    Parameters
    ----------
    limits : ConnectionLimits
        The limits.
    metrics : Metrics or InMemoryMetrics or None
        Gets the counter ``web.ended.REASON``, with each sweep.
    report : callable
        Called at most once in ``REPORT_SECONDS``, with the number of clients
        by reason since its last call.
    configured_head_bytes : callable
        Returns a size of request heads that is served in any case.
    """

    def __init__(
        self,
        *,
        limits: ConnectionLimits,
        metrics=None,
        report: typing.Callable[[dict[str, int]], None] = log_ended_clients,
        configured_head_bytes: typing.Callable[[], int] = lambda: 0,
    ):
        self.limits = limits
        self.configured_head_bytes = configured_head_bytes
        self.metrics = metrics
        self.report = report
        self.held_bytes = 0
        self._counts: collections.Counter[str] = collections.Counter()
        self._unreported: collections.Counter[str] = collections.Counter()
        self._reported_at = float("-inf")
        self._relieved_at = float("-inf")

    @property
    def is_full(self) -> bool:
        """Whether more is held than the limit allows."""
        return self.held_bytes > self.limits.max_held_bytes

    def find_head_excess(self, size: int) -> int:
        """Returns the limit that a head of ``size`` bytes exceeds, or 0."""
        if size <= self.limits.max_head_bytes:
            return 0
        limit = max(self.limits.max_head_bytes, self.configured_head_bytes())
        return limit if size > limit else 0

    def note(self, reason: str) -> None:
        """Counts a client that is refused or disconnected."""
        self._counts[reason] += 1
        self._unreported[reason] += 1

    def sweep(
        self, conns: typing.Iterable[GuardedConnection], now: float
    ) -> None:
        """Ends the connections of stalled clients; reports what was ended."""
        for conn in list(conns):
            if conn.seconds_waited(now) > self.limits.stall_timeout:
                conn.end_stalled("stalled")
        self.relieve(conns, now)
        if self.metrics is not None:
            for reason, count in self._counts.items():
                self.metrics.count(f"web.ended.{reason}", count)
        self._counts.clear()
        if self._unreported and now - self._reported_at >= REPORT_SECONDS:
            self._reported_at = now
            self.report(dict(self._unreported))
            self._unreported.clear()

    def relieve(
        self, conns: typing.Iterable[GuardedConnection], now: float
    ) -> None:
        """Frees bytes if more are held than the limit allows.

        Requests that wait for a response are dropped first, then connections
        that wait for their client are ended, those that hold most first.
        """
        if not self.is_full or now - self._relieved_at < (
            RELIEF_INTERVAL_SECONDS
        ):
            return
        self._relieved_at = now
        enough = RELIEF_SHARE * self.limits.max_held_bytes
        largest_first = sorted(
            conns, key=lambda conn: conn.held_bytes, reverse=True
        )
        for conn in largest_first:
            if self.held_bytes > enough:
                conn.drop_waiting()
        for conn in largest_first:
            if self.held_bytes <= enough:
                return
            if conn.seconds_waited(now) >= RELIEF_WAIT_SECONDS:
                conn.end_stalled("held")
