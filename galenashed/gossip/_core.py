"""Gossip protocol between entries: what to send, to whom and when; no I/O.

The protocol must handle targets that announce themselves to any entry and
must be known to all entries within seconds; entries that are partitioned and
reconnect; and all entries starting at once with only three seeds, while
connections are still being established and messages are lost.
"""

import itertools
import random
import typing

import msgspec

from galenashed.gossip import _cold
from galenashed.gossip import _compact_rounds
from galenashed.gossip import _full_rounds
from galenashed.gossip import _identities
from galenashed.gossip import _rounds
from galenashed import membership
from galenashed.protocol import gossip as wire
from galenashed.protocol import heartbeats
from galenashed import routing

# The least version that understands compact messages, and that of this build.
GOSSIP_VERSION = 1
OWN_GOSSIP_VERSION = 2
# A sender that knows fewer names than this entry is sent what it lacks, at
# most every SYNC_SECONDS.  Below this share of the names it is sent at most
# every OUTDATED_SYNC_SECONDS: the sender may have just started, and messages
# to it may be lost until the connection to it is open.
SYNC_SECONDS = 2.0
OUTDATED_SHARE = 0.8
OUTDATED_SYNC_SECONDS = 0.5
# How long it is remembered when an entry was last sent what it lacks.
SYNC_MEMORY_SECONDS = 5.0
# Interval at which records that expired long ago are deleted.
EXPIRY_SECONDS = 1.0


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
        Limits of targets, exchanged with the messages.

    Example::

        gossip.receive(message, now=1.0)
        for address, message in gossip.next_messages(own, now=1.0):
            send(address, message)
    """

    __slots__ = (
        "_compact",
        "_contacts",
        "_delay",
        "_domain",
        "_full",
        "_identities",
        "_next_expiry",
        "_rounds",
        "_seen",
        "_synced_at",
        "instances",
        "limits",
        "name",
        "on_change",
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
        self.on_change = on_change
        self.limits = limits
        # Whether an update should be sent before the next regular round.
        self.urgent = False
        self._identities = _identities.Identities(own_name=name)
        self._contacts = _rounds.Contacts(
            seeds=seeds, instances=instances, rng=rng
        )
        self._full = _full_rounds.FullRounds(
            contacts=self._contacts,
            instances=instances,
            targets=targets,
            rng=rng,
            limits=limits,
        )
        self._compact = _compact_rounds.CompactRounds(
            contacts=self._contacts,
            identities=self._identities,
            instances=instances,
            targets=targets,
            rng=rng,
            limits=limits,
        )
        self._rounds: _rounds.Rounds = self._compact
        # Failure domain of this entry, known from its first round on.
        self._domain = ""
        self._synced_at: dict[str, float] = {}
        self._next_expiry = 0.0
        # For how long the message that is read may have waited.
        self._delay = 0.0
        self._seen: heartbeats.Seen = {}

    @property
    def seeds(self) -> list[str]:
        """``ip:port`` of the entries to contact first."""
        return self._contacts.seeds

    @seeds.setter
    def seeds(self, seeds: list[str]) -> None:
        self._contacts.seeds = seeds

    @property
    def kind(self) -> str:
        """``compact``, or ``full`` while an entry of an older version runs."""
        return "compact" if self._rounds is self._compact else "full"

    @property
    def round_seconds(self) -> float:
        """Time between two rounds without urgent updates."""
        return self._rounds.round_seconds

    def announce(self, target: wire.Target, now: float) -> None:
        """Merges an announcement received from the target itself."""
        known = self.targets.get(target.name)
        if isinstance(known, wire.Target):
            target = _cold.keep_cold_until(target, known)
        self._merge_target(target, now, from_announcer=True, local=True)

    def receive(
        self,
        message: wire.GossipMessage | wire.CompactMessage,
        now: float,
        *,
        delay: float = 0.0,
    ) -> None:
        """Merges a gossip message of another entry.

        It may have waited for ``delay`` seconds before it was read.
        """
        self._delay = delay
        if isinstance(message, wire.GossipMessage):
            local = message.sender.failure_domain == self._domain
            self._merge_instance(message.sender, now, age=delay, local=local)
        else:
            sender = self.instances.get(message.sender)
            local = sender is None or sender.failure_domain == self._domain
        for instance, age in _with_ages(
            message.instances, message.instance_ages
        ):
            self._merge_instance(instance, now, age=age + delay, local=local)
        for target, age in _with_ages(message.targets, message.target_ages):
            self._merge_target(
                target,
                now,
                from_announcer=False,
                age=age + delay,
                local=local,
            )
        if self.limits is not None:
            self.limits.receive(message.limits, now)
        if isinstance(message, wire.CompactMessage):
            self._receive_heartbeats(message, now, local=local)
        else:
            self._answer_outdated(message, now)

    def _answer_outdated(
        self, message: wire.GossipMessage, now: float
    ) -> None:
        """Sends the sender what it lacks if it knows fewer names."""
        known = len(self.instances.names()) + len(self.targets.names())
        if message.known >= known:
            return
        interval = SYNC_SECONDS
        if message.known < OUTDATED_SHARE * known:
            interval = OUTDATED_SYNC_SECONDS
        address = message.sender.peer_address
        synced_at = self._synced_at.get(address)
        if synced_at is not None and now - synced_at < interval:
            return
        self._synced_at[address] = now
        if message.sender.gossip_version < GOSSIP_VERSION:
            self._full.on_outdated(address)
        else:
            self._compact.repair(address).list_all = True
        self.urgent = True

    def _receive_heartbeats(
        self, message: wire.CompactMessage, now: float, *, local: bool
    ) -> None:
        """Applies heartbeats; asks for and answers what is missing."""
        identities = self._identities
        seen = self._seen
        unknown: list[int] = []
        for beat in heartbeats.unpack_instances(
            message.instance_heartbeats, seen, message.instance_shares
        ):
            name = identities.instance_name(beat.identity)
            instance = self.instances.get(name) if name is not None else None
            if not isinstance(instance, wire.Instance):
                unknown.append(beat.identity)
                continue
            seen[beat.identity] = beat.sequence
            if heartbeats.is_newer(beat.sequence, instance.sequence):
                self._renew_instance(instance, beat, now, local=local)
            if _lacks_limits(instance, beat):
                unknown.append(beat.identity)
        for packed in (
            heartbeats.unpack_targets(message.target_heartbeats, seen),
            heartbeats.unpack_loaded_targets(
                message.loaded_target_heartbeats, seen
            ),
        ):
            for target_beat in packed:
                name = identities.target_name(target_beat.identity)
                target = self.targets.get(name) if name is not None else None
                if not isinstance(target, wire.Target):
                    unknown.append(target_beat.identity)
                    continue
                seen[target_beat.identity] = target_beat.sequence
                if heartbeats.is_newer(target_beat.sequence, target.sequence):
                    self._renew_target(target, target_beat, now, local=local)
        sender = self.instances.get(message.sender)
        if not isinstance(sender, wire.Instance):
            return
        wanted = [
            identity
            for identity in unknown
            if identities.is_wanted(identity, now)
        ]
        if wanted or message.wanted or message.complete:
            self._repair(sender, message, wanted, now)

    def _renew_instance(
        self,
        known: wire.Instance,
        beat: heartbeats.InstanceHeartbeat,
        now: float,
        *,
        local: bool,
    ) -> None:
        share_used = beat.share_used / heartbeats.SHARE_FACTOR
        renewed = msgspec.structs.replace(
            known,
            sequence=heartbeats.full_sequence(beat.sequence, known.sequence),
            in_flight=beat.in_flight,
            request_rate=beat.request_rate / heartbeats.RATE_FACTOR,
            cores_used=share_used * known.cores,
            **_uses(known, beat),
        )
        age = heartbeats.age_seconds(beat.age) + self._delay
        if self.instances.renew(renewed, now=now, age=age):
            self._rounds.on_instance(
                known.name, now, changed=False, local=local
            )

    def _renew_target(
        self,
        known: wire.Target,
        beat: heartbeats.TargetHeartbeat,
        now: float,
        *,
        local: bool,
    ) -> None:
        load = known.load
        if (load.running, load.waiting) != (beat.running, beat.waiting):
            load = wire.Load(running=beat.running, waiting=beat.waiting)
        renewed = msgspec.structs.replace(
            known,
            sequence=heartbeats.full_sequence(beat.sequence, known.sequence),
            load=load,
        )
        age = heartbeats.age_seconds(beat.age) + self._delay
        if self.targets.renew(renewed, now=now, age=age):
            self._rounds.on_target(
                known.name, now, changed=False, local=local, first_hand=False
            )
            self.on_change(renewed)

    def _repair(
        self,
        sender: wire.Instance,
        message: wire.CompactMessage,
        wanted: list[int],
        now: float,
    ) -> None:
        """Sends an entry what it wants or lacks, and asks for the rest."""
        identities = self._identities
        instances = []
        targets = []
        for identity in message.wanted:
            instance = identities.instance_name(identity)
            target = identities.target_name(identity)
            if identity == identities.own:
                instances.append(self.name)
            elif instance is not None:
                instances.append(instance)
            elif target is not None:
                targets.append(target)
        if message.complete:
            listed = heartbeats.identities(message)
            if identities.own not in listed:
                instances.append(self.name)
            instances += [
                name
                for name, identity in identities.instances.items()
                if identity not in listed and name != sender.name
            ]
            targets += [
                name
                for name, identity in identities.targets.items()
                if identity not in listed
            ]
        if instances or targets or wanted:
            repair = self._compact.repair(sender.peer_address)
            repair.instances.update(dict.fromkeys(instances))
            repair.targets.update(dict.fromkeys(targets))
            for identity in wanted:
                # Another entry is asked only if this one does not answer.
                identities.ask(identity, now)
                repair.wanted[identity] = None
            self.urgent = True

    def _merge_instance(
        self, instance: wire.Instance, now: float, *, age: float, local: bool
    ) -> None:
        if instance.name == self.name:
            # The entry itself is the authority on its own state.
            self._identities.refuse(
                heartbeats.identify_instance(instance), now
            )
            return
        if instance.gossip_version >= OWN_GOSSIP_VERSION:
            # Builds of version 1 drop the field when they forward it.
            instance = msgspec.structs.replace(
                instance, understands_evacuations=True
            )
        if not self.instances.merge(
            instance, now=now, from_announcer=False, age=age
        ):
            identity = heartbeats.identify_instance(instance)
            if identity != self._identities.instances.get(instance.name):
                self._identities.refuse(identity, now)
            return
        changed = self._identities.add_instance(instance)
        self._rounds.on_instance(
            instance.name, now, changed=changed, local=local
        )
        self.urgent = self.urgent or changed

    def _merge_target(
        self,
        target: wire.Target,
        now: float,
        *,
        from_announcer: bool,
        local: bool,
        age: float = 0.0,
    ) -> None:
        if not self.targets.merge(
            target, now=now, from_announcer=from_announcer, age=age
        ):
            identity = heartbeats.identify_target(target)
            if identity != self._identities.targets.get(target.name):
                self._identities.refuse(identity, now)
            return
        changed = self._identities.add_target(target)
        self._rounds.on_target(
            target.name,
            now,
            changed=changed,
            local=local,
            first_hand=from_announcer,
        )
        self.on_change(target)
        self.urgent = self.urgent or changed

    def next_messages(
        self, own: wire.Instance, now: float
    ) -> list[_rounds.Addressed]:
        """Returns the messages of one round, with their addresses."""
        self._domain = own.failure_domain
        own = msgspec.structs.replace(own, gossip_version=OWN_GOSSIP_VERSION)
        self._rounds = self._choose_rounds(now)
        messages = self._rounds.next_messages(own, now)
        if self._rounds is self._compact:
            self.urgent = self._compact.is_urgent
        else:
            # Others may not know yet that whole announcements are needed.
            messages += self._compact.take_repairs(own, now)
            self.urgent = self._compact.has_repairs
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_SECONDS
            self._expire(now)
        return messages

    def _choose_rounds(self, now: float) -> _rounds.Rounds:
        """Returns the way of gossip that all entries alive understand."""
        if any(
            instance.gossip_version < GOSSIP_VERSION
            for instance in self.instances.alive(now)
        ):
            return self._full
        return self._compact

    def _expire(self, now: float) -> None:
        self.targets.expire(now)
        self.instances.expire(now)
        targets = set(self.targets.names())
        instances = set(self.instances.names())
        self._full.retain(instances, targets)
        self._compact.retain(instances, targets)
        self._identities.retain(instances, targets)
        for identity in list(self._seen):
            if not self._identities.is_known(identity):
                del self._seen[identity]
        for address, synced_at in list(self._synced_at.items()):
            if now - synced_at > SYNC_MEMORY_SECONDS:
                del self._synced_at[address]


def _lacks_limits(
    known: wire.Instance, beat: heartbeats.InstanceHeartbeat
) -> bool:
    """Whether an older version left out the limits of an announcement."""
    return heartbeats.unpack_shares(beat.shares) is not None and not (
        known.link or known.memory or known.descriptors
    )


def _uses(
    known: wire.Instance, beat: heartbeats.InstanceHeartbeat
) -> dict[str, typing.Any]:
    """Returns what an instance uses of its limits, if its heartbeat tells."""
    shares = heartbeats.unpack_shares(beat.shares)
    if shares is None:
        return {}
    link, memory, descriptors = shares
    return {
        "link_used": link * known.link,
        "memory_used": int(memory * known.memory),
        "descriptors_used": int(descriptors * known.descriptors),
    }


def _with_ages(
    announcements: list, ages: list[float]
) -> typing.Iterator[tuple[typing.Any, float]]:
    """Pairs announcements with their ages, 0 where the sender gives none."""
    return itertools.zip_longest(
        announcements, ages[: len(announcements)], fillvalue=0.0
    )
