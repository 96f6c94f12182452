"""Decides how many tokens an entry requests and announces; does no I/O.

The load that this addresses: dozens of requests of a team arrive within a
fraction of a second at an entry that has announced none of its tokens.  Each
round trip to control should provide for all of them and for those that come
next, not for the first one only.

What is announced beyond the tokens in use is lost if the entry fails.
"""

from galenashed.budget import _account
from galenashed.budget import _policy

# A budget with a lower expected demand is hardly used.
MIN_EXPECTED_TOKENS = 500
# A recalled entry keeps this many seconds of its demand: about what it takes
# to get tokens again.
KEPT_SECONDS = 0.5


def expected_demand(
    account: _account.Account, now: float, waiting: int = 0
) -> float:
    """Returns the demand in tokens per second.

    ``waiting`` are the tokens that waiting requests need; they count as they
    will once they are reserved.
    """
    return account.demand(now) + waiting / _account.RATE_WINDOW_SECONDS


def limit_headroom(
    account: _account.Account,
    policy: _policy.Policy,
    now: float,
    waiting: int = 0,
) -> int:
    """Returns the tokens that limits should allow beyond those in use.

    Nothing beyond the demand is announced for a budget that is hardly
    used here: if this entry dies, what it has announced is lost.  That is
    missing at the end if the budget is scarce, while what a partition
    delays can still be spent after it.
    """
    demand = expected_demand(account, now, waiting)
    if account.is_scarce:
        return int(demand * policy.scarce_limit_horizon)
    expected = int(demand * policy.limit_horizon)
    if expected < MIN_EXPECTED_TOKENS:
        return expected
    return max(expected, policy.min_limit)


def missing_limits(
    account: _account.Account,
    policy: _policy.Policy,
    now: float,
    *,
    missing: int,
    waiting: int,
) -> int:
    """Returns by how much the limits of a budget should be raised.

    ``missing`` are the tokens that requests need beyond those announced.
    """
    headroom = limit_headroom(account, policy, now, waiting)
    if waiting:
        return waiting + headroom - account.announced
    return max(missing, headroom - account.announced)


def initial_limit(
    account: _account.Account,
    policy: _policy.Policy,
    now: float,
    *,
    need: int,
    want: int,
    waiting: int,
) -> int:
    """Returns the limit with which a grant is requested.

    It covers what grants that are already held cannot, even if all of them
    were announced.
    """
    if not waiting:
        # The next announcement raises it in time.
        return need
    headroom = limit_headroom(account, policy, now, waiting)
    return max(need, min(want, waiting + headroom - account.unspent))


def wanted_tokens(
    account: _account.Account,
    policy: _policy.Policy,
    now: float,
    *,
    missing: int,
    waiting: int,
) -> int:
    """Returns the size of a grant for ``missing`` tokens and the demand."""
    demand = expected_demand(account, now, waiting)
    spare = policy.min_headroom
    if account.max_spare is not None:
        spare = min(spare, account.max_spare)
    return missing + max(spare, int(demand * policy.horizon))


def kept_when_recalled(account: _account.Account | None, now: float) -> int:
    """Returns the tokens that an entry keeps though others need some.

    An entry that returns all tokens makes its own next requests wait for a
    grant and for the recall that this one causes.
    """
    if account is None:
        return 0
    return int(account.demand(now) * KEPT_SECONDS)


def order_for_return(
    account: _account.Account | None,
) -> list[_account.Grant]:
    """Returns the grants with tokens to return, those to keep first.

    What is announced is kept because it can be spent at once.
    """
    if account is None:
        return []
    grants = [
        grant
        for grant in account.grants.values()
        if grant.unspent > 0 and not grant.borrowed
    ]
    return sorted(grants, key=lambda grant: -grant.announced)
