"""Gossip messages about entries and targets, exchanged between entries."""

import msgspec

MAX_NUMBER = 2**63 - 1
MAX_TEXT_LENGTH = 200


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """The numbers of running and waiting requests reported by a target.

    ``slowness`` is the factor by which work takes longer there than usual;
    1.0 if the target does not report it.
    """

    running: int = 0
    waiting: int = 0
    slowness: float = 1.0


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A target's announcement of itself.

    ``sequence`` increases with each announcement of an ``incarnation``;
    ``started``, in seconds since the epoch, orders the incarnations.
    ``state`` is ``ready`` or ``leaving``.  ``slots`` is the number of requests
    that run at once, 0 if unknown.  ``resumes`` tells whether the target can
    continue a stream that another target of the same ``version`` began;
    ``version`` is that of its software, empty if it names none.
    ``cold_until`` is the Unix time in seconds until which the target is cold,
    0 if it says that it is warm, None if it says nothing.
    """

    name: str
    incarnation: str
    started: float
    sequence: int
    service: str
    address: str
    failure_domain: str
    state: str = "ready"
    models: list[str] = []
    resumes: bool = False
    load: Load = Load()
    slots: int = 0
    version: str = ""
    cold_until: int | None = None


def find_error(target: Target) -> str | None:
    """Returns what is wrong with an announcement; None if it can be sent.

    Messages carry integers of 64 bits, and each instance keeps all texts.
    """
    numbers = (
        target.sequence,
        target.slots,
        target.load.running,
        target.load.waiting,
        target.cold_until or 0,
    )
    if not all(0 <= number <= MAX_NUMBER for number in numbers):
        return f"numbers must be from 0 to {MAX_NUMBER}"
    texts = (
        target.name,
        target.incarnation,
        target.service,
        target.address,
        target.failure_domain,
        target.version,
        *target.models,
    )
    if any(len(text) > MAX_TEXT_LENGTH for text in texts):
        return f"texts must have at most {MAX_TEXT_LENGTH} characters"
    return None


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """An entry's announcement of itself to other entries.

    ``state`` is ``starting``, ``serving``, ``cut-off`` (no contact with the
    control replicas) or ``draining``.  ``in_flight`` is the number of requests
    in progress, ``request_rate`` the requests a second of the last seconds.
    ``cores`` is the CPU time per second that the entry may use,
    ``cores_used`` what it uses.  ``replica`` and ``replica_address`` identify
    the control replica in the same process, if there is one, even if it is
    not a member yet.  ``relay_address`` is where the entry serves requests
    that other entries forward.  ``unreachable`` are the services to whose
    targets it has no path, ``isolated`` tells whether these are all services.
    ``gossip_version`` is at least 1 if it understands
    :class:`CompactMessage`, at least 2 if it also has
    ``understands_evacuations``: whether its replica keeps, and it obeys,
    orders to evacuate a failure domain.
    ``link`` is in bytes a second each way, ``memory`` in bytes; these and
    ``descriptors`` are 0 if the entry announces no such limit.
    """

    name: str
    incarnation: str
    started: float
    sequence: int
    address: str
    peer_address: str
    failure_domain: str
    region: str = ""
    state: str = "serving"
    in_flight: int = 0
    cores: float = 1.0
    cores_used: float = 0.0
    replica: str = ""
    replica_address: str = ""
    request_rate: float = 0.0
    relay_address: str = ""
    unreachable: list[str] = []
    isolated: bool = False
    gossip_version: int = 0
    understands_evacuations: bool = False
    link: float = 0.0
    link_used: float = 0.0
    memory: int = 0
    memory_used: int = 0
    descriptors: int = 0
    descriptors_used: int = 0


class TargetLimit(msgspec.Struct, frozen=True, kw_only=True):
    """The limit that an answer of a target named, ``age`` seconds ago.

    ``target`` is the name of the target's incarnation.
    ``requests_per_second`` counts those of all entries together; it is None
    if the answer named none although one before it had.
    """

    target: str
    requests_per_second: float | None
    age: float


class GossipMessage(msgspec.Struct, frozen=True, kw_only=True):
    """The sender's own announcement and those that it forwards.

    ``target_ages`` and ``instance_ages`` are the seconds since each forwarded
    announcement left its announcer, as far as the sender knows.  ``known`` is
    the number of instances and targets that the sender knows, ``limits`` are
    the limits of targets.
    """

    sender: Instance
    targets: list[Target]
    instances: list[Instance] = []
    known: int = 0
    target_ages: list[float] = []
    instance_ages: list[float] = []
    limits: list[TargetLimit] = []


# Shorter names on the wire of the fields that most messages have.
_COMPACT_NAMES = {
    "sender": "s",
    "instance_heartbeats": "i",
    "instance_shares": "u",
    "target_heartbeats": "t",
    "loaded_target_heartbeats": "l",
}


class CompactMessage(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename=_COMPACT_NAMES,
):
    """What an entry sends while all have ``gossip_version`` 1 or more.

    ``sender`` is its name.  ``instance_heartbeats``, ``target_heartbeats`` and
    ``loaded_target_heartbeats`` are packed by
    :mod:`galenashed.protocol.heartbeats`; if ``complete``, they list all that
    the sender knows.  ``instances`` and ``targets`` are announcements that
    are new or changed, with their ages in seconds.  ``instance_shares`` adds
    to each of ``instance_heartbeats`` what the instance uses of its link,
    memory and descriptors; it is empty if none announces these.  ``wanted``
    are the identities of announcements that the sender asks the receiver for.
    """

    sender: str
    complete: bool = False
    instance_heartbeats: bytes = b""
    instance_shares: bytes = b""
    target_heartbeats: bytes = b""
    loaded_target_heartbeats: bytes = b""
    instances: list[Instance] = []
    targets: list[Target] = []
    instance_ages: list[float] = []
    target_ages: list[float] = []
    wanted: list[int] = []
    limits: list[TargetLimit] = []
