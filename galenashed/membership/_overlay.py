"""Whom an entry tells its news: a pure choice.

Load pattern: many entries that each know of all others but send to few.
Drawn at random alone, some entry would now and then be told by nobody until
the next draw, one in two hundred times with nine others and four partners.
So half of the partners are the next ones on a ring of all addresses, which
every entry sees alike, and the others are drawn, which spreads news fast.
"""

import random

RING_PARTNERS = 2


def choose_peers(
    own: str, alive: set[str], count: int, rng: random.Random
) -> list[str]:
    """Returns up to ``count`` of the others that are alive.

    Example::

        partners = choose_peers("a", {"b", "c", "d"}, 2, rng)
        assert partners == ["b", "c"]
    """
    others = sorted(alive - {own})
    later = [address for address in others if address > own]
    ring = later + others[: len(others) - len(later)]
    chosen = ring[: min(RING_PARTNERS, count)]
    rest = ring[len(chosen) :]
    return chosen + rng.sample(rest, min(count - len(chosen), len(rest)))
