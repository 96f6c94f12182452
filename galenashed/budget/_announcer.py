"""When a holder announces how far it spends, and when it may go further.

Control must know how much a holder can have spent that dies without a word.
So a holder announces limits ahead of its spending and keeps to what control
has surely heard.  A holder that is cut off can't announce anything; once
``CUT_SECONDS`` have passed since it last tried, it may spend all that it
holds.  Control in turn trusts the announced limits of a dead holder only if
its successor started shortly after it was last heard, in which time it can't
have gone further.

Time that the process was suspended for is not seen here, which only has it
wait longer.
"""

# Seconds; control's own bound is shorter by more than clocks may jump.
CUT_SECONDS = 5.0
PERIOD_SECONDS = 0.3
# After an announcement without an answer the next one waits, so that a cut
# that has just begun is not taken to begin later.
RETRY_SECONDS = 0.6
# The name under which control stands among those that hear of limits.
CONTROL = "control"


class Announcer:
    """The sans-IO account of announcements; one is on its way at a time.

    Example::

        announcer = Announcer()
        if announcer.is_due(now=1.0, control_reachable=True):
            announcer.on_sent(now=1.0)
            ...
            announcer.on_answer(now=1.01, heard=True)
    """

    __slots__ = ("_hasty", "_last_sent", "_next_at", "_on_its_way", "lifted")

    def __init__(self) -> None:
        self._last_sent: float | None = None
        self._next_at = 0.0
        self._on_its_way = False
        self._hasty = False
        self.lifted = False

    def is_due(self, *, now: float, control_reachable: bool) -> bool:
        """Whether to announce now; not while control is out of reach."""
        return (
            control_reachable and not self._on_its_way and now >= self._next_at
        )

    def hasten(self) -> None:
        """Has limits announced at once, or after those on their way."""
        self._hasty = True
        if not self._on_its_way:
            self._next_at = 0.0

    def on_sent(self, *, now: float) -> None:
        """Notes that limits were sent; they may be heard from now on."""
        self._last_sent = now
        self._on_its_way = True
        self._hasty = False
        self.lifted = False

    def on_answer(self, *, now: float, heard: bool) -> None:
        """Notes whether control has surely heard them."""
        self._on_its_way = False
        if not heard:
            self._next_at = now + RETRY_SECONDS
        elif self._hasty:
            self._next_at = now
        else:
            self._next_at = now + PERIOD_SECONDS

    def may_lift(self, *, now: float, control_reachable: bool) -> bool:
        """Whether all that is held may be spent from now on."""
        if control_reachable or self.lifted or self._last_sent is None:
            return False
        return now - self._last_sent > CUT_SECONDS
