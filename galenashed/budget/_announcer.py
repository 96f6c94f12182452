"""Timing of spending-limit announcements to control.

Control must be able to bound what a holder has spent when it crashes without
notice.  A holder therefore announces limits ahead of its spending and stays
within the limits that control has acknowledged.  A partitioned holder cannot
announce limits; once ``LIFT_LIMITS_AFTER_SECONDS`` have passed since its last
attempt, it may spend all of its grants.  Control in turn trusts the announced
limits of a crashed holder only if its successor started shortly after the
holder sent its last announcement, too soon for it to have exceeded them.

Time during which the process was suspended is not counted, which only makes
the holder wait longer.

A holder that is gone for good has no successor.  So the grants of a holder
name *guards*: other entries that have to record it before the holder exceeds
its limits.  After a long silence control asks the guards of a holder.  If
enough of them have no such record, and will accept none any more, control
frees what the holder has not announced.  The holder in turn ignores
acknowledgements that come after a shorter silence.
"""

# The corresponding bound of control, ``MAX_TRUSTED_SILENCE_SECONDS``, is
# shorter by more than clocks may jump.
LIFT_LIMITS_AFTER_SECONDS = 5.0
PERIOD_SECONDS = 0.3
# Delay after an unanswered announcement.  ``LIFT_LIMITS_AFTER_SECONDS`` count
# from the last attempt, so quick retries would date the start of a partition
# too late.
RETRY_SECONDS = 0.6
# A holder that has had no contact with control for this long stops spending
# beyond the limits that were acknowledged before, even if control acknowledges
# higher ones later.  Suspended time counts.
CONTACT_VALID_SECONDS = 7.0
# Control asks the guards of a holder after this silence: longer by more than
# clocks drift apart meanwhile.
CLOSE_AFTER_SILENCE_SECONDS = 8.0
# Key of control among the witnesses of a grant.
CONTROL = "control"


class Announcer:
    """Sans-IO schedule of announcements, with at most one in flight.

    Example::

        announcer = Announcer()
        if announcer.is_due(now=1.0, control_reachable=True):
            announcer.on_sent(now=1.0)
            ...
            announcer.on_result(now=1.01, acknowledged=True)
    """

    __slots__ = (
        "_contact_at",
        "_expedited",
        "_in_flight",
        "_last_sent",
        "_next_at",
        "limits_lifted",
    )

    def __init__(self) -> None:
        self._contact_at: float | None = None
        self._last_sent: float | None = None
        self._next_at = 0.0
        self._in_flight = False
        self._expedited = False
        self.limits_lifted = False

    def is_due(self, *, now: float, control_reachable: bool) -> bool:
        """Whether to announce now; False while control is unreachable."""
        return (
            control_reachable and not self._in_flight and now >= self._next_at
        )

    def expedite(self) -> None:
        """Makes an announcement due now, or once none is in flight."""
        self._expedited = True
        if not self._in_flight:
            self._next_at = 0.0

    def on_sent(self, *, now: float) -> None:
        """Records that limits were sent; control may receive them from now."""
        self._last_sent = now
        self._in_flight = True
        self._expedited = False
        self.limits_lifted = False

    def on_result(self, *, now: float, acknowledged: bool) -> None:
        """Records whether control has acknowledged the limits."""
        self._in_flight = False
        if not acknowledged:
            self._next_at = now + RETRY_SECONDS
        elif self._expedited:
            self._next_at = now
        else:
            self._next_at = now + PERIOD_SECONDS

    def on_contact(self, *, sent: float, now: float) -> bool:
        """Records that control has acknowledged a command sent at ``sent``.

        Returns whether contact had been lost before for so long that control
        may have closed the grants.  Times are of a clock that counts
        suspended time.
        """
        previous = self._contact_at
        self._contact_at = sent if previous is None else max(sent, previous)
        return previous is not None and now - previous > CONTACT_VALID_SECONDS

    def may_lift_limits(self, *, now: float, control_reachable: bool) -> bool:
        """Whether all grants may be spent regardless of their limits."""
        if control_reachable or self.limits_lifted or self._last_sent is None:
            return False
        return now - self._last_sent > LIFT_LIMITS_AFTER_SECONDS

    def seconds_until_lifted(self, now: float) -> float | None:
        """Returns when limits may be lifted if control stays unreachable.

        Returns None before the first announcement.
        """
        if self._last_sent is None:
            return None
        return max(0.0, self._last_sent + LIFT_LIMITS_AFTER_SECONDS - now)
