"""Which entries callers are told to use: a pure choice.

Load patterns: entries that are stopped, cut off or gone while callers keep
answers for a while, callers in every failure domain, and cuts between all
entries with a control replica and all others, in which only the former can
get tokens.  Near entries come first, as many as it takes to spread the load;
others fill up the answer where too few are near.
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
    """Returns addresses for callers, far ones only if near ones are few.

    Entries that are cut off from control are named only if all are.
    """
    serving = [entry for entry in alive if entry.state == "serving"]
    if not serving:
        serving = [entry for entry in alive if entry.state == "cut-off"]
    near = [entry for entry in serving if entry.failure_domain == domain]
    far = [entry for entry in serving if entry.failure_domain != domain]
    rng.shuffle(near)
    rng.shuffle(far)
    chosen = near
    if len(near) < LEAST_ENTRIES:
        chosen = near + far
    return [entry.address for entry in chosen[:MOST_ENTRIES]]


def choose_cut_off(
    own: wire.Instance, remembered: list[wire.Instance], rng: random.Random
) -> list[str]:
    """Returns addresses for callers of an entry that is cut off.

    It can't reach the entries with a control replica, but callers may.  Its
    own address stays among them, for those entries may be gone instead.
    """
    replicas = [
        entry
        for entry in remembered
        if entry.replica
        and entry.state == "serving"
        and entry.name != own.name
    ]
    rng.shuffle(replicas)
    chosen = [entry.address for entry in replicas[: MOST_ENTRIES - 1]]
    return [*chosen, own.address]
