"""Selects the entries that discovery returns to callers, without I/O.

Callers cache discovery responses, so an entry may stop, be cut off or die
while callers still use it.  In a network partition between the entries with a
control replica and all others, only the former can get tokens.  And an entry
chooses engines by the requests that it has sent itself, so few entries choose
better than many.

Therefore the entries with a control replica serve the callers of their region
as long as their processors, and what else they announce, have capacity for
all of them.  Otherwise all
entries of the callers' failure domain do, because a few replicas in front of a
large fleet can only serve a small part of its load.
"""

import functools
import random

import xxhash

from galenashed import membership
from galenashed.node import _capacity
from galenashed.protocol import gossip as wire

# A response names at least two entries if there are as many, so that a caller
# whose entry fails can use another.
MIN_ENTRIES = 2
MAX_ENTRIES = 64
# Share of the processor time of the entries with a replica that may be in use;
# the rest is for bursts and for the loss of one of three such entries.
MAX_UTILIZATION = 0.4
# Share of the processor time of the entries named in a failure domain that its
# load may use.  More are named at once when it uses more; fewer only after the
# load has been lower for HOLD_SECONDS.
MAX_NAMED_UTILIZATION = 0.25
HOLD_SECONDS = 20.0
# Least share of the processor time of a domain's entries that is named: load
# may come faster than callers ask again which entries to use.
MIN_NAMED_SHARE = 0.125
# Entries of a domain that are always named, if there are as many.
MIN_NAMED = 3
# Names whose hashes are kept.
MAX_HASHED_NAMES = 4096
# Loads that are remembered, one for each failure domain and resource; callers
# may send any name of a domain.
MAX_PEAKS = 256
# Above this share of its scarcest resource, an entry is the last choice for
# the requests of others.
BUSY_UTILIZATION = 0.7
# An entry that was not heard for longer may be gone for good, and is not named
# even by those that are cut off and can't tell.  The platform requires that an
# entry is not named 7 s after its loss; the rest is for a message on its way.
MAX_SILENCE_SECONDS = 6.0


def serving(alive: list[wire.Instance]) -> list[wire.Instance]:
    """Returns the entries that serve callers.

    Entries that are cut off from control are included only if no entry has
    contact with it, and those without a path to any target only if no entry
    has one.
    """
    found = [entry for entry in alive if entry.state == "serving"]
    if not found:
        found = [entry for entry in alive if entry.state == "cut-off"]
    return [entry for entry in found if not entry.isolated] or found


def with_path(
    alive: list[wire.Instance],
    service: str,
    domain: str,
    rng: random.Random,
    *,
    regions: frozenset[str] | None = None,
) -> list[str]:
    """Returns where to forward requests for a service, the best first.

    Those in contact with control come first, as others may lack tokens, and
    then those whose processors are not busy: the few that remain in a domain
    can't serve the callers of all others there.  Among these, entries of the
    failure domain ``domain`` come first, as bytes between domains cost more.
    Entries outside of ``regions``, if there are any, are left out.
    """
    usable = [
        entry
        for entry in alive
        if entry.state in ("serving", "cut-off")
        and entry.relay_address
        and service not in entry.unreachable
        and (regions is None or entry.region in regions)
    ]
    rng.shuffle(usable)
    usable.sort(
        key=lambda entry: (
            entry.state != "serving",
            entry.cores_used > BUSY_UTILIZATION * entry.cores,
            entry.failure_domain != domain,
        )
    )
    return [entry.relay_address for entry in usable]


def longest_silence(
    directory: membership.Directory, addresses: list[str], now: float
) -> float:
    """Returns the seconds since the least recently heard was heard."""
    ages = [
        directory.age(entry.name, now)
        for entry in directory.all()
        if entry.address in addresses
    ]
    return round(max(ages, default=0.0), 1)


class NamedEntries:
    """Chooses the entries that callers of each failure domain use.

    All entries derive the same ones: they rank a domain's entries in the same
    order, those with a replica first, and name the first ones whose processors
    have room for the load.  Load that grows is followed at once; while it
    falls, its highest value of the last seconds counts, so that a pause
    between two bursts does not send callers to other entries.

    Parameters
    ----------
    by_all_resources : bool
        Whether entries that announce more than their cores are selected by
        all of their resources; see :mod:`_capacity`.
    losses : int
        Number of entries whose simultaneous loss is tolerated then.
    """

    __slots__ = ("_peaks", "by_all_resources", "losses")

    def __init__(
        self, *, by_all_resources: bool = False, losses: int = 1
    ) -> None:
        self.by_all_resources = by_all_resources
        self.losses = losses
        # By domain and resource: the highest load, and when it was.
        self._peaks: dict[tuple[str, str], tuple[float, float]] = {}

    def choose(
        self,
        alive: list[wire.Instance],
        domain: str,
        region: str,
        rng: random.Random,
        now: float,
    ) -> list[str]:
        """Returns addresses for callers of a failure domain in a region."""
        usable = serving(alive)
        rng.shuffle(usable)
        local = [entry for entry in usable if entry.region == region]
        replicas = [entry for entry in local if entry.replica]
        chosen = replicas
        if len(replicas) < MIN_ENTRIES or not self._have_room(replicas, local):
            members = [e for e in usable if e.failure_domain == domain]
            named = self._choose_members(members, domain, now)
            # In the shuffled order, so that callers spread over them.
            chosen = [entry for entry in members if entry.name in named]
        if len(chosen) < MIN_ENTRIES:
            others = [entry for entry in usable if entry not in chosen]
            others.sort(key=lambda entry: entry.region != region)
            chosen = chosen + others
        return [entry.address for entry in chosen[:MAX_ENTRIES]]

    def choose_all(
        self, alive: list[wire.Instance], rng: random.Random, now: float
    ) -> set[str]:
        """Returns the addresses that callers anywhere are sent to."""
        places = {
            (entry.failure_domain, entry.region) for entry in serving(alive)
        }
        return {
            address
            for domain, region in places
            for address in self.choose(alive, domain, region, rng, now)
        }

    def _choose_members(
        self, members: list[wire.Instance], domain: str, now: float
    ) -> set[str]:
        """Returns the names of the entries that serve a failure domain."""
        if not self.by_all_resources or not any(
            map(_capacity.announces_limits, members)
        ):
            demand = _capacity.cores_demand(members)
            load = self._hold_peak(domain, _capacity.CORES, demand, now)
            return first_with_room(members, load)
        loads = {
            resource: load._replace(
                demand=self._hold_peak(domain, resource, load.demand, now)
            )
            for resource, load in _capacity.measure(members).items()
        }
        return _capacity.first_able(
            _rank(members), _capacity.add_reserve(loads, members), self.losses
        )

    def _have_room(
        self, replicas: list[wire.Instance], local: list[wire.Instance]
    ) -> bool:
        """Whether the entries with a replica can serve a region's callers."""
        used = sum(entry.cores_used for entry in local)
        if used > MAX_UTILIZATION * sum(entry.cores for entry in replicas):
            return False
        if not self.by_all_resources:
            return True
        # The rule for the processors is above.
        loads = _capacity.measure(local)
        del loads[_capacity.CORES]
        return all(
            _capacity.can_bear(entry, loads, len(replicas))
            for entry in replicas
        )

    def _hold_peak(
        self,
        domain: str,
        resource: _capacity.Resource,
        load: float,
        now: float,
    ) -> float:
        key = (domain, resource.capacity)
        peak, peaked_at = self._peaks.get(key, (0.0, now))
        if load >= peak or now - peaked_at > HOLD_SECONDS:
            peak, peaked_at = load, now
        if len(self._peaks) >= MAX_PEAKS and key not in self._peaks:
            self._peaks.clear()
        self._peaks[key] = (peak, peaked_at)
        return peak


def _rank(members: list[wire.Instance]) -> list[wire.Instance]:
    """Returns entries in the order in which all instances name them."""
    return sorted(
        members,
        key=lambda entry: (
            not entry.replica,
            _hash(entry.name),
            entry.name,
        ),
    )


@functools.lru_cache(maxsize=MAX_HASHED_NAMES)
def _hash(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode())


def first_with_room(members: list[wire.Instance], load: float) -> set[str]:
    """Returns the names of the first entries that have room for a load.

    ``load`` is in processor cores.
    """
    needed = max(
        load / MAX_NAMED_UTILIZATION,
        MIN_NAMED_SHARE * sum(entry.cores for entry in members),
    )
    named: set[str] = set()
    for entry in _rank(members):
        if needed <= 0.0 and len(named) >= MIN_NAMED:
            break
        named.add(entry.name)
        needed -= entry.cores
    return named


def last_known(
    directory: membership.Directory, *, contact_at: float, now: float
) -> list[wire.Instance]:
    """Returns the entries that were alive when contact with control was lost.

    ``contact_at`` is the monotonic time of the last contact.
    """
    cut_off_for = now - contact_at
    silence = min(MAX_SILENCE_SECONDS, cut_off_for + directory.lease)
    return directory.heard_within(silence, now)


def choose_while_cut_off(
    own: wire.Instance,
    known: list[wire.Instance],
    rng: random.Random,
    *,
    lacks_tokens: bool,
) -> list[str]:
    """Returns addresses for callers of an entry that is cut off.

    The entry can't reach the entries with a control replica, but callers
    may, so these are included if they are in ``known``, the entries that were
    alive when contact was lost; see :func:`last_known`.  They may also have
    failed, so the entry includes itself, except while it ``lacks_tokens`` and
    would refuse the requests, or has no path to targets.
    """
    replicas = [
        entry
        for entry in known
        if entry.replica
        and entry.state == "serving"
        and entry.name != own.name
    ]
    rng.shuffle(replicas)
    chosen = [entry.address for entry in replicas[: MAX_ENTRIES - 1]]
    if chosen and (lacks_tokens or own.isolated):
        return chosen
    return [*chosen, own.address]
