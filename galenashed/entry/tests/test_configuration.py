"""Tests of the suspected requests that an entry knows."""

import testtools

from galenashed.entry import _configuration
from galenashed.protocol import control as wire


def make_event(index: int, crashes: dict[str, int]) -> wire.FollowEvent:
    suspects = wire.Suspects(index=index, crashes=crashes)
    return wire.FollowEvent(age=0.0, suspects=suspects)


class TestSuspects(testtools.TestCase):
    """Crashes that this entry reports, and those that the feed delivers."""

    def setUp(self):
        super().setUp()
        self.configuration = _configuration.Configuration(
            max_stale=10.0, serve_when_stale=False
        )

    def record_crash(self, digest: str, count: int, index: int):
        reply = wire.Crashes(count=count, index=index)
        self.configuration.record_crash(digest, reply)

    def test_feed_is_reported_after_the_reply_to_an_own_report(self):
        self.record_crash("a", count=1, index=7)
        changed = self.configuration.on_event(make_event(7, {"a": 1}))
        self.assertTrue(changed)
        self.assertEqual(7, self.configuration.suspects.index)

    def test_own_report_does_not_claim_crashes_reported_before_it(self):
        self.record_crash("b", count=1, index=9)
        self.assertEqual(0, self.configuration.suspects.index)

    def test_own_report_applies_until_the_feed_includes_it(self):
        self.record_crash("a", count=1, index=7)
        self.assertEqual(1, self.configuration.crash_count("a"))
        self.configuration.on_event(make_event(5, {"b": 2}))
        self.assertEqual(1, self.configuration.crash_count("a"))
        self.assertEqual(2, self.configuration.crash_count("b"))
        # The request was cleared in the meantime.
        self.configuration.on_event(make_event(8, {"b": 2}))
        self.assertEqual(0, self.configuration.crash_count("a"))
