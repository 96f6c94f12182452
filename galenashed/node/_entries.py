"""Which entries callers are told to use: a pure choice.

Load patterns: entries that are stopped, cut off or gone while callers keep
answers for a while; cuts between all entries with a control replica and all
others, in which only the former can get tokens; and engines that are chosen
by what an entry has sent itself, so that few entries choose better than many.

So entries with a control replica carry the callers of their region as long
as their processors have room, and others join them when they have not.
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
    carrying, others = _by_preference(serving, domain, region, rng)
    used = sum(entry.cores_used for entry in serving)
    room = sum(entry.cores for entry in carrying)
    chosen = carrying
    for entry in others:
        if len(chosen) >= LEAST_ENTRIES and room * USED_SHARE >= used:
            break
        chosen.append(entry)
        room += entry.cores
    return [entry.address for entry in chosen[:MOST_ENTRIES]]


def _by_preference(
    serving: list[wire.Instance], domain: str, region: str, rng: random.Random
) -> tuple[list[wire.Instance], list[wire.Instance]]:
    """Returns those that carry the callers, and the others, near ones first.

    Each answer has them in another order.
    """
    serving = rng.sample(serving, len(serving))
    carrying = [
        entry for entry in serving if entry.replica and entry.region == region
    ]
    others = [entry for entry in serving if entry not in carrying]
    others.sort(
        key=lambda entry: (
            entry.failure_domain != domain,
            entry.region != region,
        )
    )
    return carrying, others


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
