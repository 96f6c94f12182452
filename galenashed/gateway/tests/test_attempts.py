"""Which requests may be sent to another target."""

import testtools

from galenashed.gateway import _attempts
from galenashed.protocol import routes as wire

Ending = _attempts.Ending


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


def allowed(which, *endings, time_left=1.0):
    progress = _attempts.Progress()
    for ending in endings:
        progress.note(ending)
    return _attempts.may_send_again(which, progress, endings[-1], time_left)


IDEMPOTENT = route(wire.Kind.IDEMPOTENT)
ONCE = route(wire.Kind.AT_MOST_ONCE)
STREAM = route(wire.Kind.STREAM)
RESUMABLE = route(wire.Kind.STREAM, resumable=True)


class TestMaySendAgain(testtools.TestCase):
    """The rules of a route."""

    def test_what_may_have_run_is_repeated_only_where_allowed(self):
        self.assertTrue(allowed(IDEMPOTENT, Ending.LOST))
        self.assertTrue(allowed(RESUMABLE, Ending.LOST))
        self.assertFalse(allowed(ONCE, Ending.LOST))
        self.assertFalse(allowed(STREAM, Ending.LOST))

    def test_what_has_not_run_may_go_elsewhere(self):
        for which in (IDEMPOTENT, ONCE, STREAM, RESUMABLE):
            self.assertTrue(allowed(which, Ending.REJECTED))
            self.assertTrue(allowed(which, Ending.NOT_SENT))

    def test_a_run_after_a_rejection_still_counts(self):
        self.assertFalse(allowed(ONCE, Ending.REJECTED, Ending.LOST))

    def test_never_more_targets_than_the_route_names(self):
        self.assertFalse(allowed(IDEMPOTENT, Ending.LOST, Ending.LOST))
        one = route(wire.Kind.IDEMPOTENT, max_targets=1)
        self.assertFalse(allowed(one, Ending.LOST))

    def test_full_targets_are_not_asked_without_end(self):
        endings = [Ending.REJECTED] * 10
        self.assertFalse(allowed(IDEMPOTENT, *endings))

    def test_no_time_left(self):
        self.assertFalse(allowed(IDEMPOTENT, Ending.LOST, time_left=0.0))

    def test_a_target_s_own_failure_is_tried_again_if_idempotent(self):
        self.assertTrue(allowed(IDEMPOTENT, Ending.FAILED))
        self.assertFalse(allowed(RESUMABLE, Ending.FAILED))
