"""Measures data that waits to be sent on connections."""

import array
import asyncio
import fcntl
import termios
import typing

# Data that has waited for so long is blocked; if it waits for longer than
# STALLED_SECONDS, its receiver does not read.
BLOCKED_SECONDS = 0.5
STALLED_SECONDS = 5.0
# Of more connections, only a part is measured: reading the buffer of a socket
# takes microseconds.
MAX_MEASURED = 256


class SendQueue(typing.NamedTuple):
    """The data that waits on all connections together.

    ``waiting_bytes`` and ``blocked``, the number of connections on which data
    has waited for BLOCKED_SECONDS, leave out connections that are stalled.
    """

    waiting_bytes: int = 0
    blocked: int = 0


class SendQueues:
    """Remembers since when data has waited on each connection.

    Parameters
    ----------
    read_size : callable
        Returns the bytes that wait on a transport.

    Example::

        queue = queues.measure(transports, now=1.0)
    """

    __slots__ = ("_read_size", "_waiting_since")

    def __init__(
        self,
        *,
        read_size: typing.Callable[[typing.Any], int] | None = None,
    ):
        self._read_size = read_size or waiting_bytes
        self._waiting_since: dict[typing.Any, float] = {}

    def measure(
        self, transports: typing.Collection[typing.Any], now: float
    ) -> SendQueue:
        """Returns what waits; to be called a few times a second."""
        waiting_since: dict[typing.Any, float] = {}
        total = blocked = 0
        divisor = 1 + (len(transports) - 1) // MAX_MEASURED
        for transport in transports:
            # The same ones each time.  Hashes of objects alone are addresses,
            # which are not spread evenly.
            if hash((transport,)) % divisor:
                continue
            size = self._read_size(transport)
            if not size:
                continue
            since = self._waiting_since.get(transport, now)
            waiting_since[transport] = since
            if now - since > STALLED_SECONDS:
                continue
            total += size
            blocked += now - since >= BLOCKED_SECONDS
        self._waiting_since = waiting_since
        return SendQueue(
            waiting_bytes=total * divisor, blocked=blocked * divisor
        )


def waiting_bytes(transport: asyncio.Transport) -> int:
    """Returns the bytes that wait in the process and in its socket."""
    if transport.is_closing():
        return 0
    size = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if size or sock is None:
        return size
    # Most responses fit into the buffer of the socket.
    unsent = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, unsent)
    except OSError:
        return 0
    return unsent[0]
