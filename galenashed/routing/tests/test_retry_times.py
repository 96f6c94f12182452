"""When refused callers come back after a burst."""

import random

import testtools

from galenashed import routing

SLOTS = 18
RUN_SECONDS = 0.09
REFUSED = 90
ROOM = routing.Room(slots=SLOTS, queued=6, entries=1)


def refuse_burst(*, priority=lambda index: index % 3, time_left=3.0, seed=1):
    """Returns the priorities and Retry-After of callers refused at once."""
    retry_times = routing.RetryTimes(rng=random.Random(seed))
    for _ in range(100):
        retry_times.on_answer("s", RUN_SECONDS, now=0.0)
    return [
        (
            priority(index),
            retry_times.choose(
                "s",
                ROOM,
                priority=priority(index),
                time_left=time_left,
                now=1.0,
            ),
        )
        for index in range(REFUSED)
    ]


class TestBurst(testtools.TestCase):
    """Guards against refused callers that return together."""

    def test_callers_return_no_faster_than_they_can_be_served(self):
        for seed in range(20):
            times = sorted(time for _, time in refuse_burst(seed=seed))
            most = max(
                sum(start <= time < start + RUN_SECONDS for time in times)
                for start in times
            )
            # A fixed delay brings all of them back in the same moment.
            self.assertLessEqual(most, 3 * SLOTS)

    def test_urgent_callers_return_first(self):
        refused = refuse_burst()
        means = [
            sum(time for level, time in refused if level == priority)
            / (REFUSED / 3)
            for priority in range(3)
        ]
        self.assertEqual(sorted(means), means)
        self.assertLess(means[0], means[2] / 2)

    def test_callers_short_of_time_return_first(self):
        retry_times = routing.RetryTimes(rng=random.Random(1))
        times: dict[float, list[float]] = {1.0: [], 5.0: []}
        for index in range(REFUSED):
            left = 1.0 if index % 2 else 5.0
            chosen = retry_times.choose(
                "s", ROOM, priority=1, time_left=left, now=1.0
            )
            times[left].append(chosen)
        self.assertLess(sum(times[1.0]), 0.8 * sum(times[5.0]))

    def test_refusals_long_ago_do_not_delay(self):
        retry_times = routing.RetryTimes(rng=random.Random(1))
        for _ in range(1000):
            retry_times.choose("s", ROOM, priority=3, time_left=9.0, now=1.0)
        later = retry_times.choose(
            "s", ROOM, priority=3, time_left=9.0, now=9.0
        )
        self.assertLess(later, 0.2)
