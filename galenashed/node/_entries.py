"""Which entries callers are told to use: a pure choice.

Load pattern: entries that are stopped, cut off or gone while callers keep
answers for a while, and callers in every failure domain.  Near entries come
first, as many as it takes to spread the load; others fill up the answer
where too few are near.
"""

import random

from galenashed.protocol import spread as wire

# An answer names at least this many entries where there are as many, so
# that a caller whose entry fails has another at hand.
LEAST_ENTRIES = 2
MOST_ENTRIES = 64


def choose(
    alive: list[wire.Instance], domain: str, rng: random.Random
) -> list[str]:
    """Returns addresses for callers, far ones only if near ones are few."""
    serving = [entry for entry in alive if entry.state == "serving"]
    near = [entry for entry in serving if entry.failure_domain == domain]
    far = [entry for entry in serving if entry.failure_domain != domain]
    rng.shuffle(near)
    rng.shuffle(far)
    chosen = near
    if len(near) < LEAST_ENTRIES:
        chosen = near + far
    return [entry.address for entry in chosen[:MOST_ENTRIES]]
