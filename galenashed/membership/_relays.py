"""Selection of the entries that gossip between failure domains.

Updates cross between failure domains only from relays to relays.  All entries
derive the relays from the instances that they consider alive, so no election
is needed, and a relay that is silent is replaced once its lease has expired.

A domain has one relay with a control replica and one without, if it has both:
network partitions often separate the two kinds.
"""

import typing

import xxhash

from galenashed.protocol import gossip as wire

RELAYS_PER_DOMAIN = 2


def choose_relays(
    instances: typing.Iterable[wire.Instance],
) -> dict[str, list[str]]:
    """Returns the peer addresses of the relays of each failure domain.

    Example::

        relays = choose_relays(directory.alive(now))
        assert len(relays["east"]) <= RELAYS_PER_DOMAIN
    """
    by_domain: dict[str, list[wire.Instance]] = {}
    for instance in instances:
        by_domain.setdefault(instance.failure_domain, []).append(instance)
    return {
        domain: [relay.peer_address for relay in _choose(members)]
        for domain, members in by_domain.items()
    }


def _choose(members: list[wire.Instance]) -> list[wire.Instance]:
    ranked = sorted(members, key=_rank)
    first_of_kind = [
        next((m for m in ranked if bool(m.replica) is kind), None)
        for kind in (True, False)
    ]
    chosen = [relay for relay in first_of_kind if relay is not None]
    rest = [member for member in ranked if member not in chosen]
    return (chosen + rest)[:RELAYS_PER_DOMAIN]


def _rank(instance: wire.Instance) -> tuple[bool, int, str]:
    """Sorts those that are about to stop last, the others by a hash."""
    return (
        instance.state == "draining",
        xxhash.xxh32_intdigest(instance.name.encode()),
        instance.name,
    )
