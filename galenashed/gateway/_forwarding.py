"""Forwards requests to another entry, if this one has no path to targets.

The other entry admits, reserves, routes and bills the request like one of its
own callers', and does not forward it again.  This entry relays the response
unchanged.  A request that was sent to another entry is not repeated here: it
may have run.
"""

import asyncio
import time
import typing

from galenashed import engines
from galenashed.gateway import _refusals
from galenashed.gateway import _request
from galenashed.protocol import routes as wire
from galenashed import telemetry
from galenashed import web

# A peer is one round trip away, or gone.
CONNECT_TIMEOUT_SECONDS = 0.25
MAX_PEERS_TRIED = 3
# Time for which an entry that could not be connected to is tried last.
PEER_BACKOFF_SECONDS = 2.0
# Retry-After if this entry can't pass a request on: other entries may serve
# it at once, unless all have lost their paths.
RETRY_OTHER_ENTRY_SECONDS = 0.1
RETRY_SERVICE_SECONDS = 0.5


class PeerFinder(typing.Protocol):
    """Knows the other entries."""

    def entries_with_path(
        self, service: str, regions: frozenset[str] | None
    ) -> list[str]:
        """Returns the addresses of entries that reach a service.

        They are in one of the regions, anywhere if None.  The best one comes
        first.
        """

    async def any_reaches(self, address: str) -> bool:
        """Whether some other entry can connect to a target."""


class PeerForwarder:
    """Forwards requests to other entries.

    Parameters
    ----------
    paths : Paths
        Tells which services this entry can't reach.
    peers : PeerFinder
        Finds the entries that can.
    codec : TargetCodec
        Encodes the requests for them.
    log : DecisionLog
        Receives a line for each request.
    metrics : Metrics
        Counts the requests.
    """

    def __init__(
        self,
        *,
        paths: engines.Paths,
        peers: PeerFinder,
        codec: _request.TargetCodec,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
        metrics: telemetry.Metrics,
    ):
        self.paths = paths
        self.peers = peers
        self.codec = codec
        self.log = log
        self.metrics = metrics
        self._pool = engines.ConnectionPool(
            connect_timeout=CONNECT_TIMEOUT_SECONDS
        )
        # Until when addresses that failed are tried last.
        self._failed_until: dict[str, float] = {}

    async def close(self) -> None:
        """Closes the idle connections to other entries."""
        await self._pool.close()

    def is_needed(self, request: _request.Request, service: str) -> bool:
        """Whether a request should be served by another entry."""
        return service in self.paths.lost and not request.forwarded

    async def forward(
        self,
        request: _request.Request,
        route: wire.Route,
        service: str,
        writer: _request.ResponseWriter,
        deadline: float,
        regions: frozenset[str] | None,
    ) -> int:
        """Has another entry serve a request; returns its status.

        ``deadline`` is on the monotonic clock.  The entry is in one of the
        ``regions``, anywhere if None.  Raises ApiError if the
        request fails before a response has started; aborts it after that and
        returns 0.
        """
        sent = started = False
        try:
            async with asyncio.timeout(deadline - time.monotonic()):
                conn = await self._connect(request, route, service, regions)
                sent = True
                try:
                    conn.send(
                        self.codec.encode_forwarded(
                            request, deadline - time.monotonic()
                        ),
                        no_response_body=request.method == "HEAD",
                    )
                    head = await conn.head()
                    started = True
                    await writer.start(head, with_content_length=True)
                    while data := await conn.read():
                        await writer.write(data)
                    await writer.finish()
                finally:
                    self._pool.release(conn)
        except (engines.TargetLostError, TimeoutError) as exc:
            self.log.write(
                "forwarding failed",
                request=request.id,
                started=started,
                reason=repr(exc),
            )
            if started:
                writer.abort()
                return 0
            raise _lost_error(exc, sent=sent) from None
        self.log.write(
            "forwarded",
            request=request.id,
            peer=conn.address,
            status=head.status,
            after=round(time.monotonic() - request.arrived_at, 4),
        )
        return head.status

    async def _connect(
        self,
        request: _request.Request,
        route: wire.Route,
        service: str,
        regions: frozenset[str] | None,
    ) -> engines.Connection:
        """Returns a connection to an entry that reaches a service.

        Raises ApiError if there is none.
        """
        self.metrics.count("gateway.forwarded")
        now = time.monotonic()
        self._failed_until = {
            address: until
            for address, until in self._failed_until.items()
            if until > now
        }
        peers = self.peers.entries_with_path(service, regions)
        peers.sort(key=lambda address: address in self._failed_until)
        for address in peers[:MAX_PEERS_TRIED]:
            try:
                return await self._pool.acquire(
                    address, new_connection=not route.repeatable
                )
            except engines.NotSentError as exc:
                self._failed_until[address] = now + PEER_BACKOFF_SECONDS
                self.log.write(
                    "peer not reached", request=request.id, reason=str(exc)
                )
        raise web.ApiError(
            status=503,
            code="no_path",
            message=f"this instance has no path to service {service!r}",
            retry_after=(
                RETRY_OTHER_ENTRY_SECONDS if peers else RETRY_SERVICE_SECONDS
            ),
        )


def _lost_error(exc: Exception, *, sent: bool) -> web.ApiError:
    if isinstance(exc, TimeoutError):
        return _refusals.timeout_error(may_have_run=sent)
    return web.ApiError(
        status=502,
        code="peer_lost",
        message="the instance that the request was forwarded to was lost",
        execution_status=web.ExecutionStatus.UNKNOWN,
    )
