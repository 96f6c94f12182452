"""Gossip with entries of versions that don't know compact messages.

Every heartbeat is a whole announcement and goes to a few peers, wherever they
are, so what an entry sends grows with the size of the fleet.  Used while an
entry of such a version is alive.
"""

import random

from galenashed.gossip import _rounds
from galenashed import membership
from galenashed.protocol import gossip as wire
from galenashed import routing

# Number of alive peers that each entry sends to.
FANOUT = 4
# Interval between selections of new peers.
RESELECT_SECONDS = 5.0
# Interval at which one peer gets the full state, to repair lost messages.
FULL_SYNC_SECONDS = 2.0
ROUND_SECONDS = 0.5


class FullRounds:
    """Sans-IO rounds of :class:`galenashed.protocol.gossip.GossipMessage`.

    Parameters
    ----------
    contacts : Contacts
        The addresses of other entries.
    instances, targets : Directory
        Known instances and targets.
    rng : random.Random
        Draws the peers to send to.
    limits : TargetLimits or None
        Limits of targets, exchanged with every message.
    """

    round_seconds = ROUND_SECONDS

    __slots__ = (
        "_alive_peers",
        "_instance_updates",
        "_next_full_sync",
        "_next_reselect",
        "_outdated",
        "_peers",
        "_target_updates",
        "contacts",
        "instances",
        "limits",
        "rng",
        "targets",
    )

    def __init__(
        self,
        *,
        contacts: _rounds.Contacts,
        instances: membership.Directory,
        targets: membership.Directory,
        rng: random.Random,
        limits: routing.TargetLimits | None,
    ):
        self.contacts = contacts
        self.instances = instances
        self.targets = targets
        self.rng = rng
        self.limits = limits
        self._instance_updates = membership.BroadcastQueue()
        self._target_updates = membership.BroadcastQueue()
        self._alive_peers: set[str] = set()
        self._peers: list[str] = []
        self._next_reselect = 0.0
        self._next_full_sync = 0.0
        self._outdated: set[str] = set()

    def on_instance(
        self, name: str, now: float, *, changed: bool, local: bool
    ) -> None:
        """See :class:`galenashed.gossip._rounds.Rounds`."""
        self._instance_updates.add(name, changed=changed, now=now)

    def on_target(
        self,
        name: str,
        now: float,
        *,
        changed: bool,
        local: bool,
        first_hand: bool,
    ) -> None:
        """See :class:`galenashed.gossip._rounds.Rounds`."""
        self._target_updates.add(name, changed=changed, now=now)

    def on_outdated(self, address: str) -> None:
        """Has an entry sent the full state in the next round."""
        self._outdated.add(address)

    def retain(self, instances: set[str], targets: set[str]) -> None:
        """See :class:`galenashed.gossip._rounds.Rounds`."""
        self._instance_updates.retain(instances)
        self._target_updates.retain(targets)

    def next_messages(
        self, own: wire.Instance, now: float
    ) -> list[_rounds.Addressed]:
        """See :class:`galenashed.gossip._rounds.Rounds`."""
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
        messages: list[_rounds.Addressed] = [
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
        return messages

    def _make_message(
        self,
        own: wire.Instance,
        target_names: list[str],
        instance_names: list[str],
        now: float,
    ) -> wire.GossipMessage:
        targets = _rounds.get_all(self.targets, target_names)
        instances = _rounds.get_all(self.instances, instance_names)
        return wire.GossipMessage(
            sender=own,
            targets=targets,
            instances=instances,
            known=len(self.instances.names()) + len(self.targets.names()),
            target_ages=_rounds.ages(self.targets, targets, now),
            instance_ages=_rounds.ages(self.instances, instances, now),
            limits=self.limits.forwarded(now) if self.limits else [],
        )

    def _choose_peers(self, own: wire.Instance, now: float) -> list[str]:
        """Returns the addresses to send to in this round.

        These are the selected alive peers and one unreachable address, a seed
        or an entry whose lease has expired, so that the sides of a network
        partition find each other again.  An entry that knows too few others
        also sends to all seeds.
        """
        alive = self.contacts.alive(own.peer_address, now)
        if now >= self._next_reselect or alive != self._alive_peers:
            self._alive_peers = alive
            self._next_reselect = now + RESELECT_SECONDS
            self._peers = membership.choose_peers(
                own.peer_address, alive, FANOUT, self.rng
            )
        chosen = set(self._peers)
        unreachable = self.contacts.unreachable(own.peer_address, alive)
        if unreachable is not None:
            chosen.add(unreachable)
        if len(self._peers) < FANOUT:
            chosen.update(self.contacts.seeds)
        return sorted(chosen - {own.peer_address})
