"""Selection of the peers to which an entry sends its updates.

With many entries, each knows all others but sends to only a few.  If all
peers were drawn at random, a given entry would be chosen by no other in one
of two hundred draws, with nine other entries and four peers each.  So half of
the peers, ``RING_PEERS`` at most, are the successors on a ring of all
addresses, which every entry sorts in the same way.  The rest are drawn at
random, which spreads updates quickly.
"""

import random
import typing

RING_PEERS = 2


def choose_peers(
    own: str,
    alive: set[str],
    count: int,
    rng: random.Random,
    kept: typing.Collection[str] = (),
) -> list[str]:
    """Returns up to ``count`` of the other addresses in ``alive``.

    Those in ``kept`` are preferred to others in place of a random draw, as
    connections to them are open.

    Example::

        peers = choose_peers("a", {"b", "c", "d"}, 2, rng)
        assert peers == ["b", "c"]
    """
    others = sorted(alive - {own})
    successors = [address for address in others if address > own]
    ring = successors + others[: len(others) - len(successors)]
    chosen = ring[: min(RING_PEERS, (count + 1) // 2)]
    rest = ring[len(chosen) :]
    chosen += [address for address in rest if address in kept]
    rest = [address for address in rest if address not in kept]
    drawn = rng.sample(rest, min(max(0, count - len(chosen)), len(rest)))
    return (chosen + drawn)[:count]
