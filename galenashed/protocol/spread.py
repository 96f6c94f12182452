"""Messages by which entries tell each other of entries and targets."""

import msgspec


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """A target's own report: requests running and waiting."""

    running: int = 0
    waiting: int = 0


class Target(msgspec.Struct, frozen=True, kw_only=True):
    """A target's announcement.

    ``sequence`` grows with each announcement of one ``incarnation``;
    ``started`` orders incarnations, in seconds since the epoch.  ``state``
    is ``ready`` or ``leaving``.  ``slots`` is how many requests it runs at
    once, 0 if that is not known.
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


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """An entry's announcement to the other entries.

    ``state`` is ``starting``, ``serving``, ``cut-off`` from control or
    ``draining``; ``in_flight`` counts requests.
    ``cores`` is the processor time a second that it may use, ``cores_used``
    what it uses.
    ``replica`` and ``replica_address`` name the control replica of the same
    process, if it has one, whether that takes part yet or not.
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


class Spread(msgspec.Struct, frozen=True, kw_only=True):
    """The sender's own announcement, and what it passes on of others.

    ``known`` counts the instances and targets that the sender remembers.
    """

    sender: Instance
    targets: list[Target]
    instances: list[Instance] = []
    known: int = 0
