"""HTTP calls to targets, with failures told apart by what they prove.

A connection that can't be opened proves that nothing was sent.  Any later
failure proves nothing: the target may have run the request.  The library's
own retries never apply: engine calls are POST requests, which it does not
repeat, and non-idempotent calls use a fresh connection each, on which it
does not retry either.
"""

import asyncio

import aiohttp
import yarl

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_IDLE_PER_TARGET = 64


class NotSentError(Exception):
    """No byte of the request was sent."""


class TargetLostError(Exception):
    """The connection failed; the request may have been run."""


class TargetClient:
    """Calls targets by their address.

    Parameters
    ----------
    stall_timeout : float
        Seconds without a byte after which a target counts as lost.
    """

    def __init__(self, *, stall_timeout: float):
        self.stall_timeout = stall_timeout
        self._pooled: aiohttp.ClientSession
        self._fresh: aiohttp.ClientSession

    async def start(self) -> None:
        """Opens the connection pools."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=CONNECT_TIMEOUT_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=self.stall_timeout,
        )
        self._pooled = self._session(timeout, force_close=False)
        self._fresh = self._session(timeout, force_close=True)

    def _session(self, timeout, *, force_close: bool):
        connector = aiohttp.TCPConnector(
            limit=0, force_close=force_close, use_dns_cache=False
        )
        return aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
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
        """Whether connections to the address are refused: it is down."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False
