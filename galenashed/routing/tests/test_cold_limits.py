"""What a cold target gets from a hundred simulated entries.

Guards against entries that together overload a target which has just started:
each knows the others only by what it heard of them, and some have restarted,
are cut off, are frozen or are heard by nobody.
"""

import bisect
import random

import testtools

from galenashed import routing

ENTRIES = 100
SEEDS = 12
STEP_SECONDS = 0.05
MONITOR_STEPS = 5
HEARTBEAT_STEPS = 20
MAX_DELAY_SECONDS = 0.6
LEASE_SECONDS = 2.5
SECONDS = 16.0
TARGET = "t/1"


def bound(rate):
    return 1.5 * rate + 5


class View:
    """An entry as another one knows it."""

    isolated = False

    def __init__(self, name, request_rate, state="serving"):
        self.name = name
        self.request_rate = request_rate
        self.state = state


class Entry:
    """An entry that sends whatever its shares allow."""

    def __init__(self, number, rate):
        self.number = number
        self.name = f"e{number}"
        self.rate = rate
        self.view = View(self.name, rate)
        self.side = 0
        self.unheard = False
        self.frozen_until = 0.0
        self.start(0.0)

    def start(self, now):
        self.limits = routing.ColdLimits(name=self.name)
        self.heard = {}
        self.started = now


class Fleet:
    """Entries that hear one another late, or not at all."""

    def __init__(self, *, rate, seed, count=ENTRIES, entry_rate=30.0):
        self.rng = random.Random(seed)
        self.rate = rate
        self.now = 0.0
        self.entries = [
            Entry(n, entry_rate * self.rng.uniform(0.1, 1.0))
            for n in range(count)
        ]
        self.sent = []

    def run(self, seconds, each_step=lambda: None):
        until = self.now + seconds
        step = round(self.now / STEP_SECONDS)
        while self.now < until:
            step += 1
            self.now = round(step * STEP_SECONDS, 6)
            each_step()
            for entry in self.entries:
                if entry.frozen_until > self.now:
                    continue
                # A process that thaws serves callers before it hears others.
                while entry.limits.may_send(TARGET, self.rate, self.now):
                    entry.limits.on_send(TARGET, self.now)
                    self.sent.append(self.now)
                if (step + entry.number) % HEARTBEAT_STEPS == 0:
                    self.send_heartbeat(entry)
                if (step + entry.number) % MONITOR_STEPS == 0:
                    self.monitor(entry)

    def send_heartbeat(self, entry):
        if entry.unheard:
            return
        if entry.view.request_rate != entry.rate:
            entry.view = View(entry.name, entry.rate)
        view = entry.view
        for other in self.entries:
            if other.side == entry.side:
                at = self.now + self.rng.uniform(0.0, MAX_DELAY_SECONDS)
                other.heard.setdefault(entry.name, []).append((at, view))

    def monitor(self, entry):
        alive = [View(entry.name, entry.rate)]
        for name, beats in entry.heard.items():
            if name == entry.name:
                continue
            while len(beats) > 1 and beats[1][0] <= self.now:
                del beats[0]
            at, view = beats[0]
            if at <= self.now < at + LEASE_SECONDS:
                alive.append(view)
        entry.limits.set_entries(
            alive, in_contact=entry.side == 0, now=self.now
        )

    def busiest_second(self):
        return max(
            (
                bisect.bisect_left(self.sent, at + 1.0) - index
                for index, at in enumerate(self.sent)
            ),
            default=0,
        )

    def disturb(self):
        """Draws a fault, or the end of one."""
        chance = self.rng.random()
        some = self.rng.sample(self.entries, self.rng.randint(1, ENTRIES // 3))
        if chance < 0.01:
            sides = self.rng.choice([2, 3, 7, ENTRIES])
            for entry in self.entries:
                entry.side = self.rng.randrange(sides)
        elif chance < 0.02:
            for entry in self.entries:
                entry.side = 0
                entry.unheard = False
        elif chance < 0.03:
            for entry in some:
                entry.start(self.now)
        elif chance < 0.035:
            for entry in some:
                entry.unheard = True
        elif chance < 0.04:
            for entry in some:
                entry.frozen_until = self.now + self.rng.uniform(0.5, 6.0)
        elif chance < 0.05:
            for entry in some:
                entry.rate = self.rng.uniform(0.0, 60.0)
        elif chance < 0.055:
            for entry in some:
                entry.side = 1000 + entry.number


class TestColdLimits(testtools.TestCase):
    def test_no_second_exceeds_the_bound_in_any_history(self):
        for seed in range(SEEDS):
            rate = (0.5, 3.0, 12.0, 40.0)[seed % 4]
            fleet = Fleet(rate=rate, seed=seed)
            # Half of the histories begin with the start of all entries.
            if seed % 2:
                fleet.run(4.0)
            fleet.run(SECONDS, fleet.disturb)
            self.assertLessEqual(
                fleet.busiest_second(), bound(rate), f"seed {seed}"
            )

    def test_cold_target_is_used(self):
        for rate in (1.0, 12.0):
            for count in (1, 2, 10, ENTRIES):
                fleet = Fleet(rate=rate, seed=1, count=count)
                fleet.run(4.0)
                fleet.sent.clear()
                fleet.run(5.0)
                self.assertGreater(len(fleet.sent), 0.5 * rate * 5.0)

    def test_entries_without_control_use_it_as_long_as_they_are_most(self):
        fleet = Fleet(rate=12.0, seed=2)
        fleet.run(4.0)
        for entry in fleet.entries[6:]:
            entry.side = 1
        fleet.run(4.0)
        fleet.sent.clear()
        fleet.run(4.0)
        self.assertGreater(len(fleet.sent), 0.5 * 12.0 * 4.0)
        self.assertLessEqual(fleet.busiest_second(), bound(12.0))

    def test_entry_that_starts_cut_off_uses_nothing(self):
        fleet = Fleet(rate=12.0, seed=3)
        for entry in fleet.entries:
            entry.side = 1 + entry.number
        fleet.run(8.0)
        self.assertEqual([], fleet.sent)

    def test_frozen_entry_uses_nothing_before_it_hears_others(self):
        limits = routing.ColdLimits(name="e0")
        for now in (0.0, 1.0, 2.0, 2.5):
            limits.set_entries([View("e0", 9.0)], in_contact=True, now=now)
            limits.may_send(TARGET, 12.0, now)
        self.assertTrue(limits.may_send(TARGET, 12.0, 3.0))
        self.assertFalse(limits.may_send(TARGET, 12.0, 9.0))
        limits.set_entries([View("e0", 9.0)], in_contact=True, now=9.1)
        self.assertFalse(limits.may_send(TARGET, 12.0, 9.1))

    def test_wait_tells_when_a_share_is_available(self):
        limits = routing.ColdLimits(name="e0")
        limits.set_entries([View("e0", 9.0)], in_contact=True, now=0.0)
        self.assertAlmostEqual(1.5, limits.wait_seconds(TARGET, 12.0, 0.5))
        limits.set_entries([View("e0", 90.0)], in_contact=True, now=2.0)
        self.assertFalse(limits.may_send(TARGET, 12.0, 2.0))
        wait = limits.wait_seconds(TARGET, 12.0, 2.0)
        self.assertAlmostEqual(1 / 10.5, wait)
        self.assertTrue(limits.may_send(TARGET, 12.0, 2.001 + wait))
