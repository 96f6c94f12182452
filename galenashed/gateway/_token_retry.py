"""Decides when refused requests should come back for tokens; does no I/O.

The load that this addresses: hundreds of requests of a team are refused
within the same tenth of a second.  With one fixed time for all, they come back
within the same tenth of a second too, and before the tokens.
"""

import random

# Bounds of the times that grants and recalls are expected to take.
MIN_GRANT_SECONDS = 0.1
MAX_GRANT_SECONDS = 2.0
# A recall reaches the holders with the feed of control, and what they return
# is committed before it is granted.
RECALL_SECONDS = 0.2
# If instances that control does not hear hold the tokens: they come back once
# such an instance has started again, or has been silent for long.
SILENT_SECONDS = 2.0
# If only this entry is cut off from control, another one can serve the request
# at once.  Waiting for the limits of this entry to be lifted is better if that
# happens within ``MAX_LIFT_SECONDS``.
OTHER_ENTRY_SECONDS = 0.1
MAX_LIFT_SECONDS = 0.5
# The most that is added at random, as a share of the expected time.
JITTER_SHARE = 1.0


def until_granted(expected: float) -> float:
    """Returns when a grant is expected that takes ``expected`` seconds."""
    return min(MAX_GRANT_SECONDS, max(MIN_GRANT_SECONDS, expected))


def until_recalled(expected: float) -> float:
    """Returns when tokens are expected that other entries hold.

    ``expected`` are the seconds that a grant takes.
    """
    return RECALL_SECONDS + until_granted(expected)


def until_usable_while_cut_off(until_lifted: float | None) -> float:
    """Returns when this or another entry may serve a request.

    ``until_lifted`` are the seconds until this entry may spend what it has
    not announced, None if it holds too little.
    """
    if until_lifted is not None and until_lifted <= MAX_LIFT_SECONDS:
        return max(OTHER_ENTRY_SECONDS, until_lifted)
    return OTHER_ENTRY_SECONDS


def spread(expected: float, rng: random.Random) -> float:
    """Returns the Retry-After for tokens expected in so many seconds."""
    return expected * (1.0 + JITTER_SHARE * rng.random())
