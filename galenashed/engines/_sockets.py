"""Socket options and probes of connections to targets."""

import asyncio
import socket

# A lost network connection is detected after idle + interval * count
# seconds.
KEEPALIVE_IDLE_SECONDS = 3
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_COUNT = 3


async def accepts_connections(address: str) -> bool:
    """Returns whether an address accepts a new connection.

    Waits as long as the network; callers limit the time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        transport, _ = await loop.create_connection(
            asyncio.Protocol, host, int(port)
        )
    except (OSError, ValueError):
        return False
    transport.abort()
    return True


def enable_keepalive(sock: socket.socket) -> None:
    """Enables TCP keepalive, which detects an unreachable peer."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
