"""Progress of a client that reads a response."""

import asyncio
import contextlib
import socket
import struct

# The position of tcpi_bytes_acked in Linux's struct tcp_info.
TCP_INFO_BYTES = 256
BYTES_ACKED_OFFSET = 120


def read_acked_bytes(transport: asyncio.Transport) -> int | None:
    """Returns how many bytes the client has acknowledged; None if unknown.

    The write buffer does not tell: the kernel takes more bytes only once it
    has room for many, which takes a slow client minutes.
    """
    sock = transport.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError, struct.error):
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        return struct.unpack_from("Q", info, BYTES_ACKED_OFFSET)[0]
    return None
