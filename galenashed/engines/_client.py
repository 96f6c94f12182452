"""HTTP calls to targets, with failures told apart by what they prove.

A connection that can't be opened proves that nothing was sent.  Any later
failure proves nothing: the target may have run the request.  The library
repeats some methods by itself when a connection breaks, PUT and DELETE
among them; a middleware keeps it from that, so that every repetition is
this project's own decision.
"""

import asyncio
import socket

import aiohttp
import yarl

CONNECT_TIMEOUT_SECONDS = 1.0
PROBE_SECONDS = 0.3
PROBE_TRIES = 5
MAX_IDLE_PER_TARGET = 64


# A cut network is noticed after idle + interval * count seconds.
KEEPALIVE_IDLE_SECONDS = 3
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_COUNT = 3


class NotSentError(Exception):
    """No byte of the request was sent."""


class TargetLostError(Exception):
    """The connection failed; the request may have been run."""


async def _never_repeat(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turns a broken connection into an error that is not retried."""
    try:
        return await handler(req)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise TargetLostError(f"{req.url.authority}: {exc!r}") from exc


def _make_socket(address_info) -> socket.socket:
    """Returns a socket that probes an idle connection."""
    family, kind, proto, _, _ = address_info
    sock = socket.socket(family=family, type=kind, proto=proto)
    probe_when_idle(sock)
    return sock


def probe_when_idle(sock: socket.socket) -> None:
    """Has the system find out when the peer of a silent socket is gone."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)


class TargetClient:
    """Calls targets by their address.

    How long an answer may take is the caller's to bound.
    """

    def __init__(self) -> None:
        self._pooled: aiohttp.ClientSession
        self._fresh: aiohttp.ClientSession

    async def start(self) -> None:
        """Opens the connection pools."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=CONNECT_TIMEOUT_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        self._pooled = self._session(timeout, force_close=False)
        self._fresh = self._session(timeout, force_close=True)

    def _session(self, timeout, *, force_close: bool):
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=force_close,
            use_dns_cache=False,
            socket_factory=_make_socket,
        )
        return aiohttp.ClientSession(
            connector=connector,
            middlewares=(_never_repeat,),
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._pooled.close()
        await self._fresh.close()

    async def send(
        self,
        *,
        address: str,
        method: str,
        path: str,
        headers,
        body: bytes,
        repeatable: bool,
    ) -> aiohttp.ClientResponse:
        """Sends a request and returns once the response's head is there.

        Raises NotSentError or TargetLostError.  A request that is not
        ``repeatable`` gets a connection of its own.
        """
        session = self._pooled if repeatable else self._fresh
        url = f"http://{address}{path}"
        try:
            return await session.request(
                method,
                yarl.URL(url, encoded=True),
                data=body or None,
                headers=headers,
                allow_redirects=False,
            )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL,
        ) as exc:
            raise NotSentError(f"{address}: {exc}") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise TargetLostError(f"{address}: {exc!r}") from exc

    async def is_refusing(self, address: str) -> bool:
        """Whether connections to the address are refused: it is down.

        A process that is ending may still take a connection, which then
        breaks at once; so one that is taken is watched for a moment, and
        opened again if it broke.
        """
        for _ in range(PROBE_TRIES):
            try:
                if await self._stays_open(address):
                    return False
            except ConnectionRefusedError:
                return True
            except (OSError, TimeoutError):
                return False
            await asyncio.sleep(PROBE_SECONDS / PROBE_TRIES)
        return False

    async def _stays_open(self, address: str) -> bool:
        """Whether a new connection is still open a moment later."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                return bool(await reader.read(1))
        except TimeoutError:
            return True
        except ConnectionResetError:
            return False
        finally:
            writer.close()
