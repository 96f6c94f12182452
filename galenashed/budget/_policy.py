"""Policies for the size and lifetime of an entry's grants."""

from galenashed.budget import _announcer

# How long acknowledged limits should last at the current demand.
LIMIT_HORIZON_SECONDS = 0.5
# The same for limits announced to control: until a holder that is cut off may
# spend its whole grants, and the time since the last announcement before.
ANNOUNCED_HORIZON_SECONDS = (
    _announcer.LIFT_LIMITS_AFTER_SECONDS + 2 * _announcer.PERIOD_SECONDS
)
# The same for budgets that will soon be used up.
SCARCE_LIMIT_HORIZON_SECONDS = 1.0


class Policy:
    """Sizes and lifetimes of grants, in tokens and seconds.

    ``horizon`` is how long a grant should last at the current demand, and
    ``min_headroom`` the least that is requested beyond the tokens missing.
    ``idle`` is how long an unused grant is kept, and ``recall_wait`` how long
    a request waits for other entries to return tokens.  With
    ``serve_when_stale``, an entry that is partitioned from control continues
    to spend its grants.  ``emergency_tokens`` is the size of one grant per
    budget without witnesses: it can be spent when no witness answers, and is
    lost if its holder crashes.  With ``announces_limits``, the holder
    announces spending limits to control in advance, ``limit_horizon`` seconds
    of demand ahead, but ``min_limit`` tokens at least while there is demand;
    see :class:`Announcer`.  Limits of a budget that will soon be used up are
    announced ``scarce_limit_horizon`` seconds ahead, by default as many.
    """

    __slots__ = (
        "announces_limits",
        "emergency_tokens",
        "horizon",
        "idle",
        "limit_horizon",
        "min_headroom",
        "min_limit",
        "recall_wait",
        "scarce_limit_horizon",
        "serve_when_stale",
    )

    def __init__(
        self,
        *,
        horizon: float,
        idle: float,
        min_headroom: int,
        recall_wait: float,
        serve_when_stale: bool,
        emergency_tokens: int,
        announces_limits: bool = False,
        limit_horizon: float = LIMIT_HORIZON_SECONDS,
        min_limit: int = 0,
        scarce_limit_horizon: float | None = None,
    ):
        self.announces_limits = announces_limits
        self.limit_horizon = limit_horizon
        self.scarce_limit_horizon = (
            limit_horizon
            if scarce_limit_horizon is None
            else scarce_limit_horizon
        )
        self.min_limit = min_limit
        self.emergency_tokens = emergency_tokens
        self.horizon = horizon
        self.idle = idle
        self.min_headroom = min_headroom
        self.recall_wait = recall_wait
        self.serve_when_stale = serve_when_stale


def _make_announcing_policy(
    *, idle: float, horizon: float, min_limit: int = 0
) -> Policy:
    """Returns a policy for entries without witnesses."""
    return Policy(
        horizon=horizon,
        idle=idle,
        min_limit=min_limit,
        min_headroom=10_000,
        recall_wait=0.5,
        serve_when_stale=True,
        emergency_tokens=0,
        announces_limits=True,
        limit_horizon=ANNOUNCED_HORIZON_SECONDS,
        scarce_limit_horizon=SCARCE_LIMIT_HORIZON_SECONDS,
    )


# No policy may overspend.  "overspend-first" strands few tokens when an entry
# is lost and stops serving on stale configuration; "refusals-first" holds
# larger grants and continues to serve through a partition.
POLICIES = {
    "overspend-first": Policy(
        horizon=5.0,
        idle=5.0,
        min_headroom=2_000,
        recall_wait=1.0,
        serve_when_stale=False,
        emergency_tokens=0,
    ),
    # For entries that callers are sent to: their grants must last through
    # partitions of ten seconds, also if few requests came before.
    "cut-tolerant": _make_announcing_policy(
        idle=3600.0, horizon=14.0, min_limit=5_000
    ),
    # For entries that receive requests only occasionally: idle tokens are
    # returned early because they cannot be recalled during a partition.
    "standby": _make_announcing_policy(idle=5.0, horizon=6.0),
    "refusals-first": Policy(
        horizon=60.0,
        idle=60.0,
        min_headroom=20_000,
        recall_wait=2.0,
        serve_when_stale=True,
        emergency_tokens=20_000,
    ),
}
