"""Keeps the end of a cold period from changing with every heartbeat."""

import msgspec

from galenashed.protocol import gossip as wire

# Two heartbeats of one cold period may name ends that differ by this much:
# delays vary, the clocks of the entries that get them differ by up to a
# second, and ends are rounded up to whole seconds.
MAX_DIFFERENCE_SECONDS = 2


def keep_cold_until(target: wire.Target, known: wire.Target) -> wire.Target:
    """Returns an announcement with the end that is known, if it is later.

    Each change of the end is sent to all entries.
    """
    if (
        not target.cold_until
        or not known.cold_until
        or known.incarnation != target.incarnation
    ):
        return target
    difference = known.cold_until - target.cold_until
    if 0 < difference <= MAX_DIFFERENCE_SECONDS:
        return msgspec.structs.replace(target, cold_until=known.cold_until)
    return target
