"""Entries of different size behind the callers of one failure domain."""

import random

import msgspec
import testtools

from galenashed.gossip.tests import _fleet
from galenashed.node import _capacity
from galenashed.node import _entries
from galenashed.protocol import gossip as wire

REQUEST_BYTES = 5_000
IDLE_MEMORY = 60_000_000


def entry(name, *, cores, mbps, domain="east", replica=False):
    return wire.Instance(
        name=name,
        incarnation="a",
        started=0.0,
        sequence=1,
        address=f"{name}:1",
        peer_address=f"{name}:2",
        relay_address=f"{name}:3",
        failure_domain=domain,
        region="north",
        cores=cores,
        replica=name if replica else "",
        link=mbps * 125_000,
        memory=300_000_000,
        memory_used=IDLE_MEMORY,
        descriptors=4_000,
        descriptors_used=60,
    )


def site():
    """Two replicas, one weak entry and five ordinary ones in a domain."""
    return [
        entry("r1", cores=1.0, mbps=50, replica=True),
        entry("r2", cores=1.0, mbps=50, replica=True),
        entry("weak", cores=0.516, mbps=5),
        *(entry(f"n{n}", cores=0.8, mbps=30) for n in range(5)),
    ]


def serve(entries, named, rate):
    """Returns the entries with ``rate`` requests a second on those named."""
    part = rate / len(named)
    return [
        msgspec.structs.replace(
            e,
            cores_used=0.02 + part * 0.002,
            request_rate=part,
            link_used=part * REQUEST_BYTES,
            memory_used=IDLE_MEMORY + int(part * 50_000),
            descriptors_used=60 + int(part),
        )
        if e.address in named
        else msgspec.structs.replace(e, cores_used=0.02 * e.cores)
        for e in entries
    ]


class TestUnevenEntries(testtools.TestCase):
    """Guards against a weak entry with a third of a domain's callers."""

    def setUp(self):
        super().setUp()
        self.selector = _entries.NamedEntries(by_all_resources=True)

    def choose(self, entries, now=0.0, seed=1, selector=None):
        found = (selector or self.selector).choose(
            entries, "east", "north", random.Random(seed), now
        )
        return set(found)

    def play(self, rates):
        """Returns the entries named after each second."""
        entries = site()
        named = self.choose(entries)
        history = []
        for second, rate in enumerate(rates):
            entries = serve(entries, named, rate)
            named = self.choose(entries, float(second))
            history.append(named)
        return history

    def test_each_named_entry_bears_the_expected_load(self):
        # The domain of the table of part E: the load rises to five times.
        rates = [150.0] * 3 + [750.0] * 6
        links = {e.address: e.link for e in site()}
        for rate, named in zip(rates, self.play(rates), strict=True):
            part = rate * REQUEST_BYTES / len(named)
            weakest = min(links[address] for address in named)
            self.assertLess(part, 0.5 * weakest, (rate, named))

    def test_the_weak_entry_is_left_out_while_others_have_room(self):
        for named in self.play([150.0, 150.0, 750.0, 750.0]):
            self.assertNotIn("weak:1", named)

    def test_enough_are_named_before_the_load_comes(self):
        # The first second of the crowd meets what was named before it.
        before = self.play([150.0] * 3)[-1]
        links = {e.address: e.link for e in site()}
        part = 750.0 * REQUEST_BYTES / len(before)
        self.assertLess(part, 0.9 * min(links[name] for name in before))

    def test_no_more_than_the_load_needs(self):
        many = [entry(f"n{n:02}", cores=1.0, mbps=50) for n in range(40)]
        idle = self.choose(many)
        self.assertLess(len(idle), 12)
        busy = self.choose(serve(many, idle, 1500.0), 1.0)
        self.assertGreater(len(busy), len(idle))
        self.assertLess(len(busy), 20)

    def test_all_instances_choose_alike(self):
        entries = serve(site(), {"r1:1", "r2:1", "n0:1"}, 300.0)
        first = self.choose(entries, seed=1)
        second = self.choose(
            entries[::-1],
            seed=2,
            selector=_entries.NamedEntries(by_all_resources=True),
        )
        self.assertEqual(first, second)

    def test_tolerated_losses_leave_room(self):
        entries = serve(site(), {"r1:1", "r2:1"}, 400.0)
        one = self.choose(entries)
        three = self.choose(
            entries,
            selector=_entries.NamedEntries(by_all_resources=True, losses=3),
        )
        self.assertEqual(len(one) + 2, len(three))

    def test_entry_of_an_old_build_is_judged_by_its_cores(self):
        old = msgspec.structs.replace(
            entry("old", cores=1.0, mbps=0, replica=True),
            memory=0,
            descriptors=0,
        )
        self.assertIn("old:1", self.choose([*site(), old]))
        self.assertEqual(0.0, _capacity.share_used(old))

    def test_replicas_with_narrow_links_do_not_serve_a_whole_region(self):
        entries = [
            entry("r1", cores=4.0, mbps=5, replica=True),
            entry("r2", cores=4.0, mbps=5, replica=True, domain="west"),
            *(entry(f"n{n}", cores=1.0, mbps=50) for n in range(4)),
        ]
        self.assertEqual({"r1:1", "r2:1"}, self.choose(entries))
        busy = serve(entries, {"r1:1", "r2:1"}, 200.0)
        self.assertNotIn("r2:1", self.choose(busy))


class TestAnnouncedLimits(testtools.TestCase):
    """What an entry uses must reach all others with its heartbeats."""

    def test_heartbeats_renew_what_is_used(self):
        fleet = _fleet.Fleet(6, domains=2)
        first = fleet.entries[0]
        describe = first.describe
        used = [0.0]
        first.describe = lambda: msgspec.structs.replace(
            describe(), link=1000.0, link_used=used[0]
        )
        fleet.run(4.0)
        used[0] = 500.0
        fleet.run(7.0)
        for other in fleet.entries[1:]:
            known = other.core.instances.get(first.name)
            self.assertEqual((1000.0, 500.0), (known.link, known.link_used))

    def test_limits_that_an_old_build_left_out_are_asked_for(self):
        fleet = _fleet.Fleet(4, domains=1)
        first, second = fleet.entries[:2]
        describe = first.describe
        first.describe = lambda: msgspec.structs.replace(
            describe(), link=1000.0
        )
        fleet.run(4.0)
        known = second.core.instances.get(first.name)
        second.core.instances.renew(
            msgspec.structs.replace(known, link=0.0), now=fleet.now, age=0.0
        )
        fleet.run(9.0)
        self.assertEqual(1000.0, second.core.instances.get(first.name).link)
