"""Load shedding at an entry whose link is narrow."""

import collections
import heapq
import itertools
import random

import testtools

from galenashed import gateway
from galenashed import telemetry
from galenashed import web

LINK = 625_000.0
REFUSAL_BYTES = 350
# Time limits of an attempt and of all of them, and their number.
ATTEMPT_SECONDS = 1.5
PATIENCE_SECONDS = 4.0
MAX_ATTEMPTS = 3


class Link:
    """Passes on bytes in order, each way at the speed of the link."""

    def __init__(self, rate):
        self.rate = rate
        self.free_at = {"in": 0.0, "out": 0.0}

    def send(self, way, size, now):
        """Returns when the last byte has arrived."""
        start = max(now, self.free_at[way])
        self.free_at[way] = start + size / self.rate
        return self.free_at[way]


class Call:
    """What a caller wants, with the attempts to get it."""

    def __init__(self, begun_at):
        self.ends_at = begun_at + PATIENCE_SECONDS
        self.attempts = 0
        self.sent_at = begun_at

    def is_late(self, now):
        return now > self.sent_at + ATTEMPT_SECONDS


class Day:
    """An entry, targets, and callers that repeat what fails.

    ``crowd`` is the number of calls that begin in each second.
    """

    def __init__(self, *, limits, crowd, seed=1):
        self.rng = random.Random(seed)
        self.shedder = gateway.LoadShedder(
            limits=limits,
            metrics=telemetry.NullMetrics(),
            rng=random.Random(2),
        )
        self.link = Link(LINK)
        self.answered = collections.Counter()
        self.refused = collections.Counter()
        self.late = collections.Counter()
        self._events = []
        self._order = itertools.count()
        for second, rate in enumerate(crowd):
            for _ in range(rate):
                begun_at = second + self.rng.random()
                self.at(begun_at, self.send, Call(begun_at))
        for tick in range(4 * len(crowd)):
            self.at(tick / 4, self.sample)

    def at(self, when, function, *args):
        heapq.heappush(self._events, (when, next(self._order), function, args))

    def run(self):
        while self._events:
            now, _, function, args = heapq.heappop(self._events)
            function(now, *args)
        return self

    def sample(self, now):
        self.shedder.update(gateway.Sample(), now)

    def send(self, now, call):
        call.sent_at = now
        call.attempts += 1
        if self.link.free_at["in"] > now + ATTEMPT_SECONDS:
            # The caller closes its connection before it can send.
            self.give_up(now, call)
            return
        size = int(self.rng.lognormvariate(7.0, 0.4))
        arrives = self.link.send("in", size, now)
        self.at(arrives, self.arrive, call, size)

    def arrive(self, now, call, size):
        try:
            flow = self.shedder.admit("rounds", size, now)
        except web.ApiError as exc:
            self.refused[int(now)] += 1
            back = self.link.send("out", REFUSAL_BYTES, now)
            self.repeat(back + exc.retry_after, call)
            return
        flow.add(size, now)
        sent = self.link.send("out", size, now)
        runs = self.rng.uniform(0.1, 0.3)
        self.at(sent + runs, self.respond, call, flow)

    def respond(self, now, call, flow):
        size = int(self.rng.lognormvariate(8.0, 0.4))
        received = self.link.send("in", size, now)
        self.at(received, self.reply, call, flow, size)

    def reply(self, now, call, flow, size):
        done = now
        if not call.is_late(now):
            flow.add(size, now)
            done = self.link.send("out", size, now)
        flow.close(now)
        if call.is_late(done):
            self.give_up(done, call)
            return
        self.answered[int(done)] += 1

    def give_up(self, now, call):
        self.late[int(now)] += 1
        self.repeat(max(now, call.sent_at + ATTEMPT_SECONDS), call)

    def repeat(self, again_at, call):
        if again_at < call.ends_at and call.attempts < MAX_ATTEMPTS:
            self.at(again_at, self.send, call)


class TestNarrowLink(testtools.TestCase):
    """A crowd that sends more than the link carries, from 3 to 12 s.

    Guards against the collapse of the link's useful load (part E).
    """

    crowd = [85] * 3 + [175] * 9 + [85] * 6

    def play(self, limits, seed=1):
        return Day(limits=limits, crowd=self.crowd, seed=seed).run()

    def test_without_limits_nothing_arrives_in_time(self):
        day = self.play(gateway.Limits())
        self.assertGreater(day.answered[8], 100)
        self.assertFalse(any(day.answered[n] for n in range(10, 18)))
        self.assertFalse(day.refused)

    def test_link_stays_useful_and_recovers(self):
        for seed in range(1, 6):
            day = self.play(gateway.Limits(link=LINK), seed)
            for second in range(3, 14):
                self.assertGreater(day.answered[second], 50, second)
            for second in range(15, 18):
                self.assertGreater(day.answered[second], 85, second)
            self.assertEqual(0, sum(day.late.values()))
            refused = [day.refused[second] for second in range(18)]
            self.assertLess(sum(refused[14:]), sum(refused[8:12]) / 2)
            self.assertLess(refused[17], 60)

    def test_usual_load_is_not_refused(self):
        day = Day(limits=gateway.Limits(link=LINK), crowd=[85] * 10).run()
        self.assertFalse(day.refused)


class TestLoadShedder(testtools.TestCase):
    """Other resources, and links that carry less than their setting."""

    def shedder(self, **limits):
        return gateway.LoadShedder(
            limits=gateway.Limits(**limits),
            metrics=telemetry.NullMetrics(),
            rng=random.Random(1),
        )

    def admit(self, shedder, count, now=0.0, size=100):
        """Returns the flows and the errors of ``count`` requests."""
        flows, errors = [], []
        for _ in range(count):
            try:
                flows.append(shedder.admit("r", size, now))
            except web.ApiError as exc:
                errors.append(exc)
        return flows, errors

    def test_refused_callers_come_back_soon_and_not_at_once(self):
        _, errors = self.admit(self.shedder(link=10_000.0), 300)
        times = {round(exc.retry_after, 2) for exc in errors}
        self.assertEqual({503}, {exc.status for exc in errors})
        self.assertGreater(len(times), 20)
        self.assertLessEqual(max(times), 2.0)
        self.assertGreater(min(times), 0.1)

    def test_scarce_memory_and_descriptors_leave_room_for_few(self):
        for resource in ("memory", "descriptors"):
            shedder = self.shedder(**{resource: 1000})
            shedder.update(gateway.Sample(**{resource: 800}), 0.0)
            self.assertEqual(100, len(self.admit(shedder, 100)[0]))
            shedder = self.shedder(**{resource: 1000})
            shedder.update(gateway.Sample(**{resource: 900}), 0.0)
            flows, _ = self.admit(shedder, 100)
            self.assertEqual(16, len(flows))
            flows[0].close(1.0)
            self.assertEqual(1, len(self.admit(shedder, 2, 1.0)[0]))

    def test_blocked_send_buffers_lower_the_capacity_for_a_while(self):
        shedder = self.shedder(link=100_000.0)
        self.admit(shedder, 20)
        usual = shedder.capacity
        blocked = gateway.Sample(blocked=10, waiting_bytes=90_000)
        for tick in range(1, 5):
            shedder.update(blocked, tick * 0.5)
        self.assertLess(shedder.capacity, usual / 8)
        self.assertFalse(self.admit(shedder, 1, 2.0)[0])
        for tick in range(5, 9):
            shedder.update(gateway.Sample(), tick * 0.5)
        self.assertGreater(shedder.capacity, 0.99 * usual)
        self.assertTrue(self.admit(shedder, 1, 4.0)[0])

    def test_streams_are_counted_with_what_they_will_send(self):
        shedder = self.shedder(link=100_000.0)
        first = shedder.admit("r", 100, 0.0)
        first.add(100_000, 0.0)
        first.close(10.0)
        # Each moves 10,000 bytes a second; eleven would fill the link.
        admitted = sum(
            len(self.admit(shedder, 1, 20.0 + second)[0])
            for second in range(20)
        )
        self.assertIn(admitted, (10, 11))

    def test_large_request_is_admitted_and_shuts_out_no_others(self):
        shedder = self.shedder(link=100_000.0)
        self.admit(shedder, 1, size=4_000_000)
        self.assertTrue(self.admit(shedder, 1)[0])
