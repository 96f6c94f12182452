"""Retry rules for requests that a target did not answer."""

import enum

from galenashed.protocol import routes as wire

# A request is retried after at most this many rejected and unsent attempts
# beyond ``Route.max_targets``.  Bounds the retries when all targets of a
# service are full.
MAX_EXTRA_UNSERVED_ATTEMPTS = 2
# Time left below which a retry is not worthwhile: the round trip to another
# target would take most of it.
MIN_TIME_LEFT_SECONDS = 0.02


class AttemptOutcome(enum.Enum):
    """Why an attempt gave the caller no complete response.

    ``NOT_SENT``: no connection could be opened.  ``REJECTED``: the target
    did not execute the request.  ``LOST``: the response did not arrive or
    was incomplete.  ``FAILED``: the target answered with an error.
    """

    NOT_SENT = "not sent"
    REJECTED = "rejected"
    LOST = "lost"
    FAILED = "failed"


class AttemptCounts:
    """Counts the failed attempts of a request.

    ``runs`` counts the targets that have executed it, or may have.
    """

    __slots__ = ("rejections", "runs", "unsent")

    def __init__(self) -> None:
        self.runs = 0
        self.rejections = 0
        self.unsent = 0

    def record(self, outcome: AttemptOutcome) -> None:
        """Counts a failed attempt."""
        if outcome is AttemptOutcome.NOT_SENT:
            self.unsent += 1
        elif outcome is AttemptOutcome.REJECTED:
            self.rejections += 1
        else:
            self.runs += 1


def may_retry(
    route: wire.Route,
    attempts: AttemptCounts,
    last_outcome: AttemptOutcome,
    time_left: float,
) -> bool:
    """Whether the rules of the route allow an attempt on another target.

    Retries help when some targets crash, are full or fail part of their
    requests while others have capacity.  A request that may have been
    executed is retried only if the route is repeatable, and on at most
    ``route.max_targets`` targets.
    """
    if time_left < MIN_TIME_LEFT_SECONDS:
        return False
    if attempts.runs >= route.max_targets:
        return False
    if attempts.runs and not route.repeatable:
        return False
    if (
        last_outcome is AttemptOutcome.FAILED
        and route.kind is not wire.RouteKind.IDEMPOTENT
    ):
        return False
    unserved = attempts.rejections + attempts.unsent
    return unserved <= route.max_targets + MAX_EXTRA_UNSERVED_ATTEMPTS
