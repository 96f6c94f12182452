"""Whether a request that a target did not answer is sent to another one."""

import enum

from galenashed.protocol import routes as wire

# Sendings beyond a route's limit while no target has run the request: a
# service whose targets are all full is not asked for long.
MAX_FUTILE_SENDINGS = 2
# Seconds that must be left for another target to be of use; below that the
# round trip to it takes most of them.
MIN_TIME_LEFT_SECONDS = 0.02


class Ending(enum.Enum):
    """How a sending ended without an answer for the caller."""

    NOT_SENT = "not sent"
    REJECTED = "rejected"
    LOST = "lost"
    FAILED = "failed"


class Progress:
    """What has become of a request so far.

    ``runs`` counts the targets that have run it, or may have.
    """

    __slots__ = ("rejections", "runs", "unsent")

    def __init__(self) -> None:
        self.runs = 0
        self.rejections = 0
        self.unsent = 0

    def note(self, ending: Ending) -> None:
        """Counts a sending that has ended."""
        if ending is Ending.NOT_SENT:
            self.unsent += 1
        elif ending is Ending.REJECTED:
            self.rejections += 1
        else:
            self.runs += 1


def may_send_again(
    route: wire.Route,
    progress: Progress,
    last: Ending,
    time_left: float,
) -> bool:
    """Whether the rules of the route allow another target.

    Load pattern: targets that crash, fill up or fail part of their requests
    while the others have room.  What may have run is sent again only where
    the route allows that, and never to more targets than it names.
    """
    if time_left < MIN_TIME_LEFT_SECONDS:
        return False
    if progress.runs >= route.max_targets:
        return False
    if progress.runs and not route.repeatable:
        return False
    if last is Ending.FAILED and route.kind is not wire.Kind.IDEMPOTENT:
        return False
    futile = progress.rejections + progress.unsent
    return futile <= route.max_targets + MAX_FUTILE_SENDINGS
