"""Tells other entries where streams began, and asks them.

A caller takes a stream that broke off up again at any entry of its region,
also after the entry that began it was killed or has frozen.  A hash of the
request's id selects the few entries that are told of its first event; the same
hash finds them again.  They are told in batches: of a stream whose entry is
lost before, no entry knows the beginning, and it is not continued unless only
one version can have begun it.

While targets of several versions serve, others are told right after the first
event.  While all have had one version, two entries of the own failure domain
are told of the streams that are still open after a moment: any entry can tell
where a stream began until another version appears, and this one may be lost by
then.  If it is not, it tells the others as well.
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
# Entries of the own failure domain that are told while there is one version.
NEAR_HOLDERS = 2
# The first by the hash in each failure domain, as one of the two may be gone.
ASKED_IN_DOMAIN = 3
# Entries that are asked: more than were told, as entries that have started
# since then take places among the first by the hash.
MAX_ASKED = 8
# Entries of a region that may be holders, which bounds the connections.
MAX_CANDIDATES = 32
MAX_NEAR_CANDIDATES = 8
# Most streams end before, and need no record elsewhere.
TELL_AFTER_SECONDS = 0.5
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
    region, domain : str
        Its region, whose entries are told and asked, and its failure domain.
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
        domain: str,
        directory: membership.Directory,
        key: str,
        sees_all_targets,
        has_versions: typing.Callable[[str], bool],
        versions: _versions.VersionRecorder,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
    ):
        self.name = name
        self.region = region
        self.domain = domain
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
        # By request, oldest first: origins that entries of the own failure
        # domain are told of at a monotonic time.
        self._due: dict[str, tuple[float, wire.StreamOrigin]] = {}
        self._candidates = _Candidates()
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
            now = time.monotonic()
            self._untold.append((now + origin.keep_seconds, origin))
            self._due[origin.request] = (now + TELL_AFTER_SECONDS, origin)

    def end(self, request: str) -> None:
        """See :class:`galenashed.gateway.OriginFinder`."""
        self._due.pop(request, None)

    def _others_need(self, services: set[str]) -> set[str]:
        """Returns the services of whose streams others have to be told."""
        if not self.sees_all_targets():
            return services
        return {name for name in services if self.has_versions(name)}

    def _tell(self, origin: wire.StreamOrigin) -> None:
        self._due.pop(origin.request, None)
        self._send_to(self._choose(origin.request, HOLDERS), origin)

    def _send_to(
        self,
        holders: list[gossip_wire.Instance],
        origin: wire.StreamOrigin,
    ) -> None:
        for holder in holders:
            self._batches.setdefault(holder.peer_address, []).append(origin)
        if self._batches:
            self._wake.set()

    def _tell_near(self) -> None:
        """Tells entries of the own domain of streams that are still open."""
        now = time.monotonic()
        while self._due:
            request = next(iter(self._due))
            due_at, origin = self._due[request]
            if due_at > now:
                return
            del self._due[request]
            near = _first(
                self._find_candidates().by_domain.get(self.domain, []),
                request,
                NEAR_HOLDERS,
            )
            others = self._choose(request, NEAR_HOLDERS)
            others = [entry for entry in others if entry not in near]
            self._send_to([*near, *others][:NEAR_HOLDERS], origin)

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
        return _first(self._find_candidates().all, request, count)

    def _choose_asked(self, request: str) -> list[gossip_wire.Instance]:
        """Returns the entries that may have been told of a stream."""
        asked = self._choose(request, MAX_ASKED)
        for near in self._find_candidates().by_domain.values():
            asked += [
                entry
                for entry in _first(near, request, ASKED_IN_DOMAIN)
                if entry not in asked
            ]
        return asked

    def _find_candidates(self) -> "_Candidates":
        """Returns the entries that may be holders, as of a moment ago."""
        now = time.monotonic()
        if now - self._candidates.at >= CHECK_SECONDS:
            entries = [
                entry
                for entry in self.directory.alive(now)
                if entry.name != self.name
                and entry.region == self.region
                and entry.state != "draining"
            ]
            self._candidates = _Candidates(
                at=now, entries=entries, own=(self.name, self.domain)
            )
        return self._candidates

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_SECONDS):
                    await self._wake.wait()
            self._tell_kept()
            self._tell_near()
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
        asked = self._choose_asked(request)
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


class _Candidates:
    """Entries that may be holders, in all and by failure domain.

    ``own`` is name and domain of this entry, which takes a place that stays
    empty: all entries choose among the same ones.
    """

    __slots__ = ("all", "at", "by_domain")

    def __init__(
        self,
        *,
        at: float = float("-inf"),
        entries: typing.Iterable[gossip_wire.Instance] = (),
        own: tuple[str, str] = ("", ""),
    ):
        self.at = at
        own_name, own_domain = own
        by_name = {entry.name: entry for entry in entries}
        names = sorted([*by_name, own_name], key=_hash)
        self.all = [
            by_name[name]
            for name in names[:MAX_CANDIDATES]
            if name != own_name
        ]
        self.by_domain: dict[str, list[gossip_wire.Instance]] = {}
        places = collections.Counter[str]()
        for name in names:
            entry = by_name.get(name)
            domain = own_domain if entry is None else entry.failure_domain
            places[domain] += 1
            if entry is not None and places[domain] <= MAX_NEAR_CANDIDATES:
                self.by_domain.setdefault(domain, []).append(entry)


def _first(
    entries: list[gossip_wire.Instance], request: str, count: int
) -> list[gossip_wire.Instance]:
    """Returns the first entries by the hash of a request's id."""
    return heapq.nsmallest(
        count, entries, key=lambda entry: _hash(f"{request}#{entry.name}")
    )


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
