"""Streams configuration changes from a control replica to entries."""

import asyncio
import time

from galenashed.control import _state_machine
from galenashed.protocol import control as wire

KEEPALIVE_INTERVAL_SECONDS = 0.3
FOLLOWER_RETENTION_SECONDS = 300.0


class Follower:
    """State of the stream to one entry: what it has and what is unsent."""

    __slots__ = (
        "connected",
        "index",
        "last_seen",
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
        self.last_seen = time.monotonic()
        self.connected = True
        self.recalls: set[str] = set()
        self.replicas: dict[str, str] = {}
        self.suspects_due = True
        self.wake = asyncio.Event()


class Feed:
    """Sends releases, recalls and suspected requests to connected entries.

    Parameters
    ----------
    state_machine : ControlStateMachine
        The feed registers itself as its listener.
    contact_age : callable
        Returns the seconds since the replica was last known to be up to date.
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
        self._followers: dict[str, Follower] = {}
        state_machine.listener = self

    # Callbacks of the state machine

    def on_release(self) -> None:
        """Wakes every stream, so that it sends the new release."""
        for follower in self._followers.values():
            follower.wake.set()

    def on_recall(self, budget: str) -> None:
        """Asks the connected entries to return unused tokens of a budget."""
        for follower in self._followers.values():
            follower.recalls.add(budget)
            follower.wake.set()

    def on_suspects(self) -> None:
        """Makes every stream send the suspected requests."""
        for follower in self._followers.values():
            follower.suspects_due = True
            follower.wake.set()

    # Streams to entries

    async def serve(self, requests, context):
        """Serves the stream of one entry; yields its events."""
        first_report = await anext(aiter(requests), None)
        if first_report is None:
            return
        follower = Follower(report=first_report)
        self._followers[first_report.name] = follower
        reader = asyncio.create_task(self._read_reports(requests, follower))
        try:
            while not reader.done():
                yield self._next_event(follower)
                await self._wait_for_wake(follower)
        finally:
            reader.cancel()
            follower.connected = False
            follower.last_seen = time.monotonic()

    async def _read_reports(self, requests, follower: Follower) -> None:
        async for report in requests:
            follower.report = report
            follower.last_seen = time.monotonic()
        follower.wake.set()

    async def _wait_for_wake(self, follower: Follower) -> None:
        try:
            async with asyncio.timeout(KEEPALIVE_INTERVAL_SECONDS):
                await follower.wake.wait()
        except TimeoutError:
            pass
        follower.wake.clear()

    def _next_event(self, follower: Follower) -> wire.FollowEvent:
        release = None
        notes = self.state_machine.notes_after(follower.index)
        if notes is None:
            release = self.state_machine.state.release
            notes = []
        follower.index = max(
            follower.index, self.state_machine.state.release.index
        )
        routes = None
        if self.state_machine.state.routes.version > follower.routes_version:
            routes = self.state_machine.state.routes
            follower.routes_version = routes.version
        suspects = None
        if follower.suspects_due:
            follower.suspects_due = False
            suspects = self.state_machine.suspects()
        replicas = None
        addresses = self.addresses()
        if addresses != follower.replicas:
            follower.replicas = replicas = addresses
        recalls, follower.recalls = sorted(follower.recalls), set()
        return wire.FollowEvent(
            age=self.contact_age(),
            release=release,
            notes=notes,
            recalls=recalls,
            suspects=suspects,
            replicas=replicas,
            routes=routes,
        )

    def statuses(self) -> list[wire.FollowerStatus]:
        """Returns the status of each entry that follows this replica."""
        now = time.monotonic()
        for name, follower in list(self._followers.items()):
            disconnected = not follower.connected
            if (
                disconnected
                and now - follower.last_seen > FOLLOWER_RETENTION_SECONDS
            ):
                del self._followers[name]
        return [
            wire.FollowerStatus(
                name=follower.report.name,
                incarnation=follower.report.incarnation,
                note=follower.report.number,
                suspects=follower.report.suspects,
                seen_ago=now - follower.last_seen,
                connected=follower.connected,
            )
            for follower in self._followers.values()
        ]
