"""How much an entry asks for ahead of its demand."""

# What witnesses have heard lasts for this at the present demand.
HOLD_SECONDS = 0.5


class Policy:
    """Sizes of grants; times in seconds, sizes in tokens.

    ``horizon`` is how long a grant should last at the present demand,
    ``idle`` how long an unused grant is kept, ``serve_when_stale`` whether
    an entry that is cut off from control goes on spending what it holds.
    ``emergency`` is the size of one grant a budget that has no witnesses: it
    can be spent when nobody answers, and is lost if its holder dies.  With
    ``announces`` the holder tells control how far it spends before it does,
    ``hold_ahead`` seconds of demand ahead; see :class:`Announcer`.
    """

    __slots__ = (
        "announces",
        "emergency",
        "hold_ahead",
        "horizon",
        "idle",
        "min_slice",
        "recall_wait",
        "serve_when_stale",
    )

    def __init__(
        self,
        *,
        horizon: float,
        idle: float,
        min_slice: int,
        recall_wait: float,
        serve_when_stale: bool,
        emergency: int,
        announces: bool = False,
        hold_ahead: float = HOLD_SECONDS,
    ):
        self.announces = announces
        self.hold_ahead = hold_ahead
        self.emergency = emergency
        self.horizon = horizon
        self.idle = idle
        self.min_slice = min_slice
        self.recall_wait = recall_wait
        self.serve_when_stale = serve_when_stale


def _announcing(*, idle: float) -> Policy:
    """Returns the policy of entries without witnesses.

    They are cut off for ten seconds and more, and what they hold must last.
    """
    return Policy(
        horizon=6.0,
        idle=idle,
        min_slice=10_000,
        recall_wait=0.5,
        serve_when_stale=True,
        emergency=0,
        announces=True,
        hold_ahead=4.5,
    )


# Neither may overspend.  The first strands few tokens when an entry is lost
# and stops serving on old configuration; the second holds more ahead and
# goes on through a partition.
POLICIES = {
    "overspend-first": Policy(
        horizon=5.0,
        idle=5.0,
        min_slice=2_000,
        recall_wait=1.0,
        serve_when_stale=False,
        emergency=0,
    ),
    "cut-tolerant": _announcing(idle=3600.0),
    # For entries that callers are sent to only now and then: idle tokens go
    # back, for nobody can recall them in a cut.
    "standby": _announcing(idle=5.0),
    "refusals-first": Policy(
        horizon=60.0,
        idle=60.0,
        min_slice=20_000,
        recall_wait=2.0,
        serve_when_stale=True,
        emergency=20_000,
    ),
}
