"""What a cold target gets from a hundred simulated entries.

Guards against entries that together overload a target which has just started:
each knows the others only by what it heard of them, and some have restarted,
are cut off, are frozen or are heard by nobody.
"""

import bisect
import random

import testtools

from galenashed.protocol import gossip as wire
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


def make_view(name, request_rate):
    return wire.Instance(
        name=name,
        incarnation="1",
        started=0.0,
        sequence=1,
        address="",
        peer_address="",
        failure_domain="",
        request_rate=request_rate,
    )


class Entry:
    """An entry that sends whatever its shares allow."""

    def __init__(self, number, rate):
        self.number = number
        self.view = make_view(f"e{number}", rate)
        self.side = 0
        self.unheard = False
        self.frozen_until = 0.0
        self.start()

    def start(self):
        self.limits = routing.ColdLimits(name=self.view.name)
        self.heard = {}


class Fleet:
    """Entries that hear one another late, or not at all."""

    def __init__(self, *, rate, seed, count=ENTRIES):
        self.rng = random.Random(seed)
        self.rate = rate
        self.now = 0.0
        self.entries = [
            Entry(n, self.rng.uniform(3.0, 30.0)) for n in range(count)
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
        for other in () if entry.unheard else self.entries:
            if other.side == entry.side and other is not entry:
                at = self.now + self.rng.uniform(0.0, MAX_DELAY_SECONDS)
                beats = other.heard.setdefault(entry.number, [])
                beats.append((at, entry.view))

    def monitor(self, entry):
        alive = [entry.view]
        for beats in entry.heard.values():
            while len(beats) > 1 and beats[1][0] <= self.now:
                del beats[0]
            at, view = beats[0]
            if at <= self.now < at + LEASE_SECONDS:
                alive.append(view)
        contact = entry.side == 0
        entry.limits.set_entries(alive, in_contact=contact, now=self.now)

    def busiest_second(self):
        return max(
            bisect.bisect_left(self.sent, at + 1.0) - index
            for index, at in enumerate([*self.sent, self.now])
        )

    def disturb(self):
        """Draws a fault, or the end of those of the network."""
        chance = self.rng.random()
        some = self.rng.sample(self.entries, self.rng.randint(1, ENTRIES // 3))
        sides = self.rng.choice([2, 3, 7, ENTRIES])
        for entry in self.entries if chance < 0.02 else some:
            if chance < 0.01:
                entry.side = self.rng.randrange(sides)
            elif chance < 0.02:
                entry.side = 0
                entry.unheard = False
            elif chance < 0.03:
                entry.start()
            elif chance < 0.035:
                entry.unheard = True
            elif chance < 0.04:
                entry.frozen_until = self.now + self.rng.uniform(0.5, 6.0)
            elif chance < 0.05:
                rate = self.rng.uniform(0.0, 60.0)
                entry.view = make_view(entry.view.name, rate)
            elif chance < 0.055:
                entry.side = 1000 + entry.number


class TestColdLimits(testtools.TestCase):
    def test_no_second_exceeds_the_bound_in_any_history(self):
        # With seed 123, three entries took themselves for the only user.
        rates = (0.5, 3.0, 12.0, 40.0) * (SEEDS // 4)
        for seed, rate in [*enumerate(rates), (123, 3.0)]:
            fleet = Fleet(rate=rate, seed=seed)
            # Half of the histories begin with the start of all entries.
            fleet.run(4.0 if seed % 2 else 0.0)
            fleet.run(SECONDS, fleet.disturb)
            self.assertLessEqual(
                fleet.busiest_second(), 1.5 * rate + 5, f"seed {seed}"
            )

    def test_it_is_used_also_by_most_entries_without_control(self):
        for rate, count, cut in (
            (1.0, 1, 0),
            (12.0, 1, 0),
            (12.0, 2, 0),
            (12.0, 10, 0),
            (1.0, ENTRIES, 0),
            (12.0, ENTRIES, ENTRIES - 6),
        ):
            fleet = Fleet(rate=rate, seed=1, count=count)
            fleet.run(4.0)
            for entry in fleet.entries[:cut]:
                entry.side = 1
            fleet.run(4.0)
            fleet.sent.clear()
            fleet.run(5.0)
            self.assertGreater(len(fleet.sent), 0.5 * rate * 5.0)
            self.assertLessEqual(fleet.busiest_second(), 1.5 * rate + 5)

    def test_entries_that_start_cut_off_use_nothing(self):
        fleet = Fleet(rate=12.0, seed=3, count=20)
        for entry in fleet.entries:
            entry.side = 1 + entry.number
        fleet.run(8.0)
        self.assertEqual([], fleet.sent)

    def test_wait_tells_when_a_share_is_available(self):
        limits = routing.ColdLimits(name="e0")
        own = make_view("e0", 9.0)
        limits.set_entries([own], in_contact=True, now=0.0)
        self.assertAlmostEqual(1.5, limits.wait_seconds(TARGET, 12.0, 0.5))
        limits.set_entries([own], in_contact=True, now=2.0)
        wait = limits.wait_seconds(TARGET, 12.0, 2.0)
        self.assertAlmostEqual(1 / 10.5, wait)
        self.assertTrue(limits.may_send(TARGET, 12.0, 2.001 + wait))
        # After a freeze, what it knows of the others is too old.
        self.assertFalse(limits.may_send(TARGET, 12.0, 9.0))
        limits.set_entries([own], in_contact=True, now=9.1)
        self.assertFalse(limits.may_send(TARGET, 12.0, 9.1))
