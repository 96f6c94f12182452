"""What an entry tells others, whom, and when: decisions without I/O.

Load patterns: targets that announce themselves to any entry and must be known
to all within seconds; entries that are cut off and come back; and all entries
starting at once with nothing but three seeds, while links are still being
made and messages are lost.
"""

import random
import typing

from galenashed import membership
from galenashed.protocol import spread as wire

# Each entry sends to this many others, drawn anew now and then.
PARTNERS = 4
REDRAW_SECONDS = 5.0
# Everything is told to one partner this often, for what was lost before.
WHOLE_SECONDS = 2.0
# One that knows less than what is known here is told everything: this often
# if it knows less than this part, for its link may still have to be made, and
# as seldom as others are if little is missing.
IGNORANT_SHARE = 0.8
IGNORANT_SECONDS = 0.5


class Gossip:
    """The sans-IO account of news; :meth:`round` returns what to send.

    Parameters
    ----------
    name : str
        This entry.
    instances, targets : Directory
        What is known; merged into by :meth:`receive`.
    seeds : list of str
        ``ip:port`` of entries to begin with.
    on_change : callable
        Called when a target's record has changed.
    rng : random.Random
        Draws the partners.

    Example::

        gossip.receive(message, now=1.0)
        for address, message in gossip.round(own, now=1.0):
            send(address, message)
    """

    __slots__ = (
        "_alive",
        "_ignorant",
        "_instance_news",
        "_partners",
        "_redraw_at",
        "_target_news",
        "_told_whole",
        "_whole_at",
        "instances",
        "name",
        "on_change",
        "rng",
        "seeds",
        "targets",
        "urgent",
    )

    def __init__(
        self,
        *,
        name: str,
        instances: membership.Directory,
        targets: membership.Directory,
        seeds: list[str],
        on_change: typing.Callable[[wire.Target], None],
        rng: random.Random,
    ):
        self.name = name
        self.instances = instances
        self.targets = targets
        self.seeds = seeds
        self.on_change = on_change
        self.rng = rng
        # Whether there is news that should not wait for the next period.
        self.urgent = False
        self._instance_news = membership.BroadcastQueue()
        self._target_news = membership.BroadcastQueue()
        self._alive: set[str] = set()
        self._partners: list[str] = []
        self._redraw_at = 0.0
        self._whole_at = 0.0
        self._ignorant: set[str] = set()
        self._told_whole: dict[str, float] = {}

    def announce(self, target: wire.Target, now: float) -> None:
        """Takes an announcement from the target itself."""
        self._take_target(target, now, direct=True)

    def receive(self, message: wire.Spread, now: float) -> None:
        """Takes what another entry knows."""
        for instance in (message.sender, *message.instances):
            # Of itself an entry knows best.
            if instance.name != self.name:
                self._take_instance(instance, now)
        for target in message.targets:
            self._take_target(target, now, direct=False)
        known = len(self.instances.names()) + len(self.targets.names())
        if message.known < known:
            gap = WHOLE_SECONDS
            if message.known < IGNORANT_SHARE * known:
                gap = IGNORANT_SECONDS
            self._note_ignorant(message.sender.peer_address, gap, now)

    def _note_ignorant(self, address: str, gap: float, now: float) -> None:
        told_at = self._told_whole.get(address)
        if told_at is None or now - told_at >= gap:
            self._told_whole[address] = now
            self._ignorant.add(address)
            self.urgent = True

    def _take_instance(self, instance: wire.Instance, now: float) -> None:
        held = self.instances.get(instance.name)
        if not self.instances.merge(instance, now=now, direct=False):
            return
        changed = (
            not isinstance(held, wire.Instance)
            or held.incarnation != instance.incarnation
            or held.state != instance.state
        )
        self._instance_news.note(instance.name, changed=changed, now=now)
        self.urgent = self.urgent or changed

    def _take_target(self, target, now: float, *, direct: bool) -> None:
        held = self.targets.get(target.name)
        if not self.targets.merge(target, now=now, direct=direct):
            return
        changed = not isinstance(held, wire.Target) or (
            (held.state, held.incarnation, held.address)
            != (target.state, target.incarnation, target.address)
        )
        self._target_news.note(target.name, changed=changed, now=now)
        self.on_change(target)
        self.urgent = self.urgent or changed

    def round(
        self, own: wire.Instance, now: float
    ) -> list[tuple[str, wire.Spread]]:
        """Returns the messages of this round, with their addresses."""
        self.urgent = False
        news = self._message(
            own,
            self._target_news.next_batch(),
            self._instance_news.next_batch(),
        )
        partners = self._choose_partners(own, now)
        whole_for, self._ignorant = self._ignorant, set()
        whole_for.discard(own.peer_address)
        if now >= self._whole_at and partners:
            self._whole_at = now + WHOLE_SECONDS
            whole_for.add(self.rng.choice(partners))
        messages = [(one, news) for one in partners if one not in whole_for]
        if whole_for:
            whole = self._message(
                own, self.targets.names(), self.instances.names()
            )
            messages += [(address, whole) for address in sorted(whole_for)]
        self._expire(now)
        return messages

    def _message(self, own, targets: list[str], instances: list[str]):
        return wire.Spread(
            sender=own,
            targets=_held(self.targets, targets),
            instances=_held(self.instances, instances),
            known=len(self.instances.names()) + len(self.targets.names()),
        )

    def _choose_partners(self, own: wire.Instance, now: float) -> list[str]:
        """Returns whom to tell: some that are alive, and a lost one.

        The lost one is a seed or an entry that fell silent; by it the two
        sides of a partition find each other again.  An entry that knows too
        few others asks all seeds.
        """
        alive = {peer.peer_address for peer in self.instances.alive(now)}
        alive.discard(own.peer_address)
        if now >= self._redraw_at or alive != self._alive:
            self._alive = alive
            self._redraw_at = now + REDRAW_SECONDS
            self._partners = membership.choose_peers(
                own.peer_address, alive, PARTNERS, self.rng
            )
        known = {peer.peer_address for peer in self.instances.all()}
        lost = {*self.seeds, *known} - {own.peer_address, *alive}
        chosen = set(self._partners)
        if lost:
            chosen.add(self.rng.choice(sorted(lost)))
        if len(self._partners) < PARTNERS:
            chosen.update(self.seeds)
        return sorted(chosen - {own.peer_address})

    def _expire(self, now: float) -> None:
        self.targets.expire(now)
        self.instances.expire(now)
        self._target_news.retain(set(self.targets.names()))
        self._instance_news.retain(set(self.instances.names()))
        for address, told_at in list(self._told_whole.items()):
            if now - told_at > REDRAW_SECONDS:
                del self._told_whole[address]


def _held(directory: membership.Directory, names: list[str]) -> list:
    found = (directory.get(name) for name in names)
    return [announced for announced in found if announced is not None]
