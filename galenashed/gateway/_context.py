"""State of one request while the gateway serves it."""

import time

from galenashed.gateway import _attempts
from galenashed.gateway import _prepaid
from galenashed.gateway import _regions
from galenashed.gateway import _request
from galenashed.protocol import routes as wire
from galenashed.protocol import streams


class RequestContext:
    """State of one request while it is served.

    ``deadline`` is the earlier of the route's and the caller's time limit, on
    the monotonic clock.  ``attempted_targets`` names the targets in the order
    of the attempts; ``last_error`` says why the last attempt failed.
    ``crashed_target`` is set if a target crashed and most likely because of
    the request: the target had begun the answer, without a complete event, or
    the request was suspected before.  ``version`` is that of the software
    which wrote the first event of the stream, None before one is known;
    ``begun`` tells where that was, if it was in this request.
    """

    __slots__ = (
        "attempted_targets",
        "attempts",
        "begun",
        "crashed_target",
        "deadline",
        "home_regions",
        "in_trial",
        "last_error",
        "may_return",
        "request",
        "reservation",
        "retry_after",
        "route",
        "sent_at",
        "service",
        "team",
        "tokens_per_event",
        "version",
    )

    def __init__(
        self,
        *,
        request,
        route,
        team,
        service,
        tokens_per_event,
        reservation,
        in_trial,
        version,
    ):
        self.request: _request.Request = request
        self.route: wire.Route = route
        self.team: wire.RoutedTeam | None = team
        self.service: str = service
        self.tokens_per_event: int = tokens_per_event
        self.reservation: _prepaid.PrepaidReservation = reservation
        self.deadline = find_deadline(request, route)
        # The only regions where it may run, None for all.
        self.home_regions = _regions.find_home_regions(route, team)
        self.attempts = _attempts.AttemptCounts()
        # Whether the request is the trial of a quarantined suspect, which is
        # sent to one target.
        self.in_trial: bool = in_trial
        self.version: str | None = version
        self.begun: streams.StreamOrigin | None = None
        self.attempted_targets: list[str] = []
        self.crashed_target = False
        self.last_error = ""
        # Retry-After, if the targets name when they take it again.
        self.retry_after: float | None = None
        # Whether a caller that is refused may be served later.
        self.may_return = True
        # When it was sent to a target last.
        self.sent_at = request.arrived_at

    @property
    def priority(self) -> int:
        if self.team is not None and self.team.priority is not None:
            return self.team.priority
        return self.route.priority

    def time_left(self) -> float:
        """Returns the seconds until the deadline."""
        return self.deadline - time.monotonic()

    def explain_no_target(self) -> str:
        """Returns why no home region has a target for the request."""
        assert self.home_regions is not None
        return (
            f"service {self.service!r} has no target in the home regions"
            f" {sorted(self.home_regions)}"
        )


def find_deadline(request: _request.Request, route: wire.Route) -> float:
    """Returns the earlier of the route's and the caller's time limit."""
    return request.deadline(route.time_limit)


def elapsed_seconds(request: _request.Request) -> float:
    """Returns the seconds since a request arrived."""
    return round(time.monotonic() - request.arrived_at, 4)
