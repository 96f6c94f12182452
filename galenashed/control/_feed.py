"""The configuration feed of a control replica to its entries."""

import asyncio
import time

from galenashed.control import _state_machine
from galenashed.protocol import control as wire

SIGN_OF_LIFE_SECONDS = 0.3
FORGET_FOLLOWER_SECONDS = 300.0


class Follower:
    """One entry's stream: what it has and what it is to be told."""

    __slots__ = (
        "connected",
        "index",
        "recalls",
        "replicas",
        "report",
        "routes_version",
        "seen",
        "suspects_due",
        "wake",
    )

    def __init__(self, *, report: wire.FollowReport):
        self.report = report
        self.index = report.index
        self.routes_version = report.routes_version
        self.seen = time.monotonic()
        self.connected = True
        self.recalls: set[str] = set()
        self.replicas: dict[str, str] = {}
        self.suspects_due = True
        self.wake = asyncio.Event()


class Feed:
    """Tells connected entries of releases, recalls and suspects.

    Parameters
    ----------
    state_machine : ControlStateMachine
        Its listener is set to this feed.
    contact_age : callable
        Returns the seconds since the replica was surely up to date.
    addresses : callable
        Returns the names and addresses of the replicas that vote.
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

    # What the state machine tells

    def on_release(self) -> None:
        """Wakes every stream."""
        for follower in self._followers.values():
            follower.wake.set()

    def on_recall(self, budget: str) -> None:
        """Asks the connected entries to return idle tokens of a budget."""
        for follower in self._followers.values():
            follower.recalls.add(budget)
            follower.wake.set()

    def on_suspects(self) -> None:
        """Has every stream send the suspected requests."""
        for follower in self._followers.values():
            follower.suspects_due = True
            follower.wake.set()

    # The streams

    async def serve(self, requests, context):
        """Serves one entry's stream; an async generator of events."""
        first = await anext(aiter(requests), None)
        if first is None:
            return
        follower = Follower(report=first)
        self._followers[first.name] = follower
        reader = asyncio.create_task(self._read(requests, follower))
        try:
            while not reader.done():
                yield self._next_event(follower)
                await self._pause(follower)
        finally:
            reader.cancel()
            follower.connected = False
            follower.seen = time.monotonic()

    async def _read(self, requests, follower: Follower) -> None:
        async for report in requests:
            follower.report = report
            follower.seen = time.monotonic()
        follower.wake.set()

    async def _pause(self, follower: Follower) -> None:
        try:
            async with asyncio.timeout(SIGN_OF_LIFE_SECONDS):
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
        """Returns which note each entry has in force."""
        now = time.monotonic()
        for name, follower in list(self._followers.items()):
            gone = not follower.connected
            if gone and now - follower.seen > FORGET_FOLLOWER_SECONDS:
                del self._followers[name]
        return [
            wire.FollowerStatus(
                name=follower.report.name,
                incarnation=follower.report.incarnation,
                note=follower.report.number,
                suspects=follower.report.suspects,
                seen_ago=now - follower.seen,
                connected=follower.connected,
            )
            for follower in self._followers.values()
        ]
