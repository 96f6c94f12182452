"""Where callers are told to connect."""

import random

import testtools

from galenashed.node import _entries
from galenashed.protocol import spread as wire


def entry(name, domain, state="serving", replica=""):
    return wire.Instance(
        name=name,
        incarnation="a",
        started=0.0,
        sequence=1,
        address=f"{name}:1",
        peer_address=f"{name}:2",
        failure_domain=domain,
        state=state,
        replica=replica,
    )


class TestChoose(testtools.TestCase):
    """The answer to a caller of a failure domain."""

    def choose(self, entries):
        found = _entries.choose(entries, "east", random.Random(1))
        return sorted(found)

    def test_near_entries_only_where_they_are_enough(self):
        found = self.choose(
            [entry("a", "east"), entry("b", "east"), entry("c", "west")]
        )
        self.assertEqual(["a:1", "b:1"], found)

    def test_a_lone_near_entry_is_not_all(self):
        found = self.choose([entry("a", "east"), entry("c", "west")])
        self.assertEqual(["a:1", "c:1"], found)

    def test_entries_that_stop_or_start_are_left_out(self):
        found = self.choose(
            [
                entry("a", "east", "draining"),
                entry("b", "east", "starting"),
                entry("c", "west"),
            ]
        )
        self.assertEqual(["c:1"], found)

    def test_entries_cut_off_from_control_only_where_all_are(self):
        cut = [entry("a", "east", "cut-off"), entry("b", "east", "cut-off")]
        self.assertEqual(["c:1"], self.choose([*cut, entry("c", "west")]))
        self.assertEqual(["a:1", "b:1"], self.choose(cut))


class TestChooseCutOff(testtools.TestCase):
    """The answer of an entry that control can't reach."""

    def test_entries_with_a_replica_though_silent_and_itself(self):
        own = entry("a", "east", "cut-off")
        remembered = [
            entry("b", "east", "cut-off"),
            entry("c", "west", replica="c"),
            entry("d", "west", "draining", replica="d"),
        ]
        found = _entries.choose_cut_off(own, remembered, random.Random(1))
        self.assertEqual(["a:1", "c:1"], sorted(found))
