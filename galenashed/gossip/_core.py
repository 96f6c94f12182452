"""Gossip protocol between entries: what to send, to whom and when; no I/O.

The protocol must handle targets that announce themselves to any entry and
must be known to all entries within seconds; entries that are partitioned and
reconnect; and all entries starting at once with only three seeds, while
connections are still being established and messages are lost.
"""

import itertools
import random
import typing

from galenashed import membership
from galenashed.protocol import gossip as wire
from galenashed import routing

# Number of alive peers that each entry sends to.
FANOUT = 4
# Interval between selections of new peers.
RESELECT_SECONDS = 5.0
# Interval at which one peer gets the full state, to repair lost messages.
FULL_SYNC_SECONDS = 2.0
# A sender that knows fewer names than this entry gets the full state, at most
# every FULL_SYNC_SECONDS.  Below this share of the names it gets it at most
# every OUTDATED_SYNC_SECONDS: the sender may have just started, and messages
# to it may be lost until the connection to it is open.
OUTDATED_SHARE = 0.8
OUTDATED_SYNC_SECONDS = 0.5


class Gossip:
    """Sans-IO gossip state of one entry.

    Parameters
    ----------
    name : str
        Name of this entry.
    instances, targets : Directory
        Known instances and targets, updated by :meth:`receive`.
    seeds : list of str
        ``ip:port`` of the entries to contact first.
    on_change : callable
        Called with each newer announcement of a target.
    rng : random.Random
        Draws the peers to send to.
    limits : TargetLimits or None
        Limits of targets, exchanged with every message.

    Example::

        gossip.receive(message, now=1.0)
        for address, message in gossip.next_messages(own, now=1.0):
            send(address, message)
    """

    __slots__ = (
        "_alive_peers",
        "_instance_updates",
        "_next_full_sync",
        "_next_reselect",
        "_outdated",
        "_peers",
        "_synced_at",
        "_target_updates",
        "instances",
        "limits",
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
        limits: routing.TargetLimits | None = None,
    ):
        self.name = name
        self.instances = instances
        self.targets = targets
        self.seeds = seeds
        self.on_change = on_change
        self.rng = rng
        self.limits = limits
        # Whether an update should be sent before the next regular round.
        self.urgent = False
        self._instance_updates = membership.BroadcastQueue()
        self._target_updates = membership.BroadcastQueue()
        self._alive_peers: set[str] = set()
        self._peers: list[str] = []
        self._next_reselect = 0.0
        self._next_full_sync = 0.0
        self._outdated: set[str] = set()
        self._synced_at: dict[str, float] = {}

    def announce(self, target: wire.Target, now: float) -> None:
        """Merges an announcement received from the target itself."""
        self._merge_target(target, now, from_announcer=True)

    def receive(self, message: wire.GossipMessage, now: float) -> None:
        """Merges a gossip message of another entry."""
        self._merge_instance(message.sender, now, age=0.0)
        for instance, age in _with_ages(
            message.instances, message.instance_ages
        ):
            self._merge_instance(instance, now, age=age)
        for target, age in _with_ages(message.targets, message.target_ages):
            self._merge_target(target, now, from_announcer=False, age=age)
        if self.limits is not None:
            self.limits.receive(message.limits, now)
        known = len(self.instances.names()) + len(self.targets.names())
        if message.known < known:
            interval = FULL_SYNC_SECONDS
            if message.known < OUTDATED_SHARE * known:
                interval = OUTDATED_SYNC_SECONDS
            self._request_full_sync(message.sender.peer_address, interval, now)

    def _request_full_sync(
        self, address: str, interval: float, now: float
    ) -> None:
        synced_at = self._synced_at.get(address)
        if synced_at is None or now - synced_at >= interval:
            self._synced_at[address] = now
            self._outdated.add(address)
            self.urgent = True

    def _merge_instance(
        self, instance: wire.Instance, now: float, *, age: float
    ) -> None:
        if instance.name == self.name:
            # The entry itself is the authority on its own state.
            return
        previous = self.instances.get(instance.name)
        if not self.instances.merge(
            instance, now=now, from_announcer=False, age=age
        ):
            return
        changed = (
            not isinstance(previous, wire.Instance)
            or previous.incarnation != instance.incarnation
            or previous.state != instance.state
            or previous.unreachable != instance.unreachable
        )
        self._instance_updates.add(instance.name, changed=changed, now=now)
        self.urgent = self.urgent or changed

    def _merge_target(
        self,
        target: wire.Target,
        now: float,
        *,
        from_announcer: bool,
        age: float = 0.0,
    ) -> None:
        previous = self.targets.get(target.name)
        if not self.targets.merge(
            target, now=now, from_announcer=from_announcer, age=age
        ):
            return
        changed = not isinstance(previous, wire.Target) or (
            (previous.state, previous.incarnation, previous.address)
            != (target.state, target.incarnation, target.address)
        )
        self._target_updates.add(target.name, changed=changed, now=now)
        self.on_change(target)
        self.urgent = self.urgent or changed

    def next_messages(
        self, own: wire.Instance, now: float
    ) -> list[tuple[str, wire.GossipMessage]]:
        """Returns the messages of one round, with their addresses."""
        self.urgent = False
        updates = self._make_message(
            own,
            self._target_updates.next_batch(),
            self._instance_updates.next_batch(),
            now,
        )
        peers = self._choose_peers(own, now)
        sync_addresses, self._outdated = self._outdated, set()
        sync_addresses.discard(own.peer_address)
        if now >= self._next_full_sync and peers:
            self._next_full_sync = now + FULL_SYNC_SECONDS
            sync_addresses.add(self.rng.choice(peers))
        messages = [
            (address, updates)
            for address in peers
            if address not in sync_addresses
        ]
        if sync_addresses:
            full_state = self._make_message(
                own, self.targets.names(), self.instances.names(), now
            )
            messages += [
                (address, full_state) for address in sorted(sync_addresses)
            ]
        self._expire(now)
        return messages

    def _make_message(
        self,
        own: wire.Instance,
        target_names: list[str],
        instance_names: list[str],
        now: float,
    ) -> wire.GossipMessage:
        targets = _get_all(self.targets, target_names)
        instances = _get_all(self.instances, instance_names)
        return wire.GossipMessage(
            sender=own,
            targets=targets,
            instances=instances,
            known=len(self.instances.names()) + len(self.targets.names()),
            target_ages=_ages(self.targets, targets, now),
            instance_ages=_ages(self.instances, instances, now),
            limits=self.limits.forwarded(now) if self.limits else [],
        )

    def _choose_peers(self, own: wire.Instance, now: float) -> list[str]:
        """Returns the addresses to send to in this round.

        These are the selected alive peers and one unreachable address, a seed
        or an entry whose lease has expired, so that the sides of a network
        partition find each other again.  An entry that knows too few others
        also sends to all seeds.
        """
        alive = {peer.peer_address for peer in self.instances.alive(now)}
        alive.discard(own.peer_address)
        if now >= self._next_reselect or alive != self._alive_peers:
            self._alive_peers = alive
            self._next_reselect = now + RESELECT_SECONDS
            self._peers = membership.choose_peers(
                own.peer_address, alive, FANOUT, self.rng
            )
        known = {peer.peer_address for peer in self.instances.all()}
        unreachable = {*self.seeds, *known} - {own.peer_address, *alive}
        chosen = set(self._peers)
        if unreachable:
            chosen.add(self.rng.choice(sorted(unreachable)))
        if len(self._peers) < FANOUT:
            chosen.update(self.seeds)
        return sorted(chosen - {own.peer_address})

    def _expire(self, now: float) -> None:
        self.targets.expire(now)
        self.instances.expire(now)
        self._target_updates.retain(set(self.targets.names()))
        self._instance_updates.retain(set(self.instances.names()))
        for address, synced_at in list(self._synced_at.items()):
            if now - synced_at > RESELECT_SECONDS:
                del self._synced_at[address]


def _get_all(directory: membership.Directory, names: list[str]) -> list:
    found = (directory.get(name) for name in names)
    return [announced for announced in found if announced is not None]


def _ages(
    directory: membership.Directory, announcements: list, now: float
) -> list[float]:
    return [round(directory.age(item.name, now), 3) for item in announcements]


def _with_ages(
    announcements: list, ages: list[float]
) -> typing.Iterator[tuple[typing.Any, float]]:
    """Pairs announcements with their ages, 0 where the sender gives none."""
    return itertools.zip_longest(
        announcements, ages[: len(announcements)], fillvalue=0.0
    )
