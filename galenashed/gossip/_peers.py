"""Selection of the entries that compact rounds send to."""

import random
import typing

from galenashed import membership
from galenashed.protocol import gossip as wire

# Entries of the own failure domain that members and relays send to.  Members
# of a large domain send to more: heartbeats must arrive well within a lease.
MEMBER_FANOUT = 2
LARGE_DOMAIN_FANOUT = 3
LARGE_DOMAIN = 64
RELAY_FANOUT = 5


class Peers:
    """The peers of an entry, by what they are sent.

    ``neighbours`` are sent everything that is new; ``uplinks``, the relays
    of the own domain, what began there; and ``relays``, those of other
    domains, the same if this entry is a relay.
    """

    __slots__ = ("neighbours", "relays", "uplinks")

    def __init__(
        self, *, neighbours: list[str], uplinks: list[str], relays: list[str]
    ):
        self.neighbours = neighbours
        self.uplinks = uplinks
        self.relays = relays


def choose(
    own: wire.Instance,
    others: list[wire.Instance],
    rng: random.Random,
    kept: typing.Collection[str],
) -> Peers:
    """Returns the peers of an entry among all others that are alive.

    Neighbours in ``kept`` are preferred to a random draw.
    """
    relays = membership.choose_relays([*others, own])
    own_relays = relays.pop(own.failure_domain)
    is_relay = own.peer_address in own_relays
    members = {
        peer.peer_address
        for peer in others
        if peer.failure_domain == own.failure_domain
    }
    fanout = MEMBER_FANOUT
    if is_relay:
        fanout = RELAY_FANOUT
    elif len(members) > LARGE_DOMAIN:
        fanout = LARGE_DOMAIN_FANOUT
    neighbours = membership.choose_peers(
        own.peer_address, members, fanout, rng, kept
    )
    if is_relay:
        return Peers(
            neighbours=neighbours,
            uplinks=[],
            relays=[item for found in relays.values() for item in found],
        )
    return Peers(
        neighbours=neighbours,
        uplinks=[item for item in own_relays if item not in neighbours],
        relays=[],
    )
