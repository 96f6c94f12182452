"""Tells other entries where streams began, and asks them.

A caller takes a stream that broke off up again at any entry of its region,
also after the entry that began it was killed.  A hash of the request's id
selects the few entries that are told of its first event; the same hash finds
them again.  They are told right after the event, in batches: of a stream whose
entry is killed in between, no entry knows the beginning, and it is not
continued unless only one version can have begun it.

While all targets of a service have had one version, every entry knows where
its streams began, and none is told.  Once another version appears, or this
entry can't tell any more, others are told of the streams kept so far.
"""

import asyncio
import collections
import contextlib
import heapq
import time
import typing

import loguru
import xxhash

from galenashed import gateway
from galenashed import membership
from galenashed.node import _versions
from galenashed.protocol import gossip as gossip_wire
from galenashed.protocol import links
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed.protocol import streams as wire
from galenashed import telemetry

LOG = loguru.logger

# Entries that are told of a stream.  With two fifths of all entries killed at
# once, all four are lost for one stream in forty.
HOLDERS = 4
# Entries that are asked: more than were told, as entries that have started
# since then take places among the first by the hash.
MAX_ASKED = 8
# Entries of a region that may be holders, which bounds the connections.
MAX_CANDIDATES = 32
BATCH_SECONDS = 0.05
# Between two checks whether others have to be told of the streams kept.
CHECK_SECONDS = 0.25
# Several round trips between failure domains of one region.
QUERY_TIMEOUT_SECONDS = 0.2
MAX_QUEUED_BATCHES = 8


class OriginExchange:
    """Records the origins of streams here and at a few other entries.

    Implements :class:`galenashed.gateway.OriginFinder`.

    Parameters
    ----------
    name : str
        Name of this entry.
    region : str
        Its region, whose entries are told and asked.
    directory : Directory
        Lists the other entries.
    key : str
        Key that all nodes share.
    sees_all_targets : callable
        Returns whether this entry most likely knows every target.
    versions : VersionRecorder
        Records the versions of targets.
    has_versions : callable
        Returns whether the targets of a service have had several versions.
    log : DecisionLog
        Receives a line for each question and each contradiction.
    """

    def __init__(
        self,
        *,
        name: str,
        region: str,
        directory: membership.Directory,
        key: str,
        sees_all_targets,
        has_versions: typing.Callable[[str], bool],
        versions: _versions.VersionRecorder,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
    ):
        self.name = name
        self.region = region
        self.directory = directory
        self.sees_all_targets = sees_all_targets
        self.has_versions = has_versions
        self.versions = versions
        self.log = log
        self.records = gateway.OriginRecords()
        self._batches: dict[str, list[wire.StreamOrigin]] = {}
        # Origins that others need not know yet, oldest first, with the
        # monotonic time until which they are kept.
        self._untold: collections.deque[tuple[float, wire.StreamOrigin]] = (
            collections.deque(maxlen=gateway.MAX_ORIGIN_RECORDS)
        )
        self._wake = asyncio.Event()
        self._links = links.LinkPool(
            key=key,
            method=methods.RECORD_ORIGINS,
            max_queued=MAX_QUEUED_BATCHES,
        )
        self._channels = rpc.ChannelPool(key=key)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that sends batches."""
        self._task = telemetry.start_task(self._run(), "stream origins")

    async def close(self) -> None:
        """Stops the task and closes all connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._links.close()
        await self._channels.close()

    def record(self, origin: wire.StreamOrigin) -> None:
        """See :class:`galenashed.gateway.OriginFinder`."""
        self._add(origin)
        if self._others_need({origin.service}):
            self._tell(origin)
        else:
            keep_until = time.monotonic() + origin.keep_seconds
            self._untold.append((keep_until, origin))

    def _others_need(self, services: set[str]) -> set[str]:
        """Returns the services of whose streams others have to be told."""
        if not self.sees_all_targets():
            return services
        return {name for name in services if self.has_versions(name)}

    def _tell(self, origin: wire.StreamOrigin) -> None:
        for holder in self._choose(origin.request, HOLDERS):
            self._batches.setdefault(holder.peer_address, []).append(origin)
        if self._batches:
            self._wake.set()

    def _tell_kept(self) -> None:
        """Tells others of origins that they need to know by now."""
        now = time.monotonic()
        while self._untold and self._untold[0][0] <= now:
            self._untold.popleft()
        if not self._untold:
            return
        needed = self._others_need({item.service for _, item in self._untold})
        if not needed:
            return
        for _ in range(len(self._untold)):
            keep_until, origin = self._untold.popleft()
            if origin.service in needed:
                self._tell(origin)
            else:
                self._untold.append((keep_until, origin))

    def _add(self, origin: wire.StreamOrigin) -> None:
        if not self.records.add(origin, time.monotonic()):
            self.log.write(
                "stream origin contradicted",
                request=origin.request,
                service=origin.service,
                version=origin.version,
            )

    def _choose(self, request: str, count: int) -> list[gossip_wire.Instance]:
        """Returns the first other entries by the hash of a request's id."""
        entries = [
            entry
            for entry in self.directory.alive(time.monotonic())
            if entry.name != self.name
            and entry.region == self.region
            and entry.state != "draining"
        ]
        if len(entries) > MAX_CANDIDATES:
            entries = heapq.nsmallest(
                MAX_CANDIDATES, entries, key=lambda entry: _hash(entry.name)
            )
        return heapq.nsmallest(
            count, entries, key=lambda entry: _hash(f"{request}#{entry.name}")
        )

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_SECONDS):
                    await self._wake.wait()
            self._tell_kept()
            if not self._batches:
                continue
            await asyncio.sleep(BATCH_SECONDS)
            self._wake.clear()
            batches, self._batches = self._batches, {}
            now = time.monotonic()
            for address, origins in batches.items():
                self._links.get(address, now).send(origins)
            await self._links.close_idle(now)

    async def receive(self, requests, context) -> bool:
        """Handles a stream of batches of another entry."""
        async for batches in requests:
            for origins in batches:
                for origin in origins:
                    self._add(origin)
        return True

    async def find(self, request: str) -> wire.StreamOrigin | None:
        """See :class:`galenashed.gateway.OriginFinder`."""
        origin = self.records.get(request, time.monotonic())
        if origin is not None:
            return origin
        asked = self._choose(request, MAX_ASKED)
        queries = [
            asyncio.create_task(
                self._ask(entry.peer_address, request), name="stream origin"
            )
            for entry in asked
        ]
        try:
            for query in asyncio.as_completed(queries):
                origin = await query
                if origin is not None:
                    return origin
        finally:
            for task in queries:
                task.cancel()
        self.log.write(
            "stream origin unknown",
            request=request,
            asked=[entry.name for entry in asked],
        )
        return None

    async def _ask(
        self, address: str, request: str
    ) -> wire.StreamOrigin | None:
        try:
            reply = await self._channels.get(address).call(
                methods.FIND_ORIGIN,
                wire.OriginQuery(request=request),
                timeout=QUERY_TIMEOUT_SECONDS,
            )
        except rpc.RpcError as exc:
            LOG.debug("stream origin query to {}: {}", address, exc.code())
            return None
        return reply.origin

    def may_begin(self, service: str, version: str) -> bool:
        """See :class:`galenashed.gateway.OriginFinder`."""
        return self.versions.is_recorded(service, version)

    async def find_versions(
        self, service: str, max_age: float
    ) -> set[str] | None:
        """See :class:`galenashed.gateway.OriginFinder`."""
        return await self.versions.find(service, max_age)

    async def answer(
        self, query: wire.OriginQuery, context
    ) -> wire.OriginReply:
        """Handles the question of another entry."""
        origin = self.records.get(query.request, time.monotonic())
        return wire.OriginReply(origin=origin)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
