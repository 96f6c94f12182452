"""Which slow requests are sent to a second target."""

import testtools

from galenashed import routing
from galenashed.routing.tests import _hedging_replay

KEY = _hedging_replay.KEY
FREE = routing.ServiceState(running=1, slots=10)
Refusal = routing.HedgeRefusal


def slow(**changes):
    """Returns a request that may be hedged, but for the changes."""
    fields = {
        "route": "r",
        "key": KEY,
        "share": 0.05,
        "runs": 1,
        "max_targets": 2,
        "time_left": 1.0,
        "suspected": False,
    }
    return routing.SlowRequest(**{**fields, **changes})


def measured_policy(requests=1000):
    """Returns a policy that has measured 10 to 109 ms, and the time."""
    policy = routing.HedgePolicy(max_share=0.05)
    now = 0.0
    for number in range(requests):
        now += 0.005
        policy.on_request("r", now)
        seconds = 0.01 + 0.001 * (number % 100)
        policy.on_first_answer(KEY, seconds, now, overdue=False)
    policy.delay(KEY, 0.05, now)
    return policy, now


class TestPolicy(testtools.TestCase):
    """Guards against second runs that are not wanted or over their limit."""

    def test_nothing_is_hedged_by_default(self):
        policy = routing.HedgePolicy()
        self.assertEqual(0.0, policy.share(None))
        self.assertEqual(0.0, policy.share(0.5))

    def test_route_lowers_the_share_of_the_settings(self):
        policy = routing.HedgePolicy(max_share=0.05)
        shares = [policy.share(share) for share in (None, 0.0, 0.01, 0.5)]
        self.assertEqual([0.05, 0.0, 0.01, 0.05], shares)

    def test_delay_is_the_quantile_of_the_share(self):
        policy, now = measured_policy()
        now += 2.0
        for share, seconds in ((0.05, 0.105), (0.02, 0.108), (0.5, 0.1)):
            delay = policy.delay(KEY, share, now)
            self.assertAlmostEqual(seconds, delay, delta=0.003)

    def test_no_delay_before_enough_was_measured(self):
        policy, now = measured_policy(requests=99)
        now += 2.0
        self.assertIsNone(policy.delay(KEY, 0.05, now))

    def test_delays_of_the_past_are_forgotten(self):
        policy, now = measured_policy()
        for number in range(300):
            policy.on_first_answer(
                KEY, 0.5, now + 20.0 + number / 10, overdue=False
            )
        self.assertGreater(policy.delay(KEY, 0.05, now + 50.0), 0.4)

    def test_share_of_the_window_is_not_exceeded(self):
        policy, now = measured_policy()
        hedged = 0
        while policy.refusal(slow(), FREE, now) is None:
            policy.on_hedged("r", now)
            hedged += 1
        self.assertEqual(50, hedged)
        self.assertEqual(Refusal.SHARE, policy.refusal(slow(), FREE, now))
        # Neither unused requests nor hedged ones outlast the window.
        later = now + 12.0
        self.assertEqual(Refusal.SHARE, policy.refusal(slow(), FREE, later))

    def test_state_of_the_service_rules_out_second_runs(self):
        policy, now = measured_policy()
        self.assertIsNone(policy.refusal(slow(), FREE, now))
        for refusal, changes in (
            (Refusal.BRITTLE, {"brittle": True}),
            (Refusal.COLD, {"cold": True}),
            (Refusal.LIMITED, {"limited": True}),
            (Refusal.PAUSED, {"paused": True}),
            (Refusal.UNREACHABLE, {"reachable": False}),
            (Refusal.NO_CAPACITY, {"running": 9}),
            (Refusal.NO_CAPACITY, {"waiting": 1}),
        ):
            state = FREE._replace(**changes)
            self.assertEqual(refusal, policy.refusal(slow(), state, now))

    def test_request_itself_rules_out_a_second_run(self):
        policy, now = measured_policy()
        for refusal, changes in (
            (Refusal.SUSPECTED, {"suspected": True}),
            (Refusal.MAX_TARGETS, {"runs": 2}),
            (Refusal.NO_TIME, {"time_left": 0.02}),
        ):
            request = slow(**changes)
            self.assertEqual(refusal, policy.refusal(request, FREE, now))

    def test_second_runs_that_do_not_help_stop(self):
        policy, now = measured_policy()
        for _ in range(10):
            policy.on_overdue(KEY, now)
            policy.on_hedge_end(KEY, now, won=False)
        self.assertEqual(Refusal.NO_HELP, policy.refusal(slow(), FREE, now))


class TestReplay(testtools.TestCase):
    """Loads as in :mod:`_hedging_replay`."""

    def replay(self, scenario, share=0.05):
        return _hedging_replay.Replay(scenario=scenario, share=share).run()

    def test_slow_tail_is_cut_by_few_second_runs(self):
        without, replay = self.replay("tail", 0.0), self.replay("tail")
        before, after = without.percentiles(), replay.percentiles()
        self.assertEqual([], without.hedged)
        self.assertLess(after[1], 0.5 * before[1])
        self.assertLess(after[2], 0.8 * before[2])
        self.assertLessEqual(replay.hedged_share(), 0.05)

    def test_general_slowdown_stops_second_runs(self):
        replay = self.replay("slowdown")
        start = _hedging_replay.FROM
        self.assertGreater(replay.hedged_share(10.0, start), 0.02)
        self.assertLess(
            replay.hedged_share(start, _hedging_replay.UNTIL), 0.005
        )
        # They begin again once the slowdown has left the measured periods.
        self.assertGreater(replay.hedged_share(end=60.0, start=57.0), 0.02)

    def test_partition_loses_fewer_requests_within_the_share(self):
        without = self.replay("partition", 0.0)
        replay = self.replay("partition")
        self.assertLess(replay.failed, without.failed)
        self.assertLessEqual(
            replay.hedged_share(_hedging_replay.FROM, _hedging_replay.UNTIL),
            0.055,
        )
