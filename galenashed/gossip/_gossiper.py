"""The task that tells other entries what this one knows."""

import asyncio
import random
import time

import loguru

from galenashed.gossip import _core
from galenashed import membership
from galenashed.protocol import links
from galenashed.protocol import methods
from galenashed.protocol import spread as wire
from galenashed import telemetry

LOG = loguru.logger

SPREAD_SECONDS = 0.5
# News that comes in a burst goes out together: each is told in a few rounds
# only, which must not pass while links are still being made.
LEAST_GAP_SECONDS = 0.05
FORGET_SECONDS = 10.0


class Gossiper:
    """Passes news of instances and targets on to a few other entries.

    Parameters
    ----------
    instances, targets : Directory
        What is known; merged into by :meth:`receive`.
    describe : callable
        Returns this entry's own announcement, newer at each call.
    name : str
        This entry.
    seeds : list of str
        ``ip:port`` of entries to begin with.
    key : str
        The peers' key.
    on_change : callable
        Called when a target's record has changed.
    rng : random.Random
        Draws the partners.
    """

    def __init__(
        self,
        *,
        name: str,
        instances: membership.Directory,
        targets: membership.Directory,
        describe,
        seeds: list[str],
        key: str,
        on_change,
        rng: random.Random,
    ):
        self.describe = describe
        self.key = key
        self._core = _core.Gossip(
            name=name,
            instances=instances,
            targets=targets,
            seeds=seeds,
            on_change=on_change,
            rng=rng,
        )
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

    def set_seeds(self, seeds: list[str]) -> None:
        """Takes other entries to begin with."""
        self._core.seeds = seeds

    def notify(self) -> None:
        """Has the present state told at once."""
        self._wake.set()

    def announce(self, target: wire.Target) -> None:
        """Takes an announcement from the target itself."""
        self._core.announce(target, time.monotonic())
        self._wake_if_urgent()

    def receive(self, message: wire.Spread) -> None:
        """Takes what another entry knows."""
        self._core.receive(message, time.monotonic())
        self._wake_if_urgent()

    def _wake_if_urgent(self) -> None:
        if self._core.urgent:
            self._wake.set()

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            now = time.monotonic()
            for address, message in self._core.round(self.describe(), now):
                self._link(address, now).send(message)
            await self._drop_old_links(now)
            await asyncio.sleep(LEAST_GAP_SECONDS)
            try:
                async with asyncio.timeout(SPREAD_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _link(self, address: str, now: float) -> links.StreamLink:
        self._wanted[address] = now
        link = self._links.get(address)
        if link is None:
            link = links.StreamLink(
                name=address,
                address=address,
                key=self.key,
                method=methods.SPREAD,
                max_queued=8,
            )
            self._links[address] = link
            link.start()
        return link

    async def _drop_old_links(self, now: float) -> None:
        """Closes the links to entries that are no partners any more."""
        for address, wanted in list(self._wanted.items()):
            if now - wanted > FORGET_SECONDS:
                del self._wanted[address]
                await self._links.pop(address).close()
