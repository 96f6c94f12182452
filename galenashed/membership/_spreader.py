"""The task that tells the other entries what this one knows."""

import asyncio
import time

import loguru

from galenashed.membership import _directory
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed.protocol import spread as wire

LOG = loguru.logger

SPREAD_SECONDS = 0.5
CALL_TIMEOUT_SECONDS = 1.0


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
        self.instances: _directory.Directory = instances
        self.targets: _directory.Directory = targets
        self.describe = describe
        self.seeds = seeds
        self.key = key
        self.on_change = on_change
        self._channels: dict[str, rpc.Channel] = {}
        self._busy: set[str] = set()
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._calls: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts the task."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stops the task and closes the channels."""
        tasks = list(self._calls)
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for channel in self._channels.values():
            await channel.close()

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
            peers = self._peers(own)
            message = wire.Spread(
                sender=own,
                targets=self.targets.first_hand(now),
                known=sorted(peers),
            )
            for address in peers - self._busy:
                self._send(address, message)
            self.targets.expire(now)
            self.instances.expire(now)
            try:
                async with asyncio.timeout(SPREAD_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    def _send(self, address: str, message: wire.Spread) -> None:
        channel = self._channels.get(address)
        if channel is None:
            channel = rpc.Channel(address=address, key=self.key)
            self._channels[address] = channel
        self._busy.add(address)
        task = asyncio.create_task(self._call(address, channel, message))
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _call(self, address, channel, message) -> None:
        try:
            await channel.call(
                methods.SPREAD, message, timeout=CALL_TIMEOUT_SECONDS
            )
        except rpc.RpcError as exc:
            LOG.debug("entry at {} did not answer: {}", address, exc.code())
        finally:
            self._busy.discard(address)
