"""Which entries of a failure domain can bear its load; does no I/O.

Addresses a crowd that comes within a second in one failure domain whose
machines differ: callers pick among the named entries with equal probability,
so each gets the same load, and the weakest must bear it.

An entry that announces no link, memory or descriptors, such as one of an old
build, is judged by its cores alone.
"""

import typing

from galenashed.protocol import gossip as wire

# Least number of entries named beyond those whose loss is tolerated.
MIN_REMAINING = 3
# Load may come faster than callers ask again which entries to use.  Room is
# kept for the load that would use this share of the processors and links of
# all entries of the domain as much as :class:`Resource` allows.
MIN_LOAD_SHARE = 0.2
# Factors by which more may be used if no selection has room for the load.
RELAXATIONS = (1.0, 2.0, 4.0)


class Resource(typing.NamedTuple):
    """What limits the load of entries.

    ``capacity`` and ``used`` are the fields of :class:`Instance`.
    ``max_share`` is the share of the capacity that may be in use after the
    tolerated losses; the rest is for bursts.  ``has_reserve`` tells whether
    room is kept for load before it comes.
    """

    capacity: str
    used: str
    max_share: float
    has_reserve: bool


CORES = Resource("cores", "cores_used", 0.25, True)
OTHERS = (
    Resource("link", "link_used", 0.2, True),
    Resource("memory", "memory_used", 0.7, False),
    Resource("descriptors", "descriptors_used", 0.25, False),
)
RESOURCES = (CORES, *OTHERS)


class Load(typing.NamedTuple):
    """What a resource bears: ``idle`` at each entry, and ``demand`` in all."""

    idle: float
    demand: float


Loads = dict[Resource, Load]


def announces_limits(entry: wire.Instance) -> bool:
    """Whether an entry announces more than its cores."""
    return bool(entry.link or entry.memory or entry.descriptors)


def share_used(entry: wire.Instance) -> float:
    """Returns the largest share of any resource that an entry uses."""
    return max(
        getattr(entry, resource.used) / getattr(entry, resource.capacity)
        for resource in RESOURCES
        if getattr(entry, resource.capacity) or resource is CORES
    )


def cores_demand(members: list[wire.Instance]) -> float:
    """Returns the cores that callers' requests use.

    What the idlest entry uses is taken for what each uses without requests.
    """
    shares = [entry.cores_used / max(entry.cores, 1e-9) for entry in members]
    idle = min(shares, default=0.0)
    return sum(entry.cores_used - idle * entry.cores for entry in members)


def measure(members: list[wire.Instance]) -> Loads:
    """Returns the load of entries by resource.

    The load of entries that don't announce a resource is estimated from their
    requests.
    """
    loads = {CORES: Load(idle=0.0, demand=cores_demand(members))}
    total_rate = sum(entry.request_rate for entry in members)
    for resource in OTHERS:
        known = [e for e in members if getattr(e, resource.capacity)]
        used = [getattr(entry, resource.used) for entry in known]
        idle = min(used, default=0.0)
        demand = sum(amount - idle for amount in used)
        rate = sum(entry.request_rate for entry in known)
        if rate:
            demand *= total_rate / rate
        loads[resource] = Load(idle=idle, demand=demand)
    return loads


def add_reserve(loads: Loads, members: list[wire.Instance]) -> Loads:
    """Returns the load for which room is kept, which may be higher."""
    found = dict(loads)
    for resource, load in loads.items():
        if resource.has_reserve:
            capacity = sum(
                getattr(entry, resource.capacity) for entry in members
            )
            reserve = MIN_LOAD_SHARE * resource.max_share * capacity
            found[resource] = load._replace(demand=max(load.demand, reserve))
    return found


def can_bear(
    entry: wire.Instance, loads: Loads, count: int, *, factor: float = 1.0
) -> bool:
    """Whether an entry has room for one of ``count`` equal parts of a load.

    ``factor`` is how many times as much of each resource may be used.
    """
    for resource, load in loads.items():
        capacity = getattr(entry, resource.capacity)
        if not capacity:
            continue
        share = min(1.0, resource.max_share * factor)
        if load.idle + load.demand / count > share * capacity:
            return False
    return True


def first_able(
    ranked: list[wire.Instance], loads: Loads, losses: int
) -> set[str]:
    """Returns the names of the first entries that can bear a load.

    As few as possible, such that each has room for its part after the loss of
    ``losses`` of them.  If there is no such selection, as many as possible.
    """
    least = min(MIN_REMAINING + losses, len(ranked))
    counts = range(least, len(ranked) + 1)
    for factor in RELAXATIONS:
        for count in counts if factor == 1.0 else reversed(counts):
            remaining = max(1, count - losses)
            able = [
                entry
                for entry in ranked
                if can_bear(entry, loads, remaining, factor=factor)
            ]
            if len(able) >= count:
                return {entry.name for entry in able[:count]}
    return {entry.name for entry in ranked}
