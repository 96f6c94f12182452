"""Forwards requests to another entry, if this one has no path to targets.

The other entry authenticates, reserves, routes and bills a request like one
that its caller sent there, and does not forward it again.  A request that was
sent to another entry is not repeated here: it may have run.
"""

import asyncio
import functools
import time

import aiohttp
import blacksheep
import loguru

from galenashed import clients
from galenashed import engines
from galenashed.entry import _call
from galenashed.entry import _instances
from galenashed.protocol import control as wire
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

MAX_PEERS_TRIED = 3
# Time for which an entry that could not be connected to is tried last.
PEER_BACKOFF_SECONDS = 2.0
RETRY_AFTER_SECONDS = 0.5
# On top of the time limit of a service, for queueing and retries at the peer.
EXTRA_SECONDS = 10.0
MAX_RESPONSE_BYTES = 32 * 2**20
EVENT_STREAM = b"text/event-stream"
EVENT_END = b"\n\n"


class PeerForwarder:
    """Forwards requests to other entries.

    Parameters
    ----------
    name : str
        Name of this entry.
    paths : Paths
        Tells which services this entry can't reach.
    instances : Instances
        Finds the entries that can.
    metrics : Metrics
        Counts the requests.
    """

    def __init__(
        self,
        *,
        name: str,
        paths: engines.Paths,
        instances: _instances.Instances,
        metrics: telemetry.Metrics,
    ):
        self.name = name
        self.paths = paths
        self.instances = instances
        self.metrics = metrics
        self._client = clients.TargetClient()
        # Until when addresses that failed are tried last.
        self._failed_until: dict[str, float] = {}

    async def start(self) -> None:
        """Opens the pool of connections to other entries."""
        await self._client.start()

    async def close(self) -> None:
        """Closes the connections to other entries."""
        await self._client.close()

    def is_needed(
        self, request: blacksheep.Request, service: wire.Service
    ) -> bool:
        """Whether a request should be served by another entry."""
        return service.name in self.paths.lost and not _is_forwarded(request)

    async def can_forward(
        self,
        request: blacksheep.Request,
        service: wire.Service,
        error: web.ApiError,
    ) -> bool:
        """Whether another entry may serve a request that failed here.

        It must not have run, and no target can be reached.
        """
        if (
            error.status != 503
            or error.execution_status is not web.ExecutionStatus.NOT_RUN
            or _is_forwarded(request)
        ):
            return False
        await self.paths.check()
        return service.name in self.paths.lost

    async def forward(
        self,
        request: blacksheep.Request,
        body: bytes,
        service: wire.Service,
        *,
        repeatable: bool,
        receive,
    ) -> blacksheep.Response:
        """Has another entry serve a request; returns its response.

        ``repeatable`` tells whether the caller may repeat the request if its
        outcome is unknown; ``receive`` is the ASGI callable, which reports
        when the caller disconnects.  Raises ApiError.
        """
        self.metrics.count("entry.forwarded")
        limit = service.timeout + EXTRA_SECONDS
        try:
            async with asyncio.timeout(limit):
                resp = await self._send(request, body, service)
                if resp.content_type != EVENT_STREAM.decode():
                    data = await clients.read_body(resp, MAX_RESPONSE_BYTES)
                    return _make_response(resp, data)
        except (engines.TargetLostError, TimeoutError) as exc:
            LOG.info("forwarding to another entry failed: {!r}", exc)
            raise _lost_error(exc, repeatable=repeatable) from None
        return blacksheep.Response(
            resp.status,
            _response_headers(resp),
            blacksheep.StreamedContent(
                EVENT_STREAM,
                functools.partial(_relay_events, resp, receive, limit),
            ),
        )

    async def _send(
        self, request: blacksheep.Request, body: bytes, service: wire.Service
    ) -> aiohttp.ClientResponse:
        """Sends a request to the best entry that can be connected to.

        Raises TargetLostError, and ApiError if there is no such entry.
        """
        path = request.scope["raw_path"].decode("latin-1")
        query = request.scope["query_string"].decode("latin-1")
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.headers
            if name.decode("latin-1").lower() not in _call.HOP_BY_HOP
        ]
        headers.append((_call.FORWARDED_BY, self.name))
        addresses = self._choose_peers(service)
        for address in addresses[:MAX_PEERS_TRIED]:
            try:
                return await self._client.send(
                    address=address,
                    method=request.method,
                    path=f"{path}?{query}" if query else path,
                    headers=headers,
                    body=body,
                    reuse_connection=False,
                )
            except engines.NotSentError as exc:
                LOG.info("entry {} not reached: {}", address, exc)
                self._failed_until[address] = (
                    time.monotonic() + PEER_BACKOFF_SECONDS
                )
        raise web.ApiError(
            status=503,
            code="no_path",
            message="this instance has no path to the targets of service"
            f" {service.name!r}",
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _choose_peers(self, service: wire.Service) -> list[str]:
        now = time.monotonic()
        self._failed_until = {
            address: until
            for address, until in self._failed_until.items()
            if until > now
        }
        addresses = [
            peer.address for peer in self.instances.with_path(service.name)
        ]
        addresses.sort(key=lambda address: address in self._failed_until)
        return addresses


def _is_forwarded(request: blacksheep.Request) -> bool:
    return request.get_first_header(_call.FORWARDED_BY.encode()) is not None


def _make_response(
    resp: aiohttp.ClientResponse, data: bytes
) -> blacksheep.Response:
    content_type = resp.headers.get(
        "Content-Type", "application/octet-stream"
    ).encode("latin-1")
    return blacksheep.Response(
        resp.status,
        _response_headers(resp),
        blacksheep.Content(content_type, data),
    )


def _response_headers(
    resp: aiohttp.ClientResponse,
) -> list[tuple[bytes, bytes]]:
    return [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in resp.headers.items()
        if name.lower() not in _call.HOP_BY_HOP
        and name.lower() != "content-type"
    ]


async def _relay_events(resp: aiohttp.ClientResponse, receive, limit: float):
    """Yields the bytes of a stream, and an error event if it breaks off.

    ``limit`` is the longest pause in seconds.
    """
    disconnect = asyncio.create_task(
        _close_on_disconnect(resp, receive), name="caller"
    )
    try:
        while True:
            async with asyncio.timeout(limit):
                data = await resp.content.readany()
            if not data:
                break
            yield data
        clients.check_complete(resp)
    except (
        aiohttp.ClientError,
        engines.TargetLostError,
        TimeoutError,
        OSError,
    ) as exc:
        if disconnect.done():
            return
        LOG.info("forwarded stream was broken off: {!r}", exc)
        error = _lost_error(exc, repeatable=True)
        yield b"data: " + error.to_json() + EVENT_END
    finally:
        disconnect.cancel()
        resp.close()


async def _close_on_disconnect(resp: aiohttp.ClientResponse, receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    # Ends the run at the other entry, too.
    resp.close()


def _lost_error(exc: BaseException, *, repeatable: bool) -> web.ApiError:
    if not repeatable:
        return _call.outcome_unknown_error(
            f"the instance that served the call was lost ({exc})"
        )
    return web.ApiError(
        status=502,
        code="peer_lost",
        message="the instance that the request was forwarded to was lost",
        execution_status=web.ExecutionStatus.UNKNOWN,
        retry_after=RETRY_AFTER_SECONDS,
    )
