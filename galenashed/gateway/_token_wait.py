"""Decides how long a request waits for prepaid tokens; does no I/O.

The load that this addresses: a team becomes hot at an entry that has few of
its tokens, while callers wait for 1.1 to 16 s and latency objectives are 0.22
s and longer.  Tokens take two round trips to control, or many times as long
while its leader changes.
"""

# Share of the latency objective that a request may wait for tokens and still
# get its response in time.
OBJECTIVE_SHARE = 0.4
# Beyond the objective, a request waits for this many times the time that
# tokens are expected to take, and at least for a recall from other entries and
# two grants.
EXPECTED_FACTOR = 2.0
MIN_LATE_WAIT_SECONDS = 0.5
# Share of what is left of the time limit: the rest is for a target, here or,
# after a refusal, at another entry.
TIME_LEFT_SHARE = 0.5


def longest_wait(
    *, objective: float, time_left: float, expected: float
) -> float:
    """Returns how many seconds a request waits for tokens.

    ``objective`` is the latency objective, ``time_left`` what is left of the
    request's time limit, and ``expected`` how long tokens may take.
    """
    in_time = objective * OBJECTIVE_SHARE
    late = max(MIN_LATE_WAIT_SECONDS, expected * EXPECTED_FACTOR)
    return max(0.0, min(max(in_time, late), time_left * TIME_LEFT_SHARE))
