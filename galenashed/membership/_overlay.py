"""Selection of the peers to which an entry sends its updates.

With many entries, each knows all others but sends to only a few.  If all
peers were drawn at random, a given entry would be chosen by no other in one
of two hundred draws, with nine other entries and four peers each.  So the
first ``RING_PEERS`` peers are the successors on a ring of all addresses,
which every entry sorts in the same way.  The rest are drawn at random, which
spreads updates quickly.
"""

import random

RING_PEERS = 2


def choose_peers(
    own: str, alive: set[str], count: int, rng: random.Random
) -> list[str]:
    """Returns up to ``count`` of the other addresses in ``alive``.

    Example::

        peers = choose_peers("a", {"b", "c", "d"}, 2, rng)
        assert peers == ["b", "c"]
    """
    others = sorted(alive - {own})
    successors = [address for address in others if address > own]
    ring = successors + others[: len(others) - len(successors)]
    chosen = ring[: min(RING_PEERS, count)]
    rest = ring[len(chosen) :]
    return chosen + rng.sample(rest, min(count - len(chosen), len(rest)))
