"""Estimates of how long control takes to provide tokens."""

import testtools

from galenashed.budget import _round_trips


class TestRoundTrips(testtools.TestCase):
    """Guards against waits that are fixed while control slows down."""

    def test_estimate_follows_measured_round_trips(self):
        trips = _round_trips.RoundTrips()
        for number in range(50):
            trips.on_sent(number, now=float(number))
            trips.on_answered(number, now=number + 0.01)
        self.assertLess(trips.estimate(50.0), 0.05)
        for number in range(50, 60):
            trips.on_sent(number, now=float(number))
            trips.on_answered(number, now=number + 0.3)
        self.assertGreater(trips.estimate(60.0), 0.3)

    def test_unanswered_command_raises_the_estimate(self):
        trips = _round_trips.RoundTrips()
        trips.on_sent("a", now=0.0)
        trips.on_answered("a", now=0.01)
        trips.on_sent("b", now=1.0)
        self.assertEqual(0.8, round(trips.estimate(1.8), 6))
        trips.on_abandoned("b")
        self.assertLess(trips.estimate(1.8), 0.1)
