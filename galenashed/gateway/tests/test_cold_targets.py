"""Placement between warm and cold targets, and what counts as cold.

Guards against an entry that sends a target which has just started as much as a
warm one, or nothing at all.
"""

import collections
import random

import testtools

from galenashed import gateway
from galenashed.protocol import gossip as wire
from galenashed.protocol import routes
from galenashed import routing

UNIX_OFFSET = 1_764_806_400.0
STEP_SECONDS = 0.01
ENTRY = wire.Instance(
    name="entry",
    incarnation="1",
    started=0.0,
    sequence=1,
    address="10.0.0.1:1",
    peer_address="10.0.0.1:2",
    failure_domain="east",
    request_rate=100.0,
)


class Fixture:
    """One entry with targets in two failure domains."""

    def __init__(self, *, cold_seconds=3.0, cold_rate=12.0):
        self.targets = gateway.Targets(
            domain="east", limits=routing.TargetLimits(name="entry")
        )
        self.targets.apply_services(
            [
                routes.RoutedService(
                    name="s", cold_seconds=cold_seconds, cold_rate=cold_rate
                )
            ]
        )
        self.rng = random.Random(1)
        self.sent = collections.defaultdict(list)
        self.refused = []
        self.now = 0.0
        self.run(3.0, every=None)

    def announce(self, name, *, domain="east", sequence=1, cold_until=None):
        end = cold_until and int(UNIX_OFFSET + cold_until)
        self.targets.update(
            wire.Target(
                name=name,
                incarnation="1",
                started=0.0,
                sequence=sequence,
                service="s",
                address=f"{name}:1",
                failure_domain=domain,
                slots=8,
                cold_until=end,
            )
        )

    def run(self, seconds, *, every=1):
        """Sends a request each ``every`` steps, which ends at once."""
        for step in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            if step % 25 == 0:
                self.targets.cold.set_entries(
                    [ENTRY],
                    in_contact=True,
                    now=self.now,
                    unix_now=self.now + UNIX_OFFSET,
                )
            if every is not None and step % every == 0:
                self.send()

    def send(self):
        target = self.targets.choose("s", (), (), self.now, self.rng)
        if target is None:
            self.refused.append(
                self.targets.seconds_until_allowed("s", (), self.now)
            )
            return
        self.sent[target.name].append(self.now)
        self.targets.on_request_start(target, "r", (), self.now)
        self.targets.on_request_end(target, "r", failed=False, now=self.now)

    def busiest_second(self, name):
        times = self.sent[name]
        return max(
            (sum(at <= t < at + 1.0 for t in times) for at in times),
            default=0,
        )


class TestColdTargets(testtools.TestCase):
    def test_cold_target_gets_its_share_and_warm_ones_the_rest(self):
        fixture = Fixture()
        for number in range(9):
            fixture.announce(f"warm-{number}", cold_until=0)
        fixture.announce("cold", domain="west", cold_until=20)
        fixture.run(5.0)
        self.assertEqual([], fixture.refused)
        self.assertLessEqual(fixture.busiest_second("cold"), 23)
        self.assertGreater(len(fixture.sent["cold"]), 30)

    def test_domain_that_returns_cold_at_once_is_shared_out(self):
        fixture = Fixture()
        for number in range(5):
            fixture.announce(f"t{number}", cold_until=20)
        fixture.run(4.0)
        for number in range(5):
            self.assertLessEqual(fixture.busiest_second(f"t{number}"), 23)
            self.assertGreater(len(fixture.sent[f"t{number}"]), 25)
        # The rest is refused at once, with the time until the next share.
        self.assertGreater(len(fixture.refused), 100)
        self.assertTrue(all(0 < wait <= 0.2 for wait in fixture.refused))

    def test_target_is_warm_after_the_end_or_a_later_heartbeat(self):
        fixture = Fixture()
        fixture.announce("t", cold_until=5)
        fixture.run(2.5)
        self.assertLessEqual(fixture.busiest_second("t"), 23)
        # The clock of the entry that had the heartbeat may be 1 s behind.
        fixture.run(1.5)
        self.assertGreater(fixture.busiest_second("t"), 80)
        fixture.announce("t", sequence=2, cold_until=20)
        fixture.run(1.0)
        fixture.refused.clear()
        fixture.announce("t", sequence=3, cold_until=0)
        fixture.run(1.0)
        self.assertEqual([], fixture.refused)

    def test_end_of_an_evacuation_makes_its_targets_cold(self):
        fixture = Fixture()
        fixture.announce("back", domain="west", cold_until=0)
        fixture.announce("silent", domain="west")
        fixture.announce("other", cold_until=0)
        fixture.targets.set_presumed_cold("west", fixture.now)
        until = fixture.now + 3.0
        self.assertEqual(
            {"back/1", "silent/1"}, fixture.targets.cold.cold("s", fixture.now)
        )
        # A heartbeat that says nothing of it, and one that does.
        fixture.announce("silent", sequence=2, domain="west")
        fixture.announce("back", sequence=2, domain="west", cold_until=0)
        cold = fixture.targets.cold.cold
        self.assertEqual({"silent/1"}, cold("s", until - 0.1))
        self.assertEqual(set(), cold("s", until + 0.1))

    def test_target_that_refused_connections_may_have_started_again(self):
        fixture = Fixture()
        fixture.announce("t", cold_until=0)
        target = fixture.targets.get("t")
        fixture.targets.on_refused(target, fixture.now)
        fixture.announce("t", sequence=2, cold_until=0)
        fixture.run(2.0)
        self.assertLessEqual(fixture.busiest_second("t"), 23)

    def test_limit_of_a_cold_target_and_its_own_both_apply(self):
        for limit, most in ((2.0, 11), (60.0, 60)):
            fixture = Fixture()
            fixture.announce("t", cold_until=60)
            target = fixture.targets.get("t")
            fixture.targets.limits.set_senders([ENTRY], fixture.now)
            fixture.targets.on_limit(target, limit, fixture.now)
            fixture.run(5.0)
            self.assertLessEqual(len(fixture.sent["t"]), most)

    def test_services_that_are_never_cold_are_used_as_before(self):
        for seconds, rate in ((0.0, 12.0), (3.0, 0.0)):
            fixture = Fixture(cold_seconds=seconds, cold_rate=rate)
            fixture.announce("t", cold_until=60)
            fixture.targets.set_presumed_cold("east", fixture.now)
            fixture.run(1.0)
            self.assertEqual([], fixture.refused)
