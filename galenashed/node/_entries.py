"""Which entries callers are told to use: a pure choice.

Load patterns: entries that are stopped, cut off or gone while callers keep
answers for a while; cuts between all entries with a control replica and all
others, in which only the former can get tokens; and engines that are chosen
by what an entry has sent itself, so that few entries choose better than many.

So the entries with a control replica carry the callers of their region as long
as their processors have room for all.  Otherwise all near entries do, for a
few replicas before a large fleet can carry a small part only.
"""

import random

from galenashed.protocol import spread as wire

# An answer names at least this many entries where there are as many, so
# that a caller whose entry fails has another at hand.
LEAST_ENTRIES = 2
MOST_ENTRIES = 64
# Of the processor time of the entries that are named, the part that may be
# in use; leaves room for a burst and for the loss of one of three.
USED_SHARE = 0.4


def choose(
    alive: list[wire.Instance], domain: str, region: str, rng: random.Random
) -> list[str]:
    """Returns addresses for callers of a failure domain in a region.

    Entries that are cut off from control are named only if all are.
    """
    serving = [entry for entry in alive if entry.state == "serving"]
    if not serving:
        serving = [entry for entry in alive if entry.state == "cut-off"]
    rng.shuffle(serving)
    local = [entry for entry in serving if entry.region == region]
    replicas = [entry for entry in local if entry.replica]
    used = sum(entry.cores_used for entry in local)
    room = USED_SHARE * sum(entry.cores for entry in replicas)
    chosen = replicas
    if used > room or len(replicas) < LEAST_ENTRIES:
        chosen = [one for one in serving if one.failure_domain == domain]
    if len(chosen) < LEAST_ENTRIES:
        others = [one for one in serving if one not in chosen]
        others.sort(key=lambda one: one.region != region)
        chosen = chosen + others
    return [entry.address for entry in chosen[:MOST_ENTRIES]]


def choose_cut_off(
    own: wire.Instance,
    remembered: list[wire.Instance],
    rng: random.Random,
    *,
    short: bool,
) -> list[str]:
    """Returns addresses for callers of an entry that is cut off.

    It can't reach the entries with a control replica, but callers may.  Its
    own address stays among them, for those entries may be gone instead, but
    not while it is ``short`` of tokens and would refuse the callers.
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
    if chosen and short:
        return chosen
    return [*chosen, own.address]
