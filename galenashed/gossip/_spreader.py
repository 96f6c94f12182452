"""The task that tells other entries what this one knows."""

import asyncio
import random
import time

import loguru

from galenashed import membership
from galenashed.protocol import links
from galenashed.protocol import methods
from galenashed.protocol import spread as wire
from galenashed import telemetry

LOG = loguru.logger

SPREAD_SECONDS = 0.5
FORGET_SECONDS = 10.0
# Each entry sends to this many others, drawn anew now and then.
PARTNERS = 4
REDRAW_SECONDS = 5.0
# Everything is told to one partner this often, for what was lost before.
WHOLE_SECONDS = 2.0


class Spreader:
    """Passes news of instances and targets on to a few other entries.

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
    rng : random.Random
        Draws the partners.
    """

    def __init__(
        self,
        *,
        instances,
        targets,
        describe,
        seeds,
        key,
        on_change,
        rng: random.Random,
    ):
        self.instances: membership.Directory = instances
        self.targets: membership.Directory = targets
        self.describe = describe
        self.seeds: list[str] = seeds
        self.key = key
        self.on_change = on_change
        self.rng = rng
        self._instance_news = membership.Rumors()
        self._target_news = membership.Rumors()
        self._name = ""
        self._links: dict[str, links.StreamLink] = {}
        self._wanted: dict[str, float] = {}
        self._partners: list[str] = []
        self._redraw_at = 0.0
        self._whole_at = 0.0
        self._newcomers: set[str] = set()
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task."""
        self._name = self.describe().name
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
        self._take_target(target, time.monotonic(), direct=True)

    def receive(self, message: wire.Spread) -> None:
        """Takes what another entry knows."""
        now = time.monotonic()
        for instance in (message.sender, *message.instances):
            # Of itself an entry knows best.
            if instance.name != self._name:
                self._take_instance(instance, now)
        for target in message.targets:
            self._take_target(target, now, direct=False)

    def _take_instance(self, instance: wire.Instance, now: float) -> None:
        held = self.instances.get(instance.name)
        if not self.instances.merge(instance, now=now, direct=False):
            return
        known = held is not None and held.incarnation == instance.incarnation
        changed = held is None or not known or held.state != instance.state
        self._instance_news.note(instance.name, changed=changed, now=now)
        if not known:
            # A new one knows little; it is told everything once.
            self._newcomers.add(instance.peer_address)
        if changed:
            self.notify()

    def _take_target(self, target, now: float, *, direct: bool) -> None:
        held = self.targets.get(target.name)
        if not self.targets.merge(target, now=now, direct=direct):
            return
        changed = held is None or (
            (held.state, held.incarnation, held.address)
            != (target.state, target.incarnation, target.address)
        )
        self._target_news.note(target.name, changed=changed, now=now)
        self.on_change(target)
        if changed:
            self.notify()

    async def _run(self) -> None:
        while True:
            now = time.monotonic()
            own = self.describe()
            await self._tell(own, now)
            await self._drop_old_links(now)
            self._expire(now)
            try:
                async with asyncio.timeout(SPREAD_SECONDS):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def _tell(self, own: wire.Instance, now: float) -> None:
        news = wire.Spread(
            sender=own,
            targets=_held(self.targets, self._target_news.take()),
            instances=_held(self.instances, self._instance_news.take()),
        )
        partners = self._choose_partners(own, now)
        newcomers, self._newcomers = self._newcomers, set()
        newcomers.discard(own.peer_address)
        if now >= self._whole_at and partners:
            self._whole_at = now + WHOLE_SECONDS
            newcomers.add(self.rng.choice(partners))
        whole = None
        for address in {*partners, *newcomers}:
            message = news
            if address in newcomers:
                whole = whole or self._everything(own)
                message = whole
            link = await self._link(address, now)
            link.send(message)

    def _everything(self, own: wire.Instance) -> wire.Spread:
        return wire.Spread(
            sender=own,
            targets=_held(self.targets, self.targets.names()),
            instances=_held(self.instances, self.instances.names()),
        )

    def _choose_partners(self, own: wire.Instance, now: float) -> list[str]:
        """Returns whom to tell: some that are alive, and a lost one.

        The lost one is a seed or an entry that fell silent; by it the two
        sides of a partition find each other again.
        """
        alive = {peer.peer_address for peer in self.instances.alive(now)}
        alive.discard(own.peer_address)
        lost = {
            *self.seeds,
            *(peer.peer_address for peer in self.instances.all()),
        } - {own.peer_address, *alive}
        stale = not alive.issuperset(self._partners)
        if now >= self._redraw_at or stale or len(self._partners) < PARTNERS:
            self._redraw_at = now + REDRAW_SECONDS
            self._partners = membership.choose_partners(
                own.peer_address, alive, PARTNERS, self.rng
            )
        if lost:
            return [*self._partners, self.rng.choice(sorted(lost))]
        return self._partners

    def _expire(self, now: float) -> None:
        self.targets.expire(now)
        self.instances.expire(now)
        self._target_news.forget(set(self.targets.names()))
        self._instance_news.forget(set(self.instances.names()))

    async def _link(self, address: str, now: float) -> links.StreamLink:
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


def _held(directory: membership.Directory, names: list[str]) -> list:
    found = (directory.get(name) for name in names)
    return [announced for announced in found if announced is not None]
