"""HTTP requests to targets.

Errors tell whether the target may have executed the request.  If no
connection could be opened, nothing was sent; after any later failure the
request may have been executed.  aiohttp retries some methods by itself when
a connection breaks, PUT and DELETE among them.  A middleware prevents this,
so that only the callers of this module decide about retries.
"""

import asyncio
import contextvars
import socket
import time
import typing

import aiohttp
from aiohttp import client_proto
import loguru
import yarl

from galenashed import engines

LOG = loguru.logger

CONNECT_TIMEOUT_SECONDS = 1.0
# How long a probe waits for an accepted connection to break.
PROBE_SECONDS = 0.3
MAX_PROBE_ATTEMPTS = 5
MAX_IDLE_PER_TARGET = 64

# What is called before the request of the current task is sent.  aiohttp has
# no argument for it, but connects in the task of the request.
_BEFORE_SENDING: contextvars.ContextVar[typing.Callable[[], None]] = (
    contextvars.ContextVar("before sending")
)


async def _prevent_retries(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Turns a broken connection into an error that is not retried."""
    try:
        return await handler(req)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise engines.TargetLostError(f"{req.url.authority}: {exc!r}") from exc


class _TargetResponse(aiohttp.ClientResponse):
    """A response that knows how its connection ended.

    aiohttp completes a body without length or chunks when the connection is
    lost for any reason.
    """

    _connection_state: client_proto.ResponseHandler | None = None

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        self._connection_state = connection.protocol
        return await super().start(connection)

    @property
    def connection_error(self) -> BaseException | None:
        """The error that ended the connection, unless the target closed it."""
        if self._connection_state is None:
            return None
        error = self._connection_state.exception()
        if isinstance(error, aiohttp.ServerDisconnectedError):
            return None
        return error


def is_close_delimited(resp: aiohttp.ClientResponse) -> bool:
    """Returns whether the body of a response ends with its connection."""
    return not (
        resp.method == "HEAD"
        or resp.status in (204, 304)
        or "Content-Length" in resp.headers
        or "Transfer-Encoding" in resp.headers
    )


def check_complete(resp: aiohttp.ClientResponse) -> None:
    """Raises TargetLostError if a body that was read to its end is not whole.

    A body without length or chunks is whole only if the target closed the
    connection; aiohttp itself checks all others.
    """
    if not is_close_delimited(resp):
        return
    error = typing.cast(_TargetResponse, resp).connection_error
    if error is not None:
        raise engines.TargetLostError(
            f"{resp.url.authority}: {error!r}"
        ) from error


async def read_body(resp: aiohttp.ClientResponse, limit: int) -> bytes:
    """Returns the body of a response.

    Raises TargetLostError, and closes the connection, if the body exceeds
    ``limit`` bytes or breaks off.
    """
    body = bytearray()
    try:
        async for chunk in resp.content.iter_any():
            body += chunk
            if len(body) > limit:
                raise engines.TargetLostError(
                    f"{resp.url.authority}: response of over {limit} bytes"
                )
        check_complete(resp)
    except (aiohttp.ClientError, OSError) as exc:
        raise engines.TargetLostError(
            f"{resp.url.authority}: {exc!r}"
        ) from exc
    finally:
        # A connection with a partly read response can't be reused.
        if resp.content.at_eof():
            resp.release()
        else:
            resp.close()
    return bytes(body)


def _create_socket(address_info) -> socket.socket:
    """Returns a new socket with TCP keepalive enabled."""
    family, kind, proto, _, _ = address_info
    sock = socket.socket(family=family, type=kind, proto=proto)
    engines.enable_keepalive(sock)
    return sock


class _Connector(aiohttp.TCPConnector):
    """Reuses no connection on which bytes arrived after a response.

    aiohttp would take them, such as a second copy of that response, for the
    response to the next request.
    """

    async def _get(self, key, traces):
        while (conn := await super()._get(key, traces)) is not None:
            if conn.protocol is not None and not conn.protocol.should_close:
                return conn
            LOG.warning("bytes after a response; closing its connection")
            conn.close()
        return None

    async def connect(self, req, traces, timeout):
        conn = await super().connect(req, traces, timeout)
        try:
            _BEFORE_SENDING.get()()
        except BaseException:
            conn.close()
            raise
        return conn


class TargetClient:
    """Sends requests to targets by their address.

    Only the time to connect is limited; callers limit the time until the
    response.
    """

    def __init__(self) -> None:
        # Monotonic time at which the head of a response last arrived.
        self.received_at = float("-inf")
        # Called with the address of a target that fails.
        self.on_failed: typing.Callable[[str], None] = lambda address: None
        self._pooled: aiohttp.ClientSession
        self._unpooled: aiohttp.ClientSession

    async def start(self) -> None:
        """Opens the connection pools."""
        timeout = aiohttp.ClientTimeout(
            total=None,
            connect=CONNECT_TIMEOUT_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
        )
        self._pooled = self._create_session(timeout, force_close=False)
        self._unpooled = self._create_session(timeout, force_close=True)

    def _create_session(self, timeout, *, force_close: bool):
        connector = _Connector(
            limit=0,
            force_close=force_close,
            use_dns_cache=False,
            socket_factory=_create_socket,
        )
        return aiohttp.ClientSession(
            connector=connector,
            middlewares=(_prevent_retries,),
            response_class=_TargetResponse,
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def close(self) -> None:
        """Closes the connections."""
        await self._pooled.close()
        await self._unpooled.close()

    async def send(
        self,
        *,
        address: str,
        method: str,
        path: str,
        headers,
        body: bytes,
        reuse_connection: bool,
        before_sending: typing.Callable[[], None] = lambda: None,
    ) -> aiohttp.ClientResponse:
        """Sends a request and returns when the response head has arrived.

        Raises NotSentError or TargetLostError.  A request without
        ``reuse_connection`` is sent on a new connection that is not reused.
        ``before_sending`` is called once a connection is open, and may raise
        NotSentError.
        """
        _BEFORE_SENDING.set(before_sending)
        session = self._pooled if reuse_connection else self._unpooled
        url = f"http://{address}{path}"
        try:
            resp = await session.request(
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
            self.on_failed(address)
            raise engines.NotSentError(f"{address}: {exc}") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            self.on_failed(address)
            raise engines.TargetLostError(f"{address}: {exc!r}") from exc
        except engines.TargetLostError:
            self.on_failed(address)
            raise
        self.received_at = time.monotonic()
        if not engines.is_final_status(resp.status):
            resp.close()
            self.on_failed(address)
            raise engines.TargetLostError(
                f"{address}: invalid status {resp.status:03}"
            )
        return resp

    async def accepts_connections(self, address: str) -> bool:
        """See :class:`galenashed.engines.Prober`."""
        return await engines.accepts_connections(address)

    async def refuses_connections(self, address: str) -> bool:
        """Returns whether the address refuses connections: it is down.

        A process that is shutting down may still accept a connection and
        then close it, even before this process has learned that it was
        accepted.  An accepted connection is therefore observed for a short
        time, and the probe is repeated if it breaks.
        """
        for _ in range(MAX_PROBE_ATTEMPTS):
            try:
                if await self._stays_open(address):
                    return False
            except ConnectionRefusedError:
                return True
            except ConnectionResetError:
                pass
            except (OSError, TimeoutError):
                return False
            await asyncio.sleep(PROBE_SECONDS / MAX_PROBE_ATTEMPTS)
        return False

    async def _stays_open(self, address: str) -> bool:
        """Returns whether a new connection stays open for a short time."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                return bool(await reader.read(1))
        except TimeoutError:
            return True
        finally:
            writer.close()
