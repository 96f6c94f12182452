"""The planned stop of an instance."""

import typing


class PlannedStop(typing.NamedTuple):
    """When an instance stops, in seconds on the monotonic clock.

    Requests in progress are cut at ``stop_at``.  From ``short_only_from`` on,
    a request is accepted only if its time limit passes before that.
    """

    short_only_from: float
    stop_at: float

    def may_accept(self, deadline: float, now: float) -> bool:
        """Returns whether a request with this time limit is accepted."""
        return now < self.short_only_from or deadline <= self.stop_at
