"""Gossip that grows little with the size of the fleet.

Announcements are sent whole only while they are new or changed.  Otherwise
heartbeats of a few bytes renew them (:mod:`galenashed.protocol.heartbeats`).
An entry forwards each heartbeat once, to a few others of its own failure
domain.  Only the relays of a domain pass on what began there to the relays of
other domains (:func:`galenashed.membership.choose_relays`).  What is lost on
the way, also because a relay is silent, is repaired by comparing complete
lists of heartbeats with an entry drawn from the whole fleet.
"""

import random
import typing

from galenashed.gossip import _identities
from galenashed.gossip import _peers
from galenashed.gossip import _queues
from galenashed.gossip import _rounds
from galenashed import membership
from galenashed.protocol import gossip as wire
from galenashed.protocol import heartbeats
from galenashed import routing

# Interval of rounds that send heartbeats.
ROUND_SECONDS = 0.25
# Interval of an entry's own heartbeats.
HEARTBEAT_SECONDS = 1.0
# Minimum time between two heartbeats of a target that entries pass on for it,
# in leases.
TARGET_HEARTBEAT_LEASES = 0.5
# Interval between selections of new peers.
RESELECT_SECONDS = 5.0
# Interval of comparisons, and entries in a list for which it is longer.
COMPARE_SECONDS = 2.5
COMPARED_PER_SECOND = 130
# Rounds with a comparison with a peer after an entry has joined or is gone:
# messages are lost while connections are being opened.
EXTRA_COMPARISONS = 6
# Heartbeats that one such round sends in all, if one list has not more.
EXTRA_LISTED = 100
# Interval of attempts to reach entries that may be gone, and the number of
# peers below which the seeds are contacted in each round as well.
CONTACT_SECONDS = 0.5
MIN_PEERS = 4


class CompactRounds:
    """Sans-IO rounds of :class:`galenashed.protocol.gossip.CompactMessage`.

    Parameters
    ----------
    contacts : Contacts
        The addresses of other entries.
    identities : Identities
        Identities of all known announcements.
    instances, targets : Directory
        Known instances and targets.
    rng : random.Random
        Draws the peers to send to.
    limits : TargetLimits or None
        Limits of targets, exchanged with the heartbeats.
    """

    round_seconds = ROUND_SECONDS

    __slots__ = (
        "_alive",
        "_changed_instances",
        "_changed_targets",
        "_extra_comparisons",
        "_first_hand",
        "_next_comparison",
        "_next_contact",
        "_next_heartbeat",
        "_next_reselect",
        "_next_round",
        "_own",
        "_own_change_rounds",
        "_peers",
        "_remote",
        "_renewed_instances",
        "_renewed_targets",
        "_repairs",
        "contacts",
        "identities",
        "instances",
        "limits",
        "rng",
        "targets",
    )

    def __init__(
        self,
        *,
        contacts: _rounds.Contacts,
        identities: _identities.Identities,
        instances: membership.Directory,
        targets: membership.Directory,
        rng: random.Random,
        limits: routing.TargetLimits | None,
    ):
        self.contacts = contacts
        self.identities = identities
        self.instances = instances
        self.targets = targets
        self.rng = rng
        self.limits = limits
        self._changed_instances = _queues.Changes()
        self._changed_targets = _queues.Changes()
        self._renewed_instances = _queues.Renewals()
        self._renewed_targets = _queues.Renewals(
            min_gap=TARGET_HEARTBEAT_LEASES * targets.lease
        )
        # Names whose newest announcement came from another failure domain.
        self._remote: set[str] = set()
        self._repairs: dict[str, _queues.Repairs] = {}
        # This entry's announcement as of its last heartbeat.
        self._own: wire.Instance | None = None
        self._own_change_rounds = 0
        self._alive: set[tuple[str, str]] = set()
        self._peers = _peers.Peers(neighbours=[], uplinks=[], relays=[])
        # Targets whose newest announcement came from themselves.
        self._first_hand: set[str] = set()
        self._next_round = 0.0
        self._next_heartbeat = 0.0
        self._next_reselect = 0.0
        self._next_comparison = 0.0
        self._extra_comparisons = 0
        self._next_contact = 0.0

    def on_instance(
        self, name: str, now: float, *, changed: bool, local: bool
    ) -> None:
        """See :class:`galenashed.gossip._rounds.Rounds`."""
        self._set_origin(name, local)
        if changed:
            self._changed_instances.add(name)
        else:
            self._renewed_instances.forward(name, now)

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
        self._set_origin(name, local)
        if first_hand:
            self._first_hand.add(name)
        else:
            self._first_hand.discard(name)
        if changed:
            self._changed_targets.add(name)
        elif first_hand:
            self._renewed_targets.begin(name, now)
        else:
            self._renewed_targets.forward(name, now)

    def _set_origin(self, name: str, local: bool) -> None:
        if local:
            self._remote.discard(name)
        else:
            self._remote.add(name)

    def repair(self, address: str) -> _queues.Repairs:
        """Returns what an entry is sent in the next round, to be added to."""
        return self._repairs.setdefault(address, _queues.Repairs())

    def retain(self, instances: set[str], targets: set[str]) -> None:
        """See :class:`galenashed.gossip._rounds.Rounds`."""
        self._changed_instances.retain(instances)
        self._renewed_instances.retain(instances)
        self._changed_targets.retain(targets)
        self._renewed_targets.retain(targets)
        self._remote &= instances | targets
        self._first_hand &= targets

    def next_messages(
        self, own: wire.Instance, now: float
    ) -> list[_rounds.Addressed]:
        """See :class:`galenashed.gossip._rounds.Rounds`."""
        is_regular = now >= self._next_round
        if is_regular:
            self._next_round = now + ROUND_SECONDS
        changed = self.identities.set_own(own) or self._own is None
        if changed:
            self._own_change_rounds = _queues.CHANGE_ROUNDS
        sends_heartbeat = is_regular and now >= self._next_heartbeat
        if sends_heartbeat:
            self._next_heartbeat = now + HEARTBEAT_SECONDS
        if changed or sends_heartbeat:
            self._own = own
        if is_regular:
            self._select_peers(own, now)
        messages = self._send_news(
            own,
            now,
            is_regular=is_regular,
            sends_heartbeat=sends_heartbeat,
        )
        if is_regular:
            self._start_comparison(now)
        messages += self.take_repairs(own, now)
        if is_regular:
            messages += self._contact_unreachable(own, now)
        return messages

    def _select_peers(self, own: wire.Instance, now: float) -> None:
        others = [
            peer
            for peer in self.instances.alive(now)
            if peer.peer_address != own.peer_address
        ]
        alive = {(peer.peer_address, peer.state) for peer in others}
        draws_anew = now >= self._next_reselect
        if alive == self._alive and not draws_anew:
            return
        joined_or_gone = dict(alive).keys() != dict(self._alive).keys()
        if joined_or_gone:
            self._extra_comparisons = EXTRA_COMPARISONS
        self._alive = alive
        if draws_anew:
            self._next_reselect = now + RESELECT_SECONDS
        self._peers = _peers.choose(
            own, others, self.rng, () if draws_anew else self._peers.neighbours
        )

    def _send_news(
        self,
        own: wire.Instance,
        now: float,
        *,
        is_regular: bool,
        sends_heartbeat: bool,
    ) -> list[_rounds.Addressed]:
        """Returns the messages with changes and heartbeats for all peers."""
        instances = self._changed_instances.next_batch()
        targets = self._changed_targets.next_batch()
        renewed_instances: list[str] = []
        renewed_targets: list[str] = []
        if is_regular:
            renewed_instances = self._renewed_instances.next_batch()
            renewed_targets = self._renewed_targets.next_batch()
        own_record = None
        if self._own_change_rounds:
            self._own_change_rounds -= 1
            own_record = own
        own_heartbeat = own if sends_heartbeat and not own_record else None
        everything = self._make_message(
            own,
            now,
            instances,
            targets,
            renewed_instances,
            renewed_targets,
            own_record=own_record,
            own_heartbeat=own_heartbeat,
        )
        if _is_empty(everything):
            return []
        messages: list[_rounds.Addressed] = [
            (address, everything) for address in self._peers.neighbours
        ]
        upward = self._peers.uplinks or self._peers.relays
        if upward:
            if self._peers.uplinks:
                # The other members send the relays their own heartbeats.
                renewed_instances = []
                renewed_targets = [
                    name
                    for name in renewed_targets
                    if name in self._first_hand
                ]
            local = self._make_message(
                own,
                now,
                self._only_local(instances),
                self._only_local(targets),
                self._only_local(renewed_instances),
                self._only_local(renewed_targets),
                own_record=own_record,
                own_heartbeat=own_heartbeat,
            )
            if not _is_empty(local):
                messages += [(address, local) for address in upward]
        return messages

    def _only_local(self, names: list[str]) -> list[str]:
        return [name for name in names if name not in self._remote]

    def _start_comparison(self, now: float) -> None:
        """Has an entry drawn from the fleet sent a complete list, if due."""
        if not self._alive:
            return
        size = len(self.identities.instances) + len(self.identities.targets)
        if self._extra_comparisons:
            self._extra_comparisons -= 1
            peers = self._peers.neighbours + self._peers.uplinks
            count = max(1, EXTRA_LISTED // max(1, size))
            for peer in self.rng.sample(peers, min(count, len(peers))):
                self.repair(peer).list_all = True
        if now < self._next_comparison:
            return
        interval = max(COMPARE_SECONDS, size / COMPARED_PER_SECOND)
        self._next_comparison = now + interval
        address, _ = self.rng.choice(sorted(self._alive))
        self.repair(address).list_all = True

    def take_repairs(
        self, own: wire.Instance, now: float
    ) -> list[_rounds.Addressed]:
        """Returns the messages with what single entries lack."""
        messages: list[_rounds.Addressed] = []
        repairs, self._repairs = self._repairs, {}
        for address, repair in sorted(repairs.items()):
            if address == own.peer_address:
                continue
            instances = _take(repair.instances, _queues.MAX_ANNOUNCEMENTS)
            targets = _take(
                repair.targets, _queues.MAX_ANNOUNCEMENTS - len(instances)
            )
            if repair.instances or repair.targets:
                rest = self.repair(address)
                rest.instances.update(repair.instances)
                rest.targets.update(repair.targets)
            # The receiver of a list may not know the sender yet.
            needs_own = repair.list_all or own.name in instances
            message = self._make_message(
                own,
                now,
                [name for name in instances if name != own.name],
                targets,
                list(self.identities.instances) if repair.list_all else [],
                list(self.identities.targets) if repair.list_all else [],
                own_record=own if needs_own else None,
                own_heartbeat=self._own if repair.list_all else None,
                complete=repair.list_all,
                wanted=list(repair.wanted)[: _queues.MAX_ANNOUNCEMENTS],
            )
            messages.append((address, message))
        return messages

    @property
    def has_repairs(self) -> bool:
        """Whether single entries wait for what they lack."""
        return bool(self._repairs)

    @property
    def is_urgent(self) -> bool:
        """Whether there is more to send than heartbeats."""
        return bool(
            self._repairs
            or self._own_change_rounds
            or self._changed_instances
            or self._changed_targets
        )

    def _contact_unreachable(
        self, own: wire.Instance, now: float
    ) -> list[_rounds.Addressed]:
        """Returns introductions to entries that may be gone or unknown.

        They may be of any version, and get a message that all understand.
        """
        alive = {address for address, _ in self._alive}
        addresses = set()
        if now >= self._next_contact:
            self._next_contact = now + CONTACT_SECONDS
            unreachable = self.contacts.unreachable(own.peer_address, alive)
            if unreachable is not None:
                addresses.add(unreachable)
        if len(alive) < MIN_PEERS:
            addresses.update(self.contacts.seeds)
        introduction = wire.GossipMessage(
            sender=own,
            targets=[],
            known=len(self.instances.names()) + len(self.targets.names()),
        )
        return [
            (address, introduction)
            for address in sorted(addresses - {own.peer_address})
        ]

    def _make_message(
        self,
        own: wire.Instance,
        now: float,
        instance_names: list[str],
        target_names: list[str],
        renewed_instances: list[str],
        renewed_targets: list[str],
        *,
        own_record: wire.Instance | None,
        own_heartbeat: wire.Instance | None,
        complete: bool = False,
        wanted: typing.Sequence[int] = (),
    ) -> wire.CompactMessage:
        instances = _rounds.get_all(self.instances, instance_names)
        instance_ages = _rounds.ages(self.instances, instances, now)
        if own_record is not None:
            instances.append(own_record)
            instance_ages.append(0.0)
        targets = _rounds.get_all(self.targets, target_names)
        packed_instances: list[bytes] = []
        shares: list[bytes] = []
        for name, renewed in self._existing(self.instances, renewed_instances):
            identity = self.identities.instances[name]
            age = self.instances.age(name, now)
            packed_instances.append(
                heartbeats.pack_instance(identity, renewed, age)
            )
            shares.append(heartbeats.pack_shares(renewed))
        if own_heartbeat is not None:
            packed_instances.append(
                heartbeats.pack_instance(
                    self.identities.own, own_heartbeat, 0.0
                )
            )
            shares.append(heartbeats.pack_shares(own_heartbeat))
        if all(share == heartbeats.NO_SHARES for share in shares):
            shares = []
        plain: list[bytes] = []
        loaded: list[bytes] = []
        for name, target in self._existing(self.targets, renewed_targets):
            identity = self.identities.targets[name]
            age = self.targets.age(name, now)
            if target.load.running or target.load.waiting:
                loaded.append(
                    heartbeats.pack_loaded_target(identity, target, age)
                )
            else:
                plain.append(heartbeats.pack_target(identity, target, age))
        return wire.CompactMessage(
            sender=own.name,
            complete=complete,
            instance_heartbeats=b"".join(packed_instances),
            instance_shares=b"".join(shares),
            target_heartbeats=b"".join(plain),
            loaded_target_heartbeats=b"".join(loaded),
            instances=instances,
            targets=targets,
            instance_ages=instance_ages,
            target_ages=_rounds.ages(self.targets, targets, now),
            wanted=list(wanted),
            limits=self.limits.forwarded(now) if self.limits else [],
        )

    @staticmethod
    def _existing(
        directory: membership.Directory, names: list[str]
    ) -> typing.Iterator[tuple[str, typing.Any]]:
        for name in names:
            announced = directory.get(name)
            if announced is not None:
                yield name, announced


def _is_empty(message: wire.CompactMessage) -> bool:
    return not (
        message.instances
        or message.targets
        or message.instance_heartbeats
        or message.target_heartbeats
        or message.loaded_target_heartbeats
        or message.limits
    )


def _take(names: dict[str, None], count: int) -> list[str]:
    """Removes up to ``count`` names, the first ones, and returns them."""
    taken = list(names)[:count]
    for name in taken:
        del names[name]
    return taken
