"""Tests the selection of entries for discovery responses."""

import collections
import random

import testtools

from galenashed import membership
from galenashed.node import _entries
from galenashed.protocol import gossip as wire


def entry(
    name,
    domain,
    state="serving",
    replica="",
    region="north",
    used=0.0,
):
    return wire.Instance(
        name=name,
        incarnation="a",
        started=0.0,
        sequence=1,
        address=f"{name}:1",
        peer_address=f"{name}:2",
        relay_address=f"{name}:3",
        failure_domain=domain,
        region=region,
        cores=1.0,
        cores_used=used,
        state=state,
        replica=replica,
    )


class TestChoose(testtools.TestCase):
    """The response of an entry that has contact with control."""

    def choose(self, entries):
        found = _entries.NamedEntries().choose(
            entries, "east", "north", random.Random(1), 0.0
        )
        return sorted(found)

    def test_only_entries_of_the_domain_if_there_are_enough(self):
        found = self.choose(
            [entry("a", "east"), entry("b", "east"), entry("c", "west")]
        )
        self.assertEqual(["a:1", "b:1"], found)

    def test_entries_with_a_replica_serve_their_region(self):
        with_replica = [
            entry("a", "east", replica="a"),
            entry("b", "west", replica="b"),
            entry("far", "south", replica="far", region="other"),
        ]
        found = self.choose(
            [*with_replica, entry("c", "east"), entry("d", "west")]
        )
        self.assertEqual(["a:1", "b:1"], found)

    def test_all_entries_of_the_domain_if_replicas_are_busy(self):
        with_replica = [
            entry("a", "east", replica="a", used=0.5),
            entry("b", "west", replica="b", used=0.4),
        ]
        others = [entry("c", "east"), entry("d", "west")]
        self.assertEqual(["a:1", "c:1"], self.choose(with_replica + others))

    def test_selection_does_not_oscillate_with_the_load_it_moves(self):
        # The load of the test above, shifted to the entries that its response
        # named: it must not return to the entries with a replica.
        with_replica = [
            entry("a", "east", replica="a", used=0.3),
            entry("b", "west", replica="b", used=0.0),
        ]
        others = [entry("c", "east", used=0.6), entry("d", "west")]
        self.assertEqual(["a:1", "c:1"], self.choose(with_replica + others))

    def test_few_replicas_do_not_serve_a_large_fleet_alone(self):
        fleet = [entry(f"n{n:03}", "east", used=0.2) for n in range(200)]
        replicas = [entry(f"r{n}", "east", replica="r") for n in range(7)]
        rng = random.Random(1)
        selector = _entries.NamedEntries()
        named = collections.Counter()
        for _ in range(300):
            named.update(
                selector.choose(fleet + replicas, "east", "north", rng, 0.0)
            )
        mean = sum(named.values()) / 207
        self.assertLess(max(named["r0:1"], named["r6:1"]), 1.5 * mean)

    def test_entries_of_other_domains_if_the_domain_has_one(self):
        found = self.choose([entry("a", "east"), entry("c", "west")])
        self.assertEqual(["a:1", "c:1"], found)

    def test_draining_and_starting_entries_are_excluded(self):
        found = self.choose(
            [
                entry("a", "east", "draining"),
                entry("b", "east", "starting"),
                entry("c", "west"),
            ]
        )
        self.assertEqual(["c:1"], found)

    def test_cut_off_entries_only_if_all_are_cut_off(self):
        cut_off = [
            entry("a", "east", "cut-off"),
            entry("b", "east", "cut-off"),
        ]
        self.assertEqual(["c:1"], self.choose([*cut_off, entry("c", "west")]))
        self.assertEqual(["a:1", "b:1"], self.choose(cut_off))


class TestFewEntriesOfManyServe(testtools.TestCase):
    """A domain of 40 small entries and one with a replica, as at size."""

    def setUp(self):
        super().setUp()
        self.selector = _entries.NamedEntries()

    def fleet(self, load, named=None):
        """Returns the entries; those in ``named`` share ``load`` cores."""
        names = [f"n{n:02}" for n in range(40)]
        serving = names if named is None else [n[:-2] for n in named]
        entries = [
            entry(
                name,
                "east",
                used=0.02 + load / len(serving) * (name in serving),
            )
            for name in names
        ]
        used = 0.02 + load / len(serving) * ("big" in serving)
        return [entry("big", "east", replica="r", used=used), *entries]

    def choose(self, fleet, now=0.0, seed=1, selector=None):
        found = (selector or self.selector).choose(
            fleet, "east", "north", random.Random(seed), now
        )
        return set(found)

    def test_as_many_as_the_load_needs(self):
        few = self.choose(self.fleet(1.0))
        self.assertIn("big:1", few)
        self.assertLess(len(few), 10)
        # The load of 1 core fits into what is left of half of them.
        self.assertGreaterEqual(len(few) // 2, 1.0)

    def test_all_instances_name_the_same(self):
        first = self.choose(self.fleet(1.0), seed=1)
        second = self.choose(
            self.fleet(1.0), seed=2, selector=_entries.NamedEntries()
        )
        self.assertEqual(first, second)

    def test_named_entries_stay_while_their_load_varies(self):
        named = self.choose(self.fleet(1.0))
        for second in range(10):
            load = 1.0 if second % 4 == 0 else 0.2
            fleet = self.fleet(load, named)
            self.assertEqual(named, self.choose(fleet, now=float(second)))

    def test_burst_is_followed_at_once_and_left_slowly(self):
        named = self.choose(self.fleet(1.0))
        more = self.choose(self.fleet(3.0, named), now=1.0)
        self.assertGreater(len(more), len(named))
        # With room for the load of 3 cores after the loss of half of them.
        self.assertGreaterEqual(len(more) // 2, 3.0)
        # Those that were named before still are.
        self.assertLessEqual(named, more)
        self.assertEqual(more, self.choose(self.fleet(1.0, more), now=10.0))
        fewer = self.choose(self.fleet(1.0, more), now=30.0)
        self.assertLess(len(fewer), len(more))

    def test_entries_that_are_gone_are_replaced(self):
        named = self.choose(self.fleet(1.0))
        gone = sorted(named)[: len(named) // 2]
        rest = [e for e in self.fleet(1.0) if e.address not in gone]
        replaced = self.choose(rest, now=1.0)
        self.assertGreaterEqual(len(replaced), len(named) - 1)
        self.assertLessEqual(named - set(gone), replaced)

    def test_idle_fleet_has_room_for_load_that_comes_at_once(self):
        named = self.choose(self.fleet(0.0))
        self.assertGreaterEqual(len(named), 5)


class TestChooseWhileCutOff(testtools.TestCase):
    """The response of an entry that is cut off from control."""

    def test_last_known_entries_with_a_replica_and_itself(self):
        own = entry("a", "east", "cut-off")
        known = [
            entry("b", "east", "cut-off"),
            entry("c", "west", replica="c"),
            entry("d", "west", "draining", replica="d"),
        ]
        found = _entries.choose_while_cut_off(
            own, known, random.Random(1), lacks_tokens=False
        )
        self.assertEqual(["a:1", "c:1"], sorted(found))

    def test_entry_that_was_silent_for_long_is_not_known(self):
        """Guards against naming entries that were lost 7 s before."""
        directory = membership.Directory(lease=2.5)
        directory.merge(entry("c", "west"), now=0.0, from_announcer=True)
        for now, known in ((3.0, ["c"]), (5.9, ["c"]), (6.1, [])):
            found = _entries.last_known(directory, contact_at=0.0, now=now)
            self.assertEqual(known, [item.name for item in found])

    def test_excludes_itself_while_it_lacks_tokens(self):
        own = entry("a", "east", "cut-off")
        found = _entries.choose_while_cut_off(
            own,
            [entry("c", "west", replica="c")],
            random.Random(1),
            lacks_tokens=True,
        )
        self.assertEqual(["c:1"], found)
        alone = _entries.choose_while_cut_off(
            own, [], random.Random(1), lacks_tokens=True
        )
        self.assertEqual(["a:1"], alone)


class TestWithPath(testtools.TestCase):
    """Where an entry forwards requests for a service that it can't reach."""

    def order(self, *entries, **options):
        return _entries.with_path(
            entries, "s", "east", random.Random(1), **options
        )

    def test_entries_outside_of_the_home_regions_get_no_request(self):
        north = entry("a", "west")
        south = entry("b", "east", region="south")
        unknown = entry("c", "east", region="")
        for regions, found in (
            (frozenset({"south", "other"}), ["b:3"]),
            (frozenset({"other"}), []),
            (frozenset(), []),
        ):
            self.assertEqual(
                found, self.order(north, south, unknown, regions=regions)
            )

    def test_entries_of_the_domain_first(self):
        found = self.order(entry("a", "west"), entry("b", "east"))
        self.assertEqual(["b:3", "a:3"], found)

    def test_few_busy_entries_of_the_domain_do_not_serve_all_others(self):
        found = self.order(
            entry("a", "east", used=0.9), entry("b", "west", used=0.3)
        )
        self.assertEqual(["b:3", "a:3"], found)

    def test_entries_that_may_lack_tokens_last(self):
        found = self.order(
            entry("a", "east", "cut-off"), entry("b", "west", used=0.9)
        )
        self.assertEqual(["b:3", "a:3"], found)
