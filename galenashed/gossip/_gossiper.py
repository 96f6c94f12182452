"""Background task that gossips with other entries."""

import asyncio
import random
import time

import loguru

from galenashed.gossip import _core
from galenashed.gossip import _pauses
from galenashed import membership
from galenashed.protocol import gossip as wire
from galenashed.protocol import links
from galenashed.protocol import methods
from galenashed import routing
from galenashed import telemetry

LOG = loguru.logger

# Minimum time between rounds.  It groups the updates of a burst, and prevents
# the few rounds in which an update is sent from all ending before new
# connections are open.
MIN_GAP_SECONDS = 0.05
MAX_QUEUED_MESSAGES = 8


class Gossiper:
    """Gossips the state of instances and targets to a few other entries.

    Parameters
    ----------
    instances, targets : Directory
        Known instances and targets, updated by :meth:`receive`.
    describe : callable
        Returns a new announcement of this entry at each call.
    name : str
        Name of this entry.
    seeds : list of str
        ``ip:port`` of the entries to contact first.
    key : str
        Key that entries authenticate with.
    on_change : callable
        Called with each newer announcement of a target.
    rng : random.Random
        Draws the peers to send to.
    limits : TargetLimits or None
        Limits of targets, exchanged with every message.
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
        limits: routing.TargetLimits | None = None,
    ):
        self.describe = describe
        self._core = _core.Gossip(
            name=name,
            instances=instances,
            targets=targets,
            seeds=seeds,
            on_change=on_change,
            rng=rng,
            limits=limits,
        )
        self._links: dict[type, links.LinkPool] = {
            kind: links.LinkPool(
                key=key, method=method, max_queued=MAX_QUEUED_MESSAGES
            )
            for kind, method in (
                (wire.GossipMessage, methods.SPREAD),
                (wire.CompactMessage, methods.SPREAD_COMPACT),
            )
        }
        self._pauses = _pauses.Pauses()
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
        for pool in self._links.values():
            await pool.close()

    @property
    def link_count(self) -> int:
        """The number of open links to other entries."""
        return sum(map(len, self._links.values()))

    @property
    def kind(self) -> str:
        """``compact``, or ``full`` while an entry of an older version runs."""
        return self._core.kind

    def set_seeds(self, seeds: list[str]) -> None:
        """Replaces the seeds."""
        self._core.seeds = seeds

    def trigger_round(self) -> None:
        """Triggers a round without waiting for the interval."""
        self._wake.set()

    def announce(self, target: wire.Target) -> None:
        """Merges an announcement received from the target itself."""
        self._core.announce(target, time.monotonic())
        self._wake_if_urgent()

    def receive(
        self, message: wire.GossipMessage | wire.CompactMessage
    ) -> None:
        """Merges a gossip message of another entry."""
        now = time.monotonic()
        self._core.receive(message, now, delay=self._pauses.max_delay(now))
        self._wake_if_urgent()

    def _wake_if_urgent(self) -> None:
        if self._core.urgent:
            self._wake.set()

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            now = time.monotonic()
            self._pauses.update(now)
            for address, message in self._core.next_messages(
                self.describe(), now
            ):
                self._links[type(message)].get(address, now).send(message)
            for pool in self._links.values():
                await pool.close_idle(now)
            await asyncio.sleep(MIN_GAP_SECONDS)
            try:
                async with asyncio.timeout(
                    self._core.round_seconds - MIN_GAP_SECONDS
                ):
                    await self._wake.wait()
            except TimeoutError:
                pass
