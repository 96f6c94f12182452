"""Streams configuration changes from a control replica to entries."""

import asyncio
import math
import time

from galenashed.control import _state_machine
from galenashed.protocol import control as wire

KEEPALIVE_INTERVAL_SECONDS = 0.3
STREAM_RETENTION_SECONDS = 300.0


class EntryStream:
    """State of the stream to one entry: what it has and what is unsent."""

    __slots__ = (
        "connected",
        "evacuations",
        "index",
        "last_seen",
        "quarantine_due",
        "recalls",
        "replicas",
        "report",
        "routes_version",
        "suspects_due",
        "wake",
    )

    def __init__(self, *, report: wire.FollowReport):
        self.report = report
        self.index = report.index
        self.routes_version = report.routes_version
        # Log index of the evacuated domains that the entry has.
        self.evacuations = report.evacuations or 0
        self.last_seen = time.monotonic()
        self.connected = True
        self.recalls: set[str] = set()
        self.replicas: dict[str, str] = {}
        self.suspects_due = True
        self.quarantine_due = True
        self.wake = asyncio.Event()


class Feed:
    """Sends releases, recalls and suspected requests to connected entries.

    Parameters
    ----------
    state_machine : ControlStateMachine
        The feed registers itself as its listener.
    contact_age : callable
        Returns the seconds since the replica was last known to be up to date,
        infinite if it has not been since it started.
    addresses : callable
        Returns the names and addresses of the voting replicas.
    """

    def __init__(
        self,
        *,
        state_machine: _state_machine.ControlStateMachine,
        contact_age,
        addresses,
    ):
        self.state_machine = state_machine
        self.contact_age = contact_age
        self.addresses = addresses
        self._streams: dict[str, EntryStream] = {}
        state_machine.listener = self

    # Callbacks of the state machine

    def on_release(self) -> None:
        """Wakes every stream, so that it sends the new release."""
        for stream in self._streams.values():
            stream.wake.set()

    def on_recall(self, budget: str) -> None:
        """Asks the connected entries to return unused tokens of a budget."""
        for stream in self._streams.values():
            stream.recalls.add(budget)
            stream.wake.set()

    def on_suspects(self) -> None:
        """Makes every stream send the suspected requests."""
        for stream in self._streams.values():
            stream.suspects_due = True
            stream.wake.set()

    def on_quarantine(self) -> None:
        """Makes every stream send the quarantine."""
        for stream in self._streams.values():
            stream.quarantine_due = True
            stream.wake.set()

    def on_evacuations(self) -> None:
        """Wakes every stream, so that it sends the evacuated domains."""
        for stream in self._streams.values():
            stream.wake.set()

    # Streams to entries

    async def serve(self, requests, context):
        """Serves the stream of one entry; yields its events."""
        first_report = await anext(aiter(requests), None)
        if first_report is None:
            return
        stream = EntryStream(report=first_report)
        self._streams[first_report.name] = stream
        reader = asyncio.create_task(self._read_reports(requests, stream))
        try:
            while not reader.done():
                yield self._next_event(stream)
                await self._wait_for_wake(stream)
        finally:
            reader.cancel()
            stream.connected = False
            stream.last_seen = time.monotonic()

    async def _read_reports(self, requests, stream: EntryStream) -> None:
        async for report in requests:
            stream.report = report
            stream.last_seen = time.monotonic()
        stream.wake.set()

    async def _wait_for_wake(self, stream: EntryStream) -> None:
        try:
            async with asyncio.timeout(KEEPALIVE_INTERVAL_SECONDS):
                await stream.wake.wait()
        except TimeoutError:
            pass
        stream.wake.clear()

    def _next_event(self, stream: EntryStream) -> wire.FollowEvent:
        age = self.contact_age()
        replicas = None
        addresses = self.addresses()
        if addresses != stream.replicas:
            replicas = addresses
        if math.isinf(age):
            # The state may be older than what entries have seen before, so
            # the replicas are sent again once it is not.
            return wire.FollowEvent(age=age, replicas=replicas)
        stream.replicas = addresses
        release = None
        notes = self.state_machine.notes_after(stream.index)
        if notes is None:
            release = self.state_machine.state.release
            notes = []
        stream.index = max(
            stream.index, self.state_machine.state.release.index
        )
        routes = None
        if self.state_machine.state.routes.version > stream.routes_version:
            routes = self.state_machine.state.routes
            stream.routes_version = routes.version
        evacuations = None
        if self.state_machine.state.evacuations_index > stream.evacuations:
            evacuations = self.state_machine.evacuated_domains()
            stream.evacuations = evacuations.index
        suspects = None
        if stream.suspects_due:
            stream.suspects_due = False
            suspects = self.state_machine.suspects()
        quarantine = None
        if stream.quarantine_due:
            stream.quarantine_due = False
            quarantine = self.state_machine.quarantine()
        recalls, stream.recalls = sorted(stream.recalls), set()
        return wire.FollowEvent(
            age=age,
            release=release,
            notes=notes,
            recalls=recalls,
            suspects=suspects,
            quarantine=quarantine,
            replicas=replicas,
            routes=routes,
            evacuations=evacuations,
        )

    @property
    def connected_count(self) -> int:
        """The number of entries that follow this replica now."""
        return sum(stream.connected for stream in self._streams.values())

    def statuses(self) -> list[wire.FollowerStatus]:
        """Returns the status of each entry that follows this replica."""
        now = time.monotonic()
        for name, stream in list(self._streams.items()):
            disconnected = not stream.connected
            if (
                disconnected
                and now - stream.last_seen > STREAM_RETENTION_SECONDS
            ):
                del self._streams[name]
        return [
            wire.FollowerStatus(
                name=stream.report.name,
                incarnation=stream.report.incarnation,
                note=stream.report.number,
                suspects=stream.report.suspects,
                seen_ago=now - stream.last_seen,
                connected=stream.connected,
                understands_evacuations=stream.report.evacuations is not None,
            )
            for stream in self._streams.values()
        ]
