"""Targets whose speed differs and changes many times a second."""

import collections
import heapq
import itertools
import random

import testtools

from galenashed import gateway
from galenashed.gateway import _placement
from galenashed.gateway import _slowness
from galenashed.protocol import gossip as wire
from galenashed import routing

ENTRIES = 8
TARGETS = 30
SLOTS = 8
# Seconds that a full batch delays a request, as placement assumed before.
FULL_BATCH_SECONDS = 0.3
SLOW = 6
REQUESTS_PER_SECOND = 400.0
SECONDS = 12.0


class Fleet:
    """Entries that know targets by the reports in their answers only.

    ``SLOW`` targets take three times as long; another one has a moment of
    triple speed each second, which its next reports tell.
    """

    def __init__(self, *, reports, seed):
        self.rng = random.Random(seed)
        self.reports = reports
        self.running = collections.Counter()
        self.sent = collections.Counter()
        self.waits = []
        self.most_in_a_moment = 0
        self._recent = collections.deque()
        self.entries = [self.make_entry(n) for n in range(ENTRIES)]
        self._events = []
        self._order = itertools.count()

    def make_entry(self, number):
        targets = gateway.Targets(
            domain="east", limits=routing.TargetLimits(name=f"e{number}")
        )
        for n in range(TARGETS):
            targets.update(
                wire.Target(
                    name=f"t{n}",
                    incarnation="1",
                    started=0.0,
                    sequence=1,
                    service="s",
                    address=f"t{n}",
                    failure_domain="east",
                    slots=SLOTS,
                )
            )
        return targets

    def speed(self, name, now):
        """Returns the factor by which work takes longer."""
        number = int(name[1:])
        if number < SLOW:
            return 3.0
        if number == SLOW + int(now) % (TARGETS - SLOW):
            return 0.33
        return 1.0

    def at(self, when, function, *args):
        heapq.heappush(self._events, (when, next(self._order), function, args))

    def run(self):
        now = 0.0
        while now < SECONDS:
            now += self.rng.expovariate(REQUESTS_PER_SECOND)
            self.at(now, self.send)
        while self._events:
            when, _, function, args = heapq.heappop(self._events)
            function(when, *args)
        return self

    def send(self, now):
        targets = self.rng.choice(self.entries)
        target = targets.choose("s", (), (), now, self.rng)
        request = str(next(self._order))
        targets.on_request_start(target, request, (), now)
        name = target.name
        self.sent[name] += 1
        self.note(name, now)
        self.running[name] += 1
        load = max(1.0, self.running[name] / SLOTS)
        wait = self.speed(name, now) * load * self.rng.uniform(0.15, 0.25)
        self.at(now + wait, self.answer, targets, target, request, wait)

    def note(self, name, now):
        """Counts what a target gets in a tenth of a second."""
        self._recent.append((now, name))
        while self._recent[0][0] < now - 0.1:
            self._recent.popleft()
        got = sum(other == name for _, other in self._recent)
        self.most_in_a_moment = max(self.most_in_a_moment, got)

    def answer(self, now, targets, target, request, wait):
        self.waits.append(wait)
        self.running[target.name] -= 1
        figure = self.speed(target.name, now) * self.rng.uniform(0.7, 1.3)
        targets.on_report(
            target,
            wire.Load(
                running=self.running[target.name],
                slowness=figure if self.reports else 1.0,
            ),
            now,
        )
        targets.on_request_end(target, request, failed=False, now=now)

    @property
    def slow_share(self):
        slow = sum(self.sent[f"t{n}"] for n in range(SLOW))
        return slow / self.sent.total()

    def quantile(self, share):
        return sorted(self.waits)[int(share * len(self.waits))]


class TestTargetSpeed(testtools.TestCase):
    """Guards against slow targets with their full share, and herding."""

    def test_slow_targets_get_less_and_none_gets_a_herd(self):
        for seed in (1, 2, 3):
            before = Fleet(reports=False, seed=seed).run()
            after = Fleet(reports=True, seed=seed).run()
            self.assertLess(after.slow_share, before.slow_share / 2)
            self.assertLess(after.quantile(0.9), before.quantile(0.9))
            self.assertLess(
                after.most_in_a_moment, 1.5 * before.most_in_a_moment
            )


class TestSlownessAverage(testtools.TestCase):
    """A report counts less the older it is, and never alone."""

    def test_reports_that_stop_expire(self):
        average = _slowness.SlownessAverage()
        for step in range(20):
            average.add(4.0, step * 0.1)
        self.assertGreater(average.value(2.0), 3.0)
        self.assertLess(average.value(6.0), 1.5)
        self.assertEqual(1.0, average.value(20.0))

    def test_single_report_is_damped(self):
        average = _slowness.SlownessAverage()
        for step in range(20):
            average.add(1.0 if step else 1.1, step * 0.05)
        average.add(9.0, 1.0)
        self.assertLess(average.value(1.0), 2.0)

    def test_three_figures_leave_everything_as_it_was(self):
        average = _slowness.SlownessAverage()
        average.add(1.0, 0.0)
        self.assertEqual(1.0, average.value(0.1))
        fleet = Fleet(reports=False, seed=1)
        targets = fleet.entries[0]
        ring = targets._ring_for("s", 0.0)
        for n in range(100):
            rng = random.Random(n)
            chosen = targets.choose("s", (), (), 0.0, rng)
            rng = random.Random(n)
            sampled = rng.sample(ring.candidates, _placement.SAMPLE_SIZE)
            expected = min(
                sampled,
                key=lambda target: (
                    FULL_BATCH_SECONDS * target.running / SLOTS,
                    rng.random(),
                ),
            )
            self.assertIs(expected, chosen)
            targets.on_request_start(chosen, str(n), (), 0.0)
