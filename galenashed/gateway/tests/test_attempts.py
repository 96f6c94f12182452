"""Which requests may be retried on another target."""

import testtools

from galenashed.gateway import _attempts
from galenashed.protocol import routes as wire

Outcome = _attempts.AttemptOutcome


def route(kind, *, resumable=False, max_targets=2):
    return wire.Route(
        name="r",
        host="h",
        prefix="/",
        kind=kind,
        shares=[],
        time_limit=1.0,
        resumable=resumable,
        max_targets=max_targets,
    )


def allowed(candidate_route, *outcomes, time_left=1.0):
    attempts = _attempts.AttemptCounts()
    for outcome in outcomes:
        attempts.record(outcome)
    return _attempts.may_retry(
        candidate_route, attempts, outcomes[-1], time_left
    )


IDEMPOTENT = route(wire.RouteKind.IDEMPOTENT)
AT_MOST_ONCE = route(wire.RouteKind.AT_MOST_ONCE)
STREAM = route(wire.RouteKind.STREAM)
RESUMABLE = route(wire.RouteKind.STREAM, resumable=True)


class TestMayRetry(testtools.TestCase):
    """Retry rules of a route."""

    def test_request_that_may_have_run_is_retried_only_if_repeatable(self):
        self.assertTrue(allowed(IDEMPOTENT, Outcome.LOST))
        self.assertTrue(allowed(RESUMABLE, Outcome.LOST))
        self.assertFalse(allowed(AT_MOST_ONCE, Outcome.LOST))
        self.assertFalse(allowed(STREAM, Outcome.LOST))

    def test_request_that_did_not_run_is_retried_on_any_route(self):
        for candidate_route in (IDEMPOTENT, AT_MOST_ONCE, STREAM, RESUMABLE):
            self.assertTrue(allowed(candidate_route, Outcome.REJECTED))
            self.assertTrue(allowed(candidate_route, Outcome.NOT_SENT))

    def test_run_after_a_rejection_counts(self):
        self.assertFalse(allowed(AT_MOST_ONCE, Outcome.REJECTED, Outcome.LOST))

    def test_max_targets_is_not_exceeded(self):
        self.assertFalse(allowed(IDEMPOTENT, Outcome.LOST, Outcome.LOST))
        one = route(wire.RouteKind.IDEMPOTENT, max_targets=1)
        self.assertFalse(allowed(one, Outcome.LOST))

    def test_rejections_are_not_retried_forever(self):
        outcomes = [Outcome.REJECTED] * 10
        self.assertFalse(allowed(IDEMPOTENT, *outcomes))

    def test_no_time_left(self):
        self.assertFalse(allowed(IDEMPOTENT, Outcome.LOST, time_left=0.0))

    def test_error_response_is_retried_only_if_idempotent(self):
        self.assertTrue(allowed(IDEMPOTENT, Outcome.FAILED))
        self.assertFalse(allowed(RESUMABLE, Outcome.FAILED))
