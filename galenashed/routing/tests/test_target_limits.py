"""What a target with a limit gets from many simulated entries."""

import random

import testtools

from galenashed import routing

STEP_SECONDS = 0.05
GOSSIP_SECONDS = 0.5
GOSSIP_PEERS = 4
MONITOR_SECONDS = 0.25
ANSWER_SECONDS = 0.1
# Time from the start to the first check: gossip has reached all entries.
SETTLED_SECONDS = 3.0
SPAN_SECONDS = 4.0
TARGET = "t/1"


class Sender:
    def __init__(self, name, request_rate):
        self.name = name
        self.request_rate = request_rate


class Entry:
    """An entry that sends whenever its limits allow, up to ``rate``."""

    def __init__(self, name, rate):
        self.name = name
        self.rate = rate
        self.limits = routing.TargetLimits(name=name)
        self.cut_off = False


class Fleet:
    """Entries, one target, and the gossip between the entries."""

    def __init__(self, count, *, rate, busy=None, seed=1):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.limit = None
        self.entries = [
            Entry(f"e{n}", rate if n < (busy or count) else rate / 20)
            for n in range(count)
        ]
        self.arrivals = []
        self._answers = []
        self._messages = []

    def start_entry(self, number):
        old = self.entries[number]
        self.entries[number] = Entry(old.name, old.rate)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now = round(self.now + STEP_SECONDS, 6)
            self._deliver()
            step = round(self.now / STEP_SECONDS)
            for number, entry in enumerate(self.entries):
                if (step + number) % round(
                    MONITOR_SECONDS / STEP_SECONDS
                ) == 0:
                    self._monitor(entry)
                if (step + number) % round(GOSSIP_SECONDS / STEP_SECONDS) == 0:
                    self._gossip(entry)
                if self.rng.random() < entry.rate * STEP_SECONDS:
                    self._send(entry)

    def _monitor(self, entry):
        reached = [
            other for other in self.entries if other.cut_off == entry.cut_off
        ]
        entry.limits.set_senders(
            [Sender(other.name, other.rate) for other in reached], self.now
        )

    def _gossip(self, entry):
        for peer in self.rng.sample(
            self.entries, min(GOSSIP_PEERS, len(self.entries))
        ):
            if peer.cut_off == entry.cut_off:
                self._messages.append((peer, entry.limits.forwarded(self.now)))

    def _deliver(self):
        messages, self._messages = self._messages, []
        for peer, observations in messages:
            peer.limits.receive(observations, self.now)
        due = [item for item in self._answers if item[0] <= self.now]
        self._answers = [item for item in self._answers if item[0] > self.now]
        for _, entry, limit in due:
            entry.limits.observe(TARGET, limit, self.now)

    def _send(self, entry):
        if TARGET in entry.limits.exhausted(self.now):
            return
        entry.limits.on_send(TARGET, self.now)
        self.arrivals.append(self.now)
        self._answers.append((self.now + ANSWER_SECONDS, entry, self.limit))

    def busiest(self, since):
        times = [at for at in self.arrivals if at >= since]
        return max(
            (
                sum(start <= at < start + SPAN_SECONDS for at in times)
                for start in times
            ),
            default=0,
        )


class TestTargetLimits(testtools.TestCase):
    """Any span keeps the limit, and the target is used."""

    def assert_kept(self, fleet, since, limit, message=None):
        busiest = fleet.busiest(since)
        self.assertLessEqual(busiest, 1.5 * SPAN_SECONDS * limit + 5, message)
        self.assertGreaterEqual(busiest, SPAN_SECONDS * limit / 2 - 1, message)

    def test_new_limit(self):
        for count in (1, 3, 10, 96, 370):
            for limit in (0.5, 1.0, 1.1, 3.7, 20.0):
                fleet = Fleet(count, rate=max(0.5, 60.0 / count))
                fleet.run(1.0)
                fleet.limit = limit
                fleet.run(14.0)
                self.assert_kept(
                    fleet, 1.0 + SETTLED_SECONDS, limit, (count, limit)
                )

    def test_entries_without_callers_leave_the_limit_to_others(self):
        for seed in range(5):
            fleet = Fleet(10, rate=10.0, busy=3, seed=seed)
            fleet.limit = 2.0
            fleet.run(14.0)
            self.assert_kept(fleet, SETTLED_SECONDS, 2.0, seed)

    def test_limit_that_falls_and_rises(self):
        fleet = Fleet(10, rate=5.0)
        fleet.limit = 8.0
        fleet.run(8.0)
        fleet.limit = 1.0
        fleet.run(8.0)
        self.assert_kept(fleet, 8.0 + SETTLED_SECONDS, 1.0)
        fleet.limit = 8.0
        fleet.run(10.0)
        self.assert_kept(fleet, 16.0 + SETTLED_SECONDS, 8.0)

    def test_limit_that_ends(self):
        fleet = Fleet(10, rate=5.0)
        fleet.limit = 1.0
        fleet.run(8.0)
        fleet.limit = None
        fleet.run(8.0)
        since = fleet.now - 2.0
        self.assertGreater(sum(at > since for at in fleet.arrivals), 60)

    def test_entries_that_restart_one_by_one(self):
        for seed in range(5):
            fleet = Fleet(10, rate=5.0, seed=seed)
            fleet.limit = 1.0
            fleet.run(6.0)
            for number in range(10):
                fleet.start_entry(number)
                fleet.run(1.3)
            self.assert_kept(fleet, SETTLED_SECONDS, 1.0, seed)

    def test_entries_that_are_cut_off_and_come_back(self):
        fleet = Fleet(10, rate=5.0)
        fleet.limit = 1.0
        fleet.run(6.0)
        for number in (2, 7):
            fleet.entries[number].cut_off = True
        fleet.run(6.0)
        for number in (2, 7):
            fleet.entries[number].cut_off = False
        fleet.run(8.0)
        # Both sides use the limit during the cut.
        self.assertLessEqual(
            fleet.busiest(SETTLED_SECONDS), 2 * (SPAN_SECONDS + 1)
        )
        self.assert_kept(fleet, 14.0, 1.0)

    def test_limit_whose_users_have_no_request_is_shared_by_all(self):
        senders = [Sender(f"e{n}", 1.0) for n in range(4)]
        shares = []
        for sender in senders:
            limits = routing.TargetLimits(name=sender.name)
            limits.observe(TARGET, 1.0, 0.0)
            limits.set_senders(senders, 0.0)
            limits.set_senders(senders, 12.0)
            shares.append(TARGET not in limits.exhausted(17.0))
        self.assertEqual([True] * 4, shares)

    def test_wait_is_the_time_to_the_next_request(self):
        limits = routing.TargetLimits(name="e")
        limits.observe(TARGET, 2.0, 0.0)
        self.assertEqual({TARGET}, limits.exhausted(0.2))
        self.assertAlmostEqual(0.3, limits.wait_seconds(TARGET, 0.2))
        self.assertEqual(set(), limits.exhausted(0.5))

    def test_older_observation_is_ignored(self):
        limits, other = (routing.TargetLimits(name=name) for name in "ab")
        limits.observe(TARGET, 1.0, 0.0)
        older = limits.forwarded(0.1)
        other.receive(older, 0.1)
        other.observe(TARGET, None, 1.0)
        other.receive(limits.forwarded(1.5), 1.5)
        self.assertEqual(set(), other.exhausted(1.5))

    def test_other_incarnation_of_the_target_has_no_limit(self):
        limits = routing.TargetLimits(name="e")
        limits.observe("t/1", 1.0, 0.0)
        self.assertEqual({"t/1"}, limits.exhausted(0.0))
        self.assertFalse(limits.observe("t/2", None, 0.1))
