"""Compact heartbeats of instances and targets in gossip messages.

A heartbeat renews an announcement that the receiver already has.  It names it
by its *identity*: a hash of everything in the announcement that does not
change with each heartbeat.  So a receiver that knows the identity knows the
state, and one that doesn't asks for the announcement.

Heartbeats are records of fixed size, in little-endian order:

=========  ========================================================
bytes      contents
=========  ========================================================
4          identity
2          sequence number, modulo ``SEQUENCE_MODULUS``
1          age in units of ``AGE_UNIT_SECONDS``, ``MAX_AGE`` or more
instances  requests in progress (1 byte), requests a second in
           tenths (2), used share of the processor time in 250ths (1)
loaded     running requests (2), waiting requests (2)
targets
=========  ========================================================

What an instance uses of its link, memory and descriptors follows in a field
of its own, which older versions ignore: two bytes for each heartbeat, the link
in 250ths, and four bits each for memory and descriptors in 15ths, or
``NO_SHARES``.

Numbers that don't fit are sent as the highest that does.
"""

import struct
import typing

import msgspec
import xxhash

from galenashed.protocol import gossip

SEQUENCE_MODULUS = 1 << 16
AGE_UNIT_SECONDS = 0.05
MAX_AGE = 255
RATE_FACTOR = 10
SHARE_FACTOR = 250
MAX_UINT16 = 0xFFFF
MAX_UINT8 = 0xFF

SHARES_SIZE = 2
# The shares of an instance without such limits.
NO_SHARES = b"\xff\xff"
MAX_LINK_SHARE = 0xFE
MAX_COARSE_SHARE = 0xF

_INSTANCE = struct.Struct("<IHBBHB")
_TARGET = struct.Struct("<IHB")
_LOADED_TARGET = struct.Struct("<IHBHH")

# Last sequence number, as sent, of the heartbeats of each identity.
Seen = dict[int, int]


class InstanceHeartbeat(typing.NamedTuple):
    """A renewed announcement of an instance; fields as in the wire format."""

    identity: int
    sequence: int
    age: int
    in_flight: int
    request_rate: int
    share_used: int
    shares: bytes = b""


class TargetHeartbeat(typing.NamedTuple):
    """A renewed announcement of a target; fields as in the wire format."""

    identity: int
    sequence: int
    age: int
    running: int = 0
    waiting: int = 0


def identify_instance(instance: gossip.Instance) -> int:
    """Returns the identity of an instance's announcement.

    Heartbeats that change only its sequence number or load keep it.  Versions
    of this software side by side must agree on it, so the fields are listed:
    one that is added to announcements does not belong to it.
    """
    return _hash(
        instance.name,
        instance.incarnation,
        instance.started,
        instance.address,
        instance.peer_address,
        instance.failure_domain,
        instance.region,
        instance.state,
        instance.cores,
        instance.replica,
        instance.replica_address,
        instance.relay_address,
        instance.unreachable,
        instance.isolated,
        instance.gossip_version,
    )


def identify_target(target: gossip.Target) -> int:
    """Returns the identity of a target's announcement; see above.

    The end of a cold period belongs to it only while there is one, so that
    the announcement of a warm target has the identity that versions without
    such ends give it.
    """
    cold = (target.cold_until,) if target.cold_until else ()
    return _hash(
        target.name,
        target.incarnation,
        target.started,
        target.service,
        target.address,
        target.failure_domain,
        target.state,
        target.models,
        target.resumes,
        target.slots,
        target.version,
        *cold,
    )


def _hash(*fields: typing.Any) -> int:
    return xxhash.xxh32_intdigest(msgspec.msgpack.encode(fields))


def pack_instance(
    identity: int, instance: gossip.Instance, age: float
) -> bytes:
    """Returns the heartbeat of an instance; ``age`` is in seconds."""
    # Most of an idle fleet's heartbeats have no load.
    in_flight = rate = share = 0
    if instance.in_flight:
        in_flight = min(MAX_UINT8, instance.in_flight)
    if instance.request_rate:
        rate = min(MAX_UINT16, round(instance.request_rate * RATE_FACTOR))
    if instance.cores_used:
        used = instance.cores_used / max(instance.cores, 1e-9)
        share = min(MAX_UINT8, round(used * SHARE_FACTOR))
    return _INSTANCE.pack(
        identity,
        instance.sequence % SEQUENCE_MODULUS,
        _pack_age(age),
        in_flight,
        rate,
        share,
    )


def pack_shares(instance: gossip.Instance) -> bytes:
    """Returns what an instance uses of its link, memory and descriptors."""
    if not (instance.link or instance.memory or instance.descriptors):
        return NO_SHARES
    link = memory = descriptors = 0
    if instance.link:
        used = instance.link_used / instance.link
        link = min(MAX_LINK_SHARE, round(used * SHARE_FACTOR))
    if instance.memory:
        memory = _coarse(instance.memory_used / instance.memory)
    if instance.descriptors:
        used = instance.descriptors_used / instance.descriptors
        descriptors = _coarse(used)
    return bytes((link, memory << 4 | descriptors))


def _coarse(share: float) -> int:
    return min(MAX_COARSE_SHARE, round(share * MAX_COARSE_SHARE))


def unpack_shares(shares: bytes) -> tuple[float, float, float] | None:
    """Returns the used shares of link, memory and descriptors, if known."""
    if len(shares) != SHARES_SIZE or shares == NO_SHARES:
        return None
    link, coarse = shares
    return (
        link / SHARE_FACTOR,
        (coarse >> 4) / MAX_COARSE_SHARE,
        (coarse & MAX_COARSE_SHARE) / MAX_COARSE_SHARE,
    )


def pack_target(identity: int, target: gossip.Target, age: float) -> bytes:
    """Returns the heartbeat of a target without load."""
    return _TARGET.pack(
        identity, target.sequence % SEQUENCE_MODULUS, _pack_age(age)
    )


def pack_loaded_target(
    identity: int, target: gossip.Target, age: float
) -> bytes:
    """Returns the heartbeat of a target with its load."""
    return _LOADED_TARGET.pack(
        identity,
        target.sequence % SEQUENCE_MODULUS,
        _pack_age(age),
        min(MAX_UINT16, target.load.running),
        min(MAX_UINT16, target.load.waiting),
    )


def unpack_instances(
    data: bytes, seen: Seen, shares: bytes = b""
) -> typing.Iterator[InstanceHeartbeat]:
    """Yields heartbeats of instances; an incomplete last one is left out.

    Those that are in ``seen`` are left out as well: most arrive twice.
    ``shares`` are the uses of other resources that belong to them.
    """
    for number, fields in enumerate(_iterate(_INSTANCE, data)):
        if seen.get(fields[0]) != fields[1]:
            start = number * SHARES_SIZE
            end = start + SHARES_SIZE
            yield InstanceHeartbeat._make((*fields, shares[start:end]))


def unpack_targets(
    data: bytes, seen: Seen
) -> typing.Iterator[TargetHeartbeat]:
    """Yields heartbeats of targets without load; see above."""
    for fields in _iterate(_TARGET, data):
        if seen.get(fields[0]) != fields[1]:
            yield TargetHeartbeat(*fields)


def unpack_loaded_targets(
    data: bytes, seen: Seen
) -> typing.Iterator[TargetHeartbeat]:
    """Yields heartbeats of targets with their load; see above."""
    for fields in _iterate(_LOADED_TARGET, data):
        if seen.get(fields[0]) != fields[1]:
            yield TargetHeartbeat._make(fields)


def identities(message: gossip.CompactMessage) -> set[int]:
    """Returns the identities of all heartbeats of a message."""
    return {
        fields[0]
        for layout, data in (
            (_INSTANCE, message.instance_heartbeats),
            (_TARGET, message.target_heartbeats),
            (_LOADED_TARGET, message.loaded_target_heartbeats),
        )
        for fields in _iterate(layout, data)
    }


def _iterate(layout: struct.Struct, data: bytes) -> typing.Iterator[tuple]:
    whole = len(data) // layout.size * layout.size
    return layout.iter_unpack(data[:whole])


def _pack_age(age: float) -> int:
    units = int(age / AGE_UNIT_SECONDS)
    if units <= 0:
        return 0
    return units if units < MAX_AGE else MAX_AGE


def age_seconds(age: int) -> float:
    """Returns the age of a heartbeat, infinite if it is too high to tell."""
    return float("inf") if age >= MAX_AGE else age * AGE_UNIT_SECONDS


def is_newer(sequence: int, known: int) -> bool:
    """Whether a heartbeat's sequence number is newer than a full one.

    Numbers up to half of the modulus ahead are newer.
    """
    return 0 < (sequence - known) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


def full_sequence(sequence: int, known: int) -> int:
    """Returns the full number of a heartbeat that is newer than ``known``.

    Example::

        assert full_sequence(4, 65_530) == 65_540
    """
    return known + (sequence - known) % SEQUENCE_MODULUS
