"""The task that tells the other entries what this one knows."""

import asyncio
import time

from galenashed import membership
from galenashed.protocol import links
from galenashed.protocol import methods
from galenashed.protocol import spread as wire
from galenashed import telemetry

SPREAD_SECONDS = 0.5
FORGET_SECONDS = 60.0


class Spreader:
    """Sends this entry's first-hand knowledge to every entry it knows.

    Parameters
    ----------
    instances, targets : Directory
        What is known; merged into by :meth:`receive`.
    describe : callable
        Returns this entry's own announcement, newer at each call.
    seeds : list of str
        ``ip:port`` of entries to begin with.
    key : str
        The peers' key.
    on_change : callable
        Called when a target's record has changed.
    """

    def __init__(self, *, instances, targets, describe, seeds, key, on_change):
        self.instances: membership.Directory = instances
        self.targets: membership.Directory = targets
        self.describe = describe
        self.seeds = seeds
        self.key = key
        self.on_change = on_change
        self._links: dict[str, links.StreamLink] = {}
        self._wanted: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task."""
        self._task = telemetry.start_task(self._run(), "spreader")

    async def close(self) -> None:
        """Stops the task and closes the links."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for link in self._links.values():
            await link.close()

    def notify(self) -> None:
        """Has the present state told at once."""
        self._wake.set()

    def announce(self, target: wire.Target) -> None:
        """Takes an announcement from the target itself."""
        held = self.targets.get(target.name)
        changed = held is None or held.state != target.state
        if self.targets.merge(target, now=time.monotonic(), direct=True):
            self.on_change(target)
            if changed:
                self.notify()

    def receive(self, message: wire.Spread) -> None:
        """Takes what another entry knows."""
        now = time.monotonic()
        self.instances.merge(message.sender, now=now, direct=False)
        for target in message.targets:
            if self.targets.merge(target, now=now, direct=False):
                self.on_change(target)

    def _peers(self, own: wire.Instance) -> set[str]:
        now = time.monotonic()
        known = {peer.peer_address for peer in self.instances.alive(now)}
        return (known | set(self.seeds)) - {own.peer_address}

    async def _run(self) -> None:
        while True:
            now = time.monotonic()
            own = self.describe()
            message = wire.Spread(
                sender=own, targets=self.targets.first_hand(now)
            )
            for address in self._peers(own):
                self._wanted[address] = now
                link = await self._link(address)
                link.send_only(message)
            await self._drop_old_links(now)
            self.targets.expire(now)
            self.instances.expire(now)
            try:
                async with asyncio.timeout(SPREAD_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _link(self, address: str) -> links.StreamLink:
        link = self._links.get(address)
        if link is None:
            link = links.StreamLink(
                name=address,
                address=address,
                key=self.key,
                method=methods.SPREAD,
                max_queued=1,
            )
            self._links[address] = link
            link.start()
        return link

    async def _drop_old_links(self, now: float) -> None:
        """Closes the links to entries that have been gone for long."""
        for address, wanted in list(self._wanted.items()):
            if now - wanted > FORGET_SECONDS:
                del self._wanted[address]
                await self._links.pop(address).close()
