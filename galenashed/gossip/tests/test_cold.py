"""The end of a cold period reaches all entries, but not with each heartbeat.

Guards against entries that renew an announcement without the change in it, as
heartbeats name announcements by a hash of chosen fields.
"""

import msgspec
import testtools

from galenashed.gossip.tests import _fleet
from galenashed.protocol import heartbeats


def make_target(sequence, cold_until):
    return msgspec.structs.replace(
        _fleet.make_target("t", sequence), cold_until=cold_until
    )


class OlderCore:
    """Decodes announcements without the field, as older builds do."""

    def __init__(self, core):
        self._core = core

    def __getattr__(self, name):
        return getattr(self._core, name)

    def receive(self, message, now):
        targets = [
            msgspec.structs.replace(target, cold_until=None)
            for target in message.targets
        ]
        self._core.receive(
            msgspec.structs.replace(message, targets=targets), now
        )


class TestColdUntil(testtools.TestCase):
    def ends(self, fleet):
        return {entry.targets.get("t").cold_until for entry in fleet.running()}

    def test_changes_reach_all_entries(self):
        for loss, within in ((0.0, 1.0), (0.04, 2.5)):
            fleet = _fleet.Fleet(63, domains=3, loss=loss)
            fleet.run(5.0)
            for sequence, end in enumerate((100, 0, 200, None, 300), 1):
                entry = fleet.rng.choice(fleet.entries)
                entry.core.announce(make_target(sequence, end), fleet.now)
                fleet.run(fleet.now + within)
                self.assertEqual({end}, self.ends(fleet))

    def test_entry_that_missed_the_change_learns_of_it(self):
        fleet = _fleet.Fleet(6, domains=2)
        fleet.run(5.0)
        first, *_, last = fleet.entries
        first.core.announce(make_target(1, 0), fleet.now)
        fleet.run(fleet.now + 1.0)
        fleet.is_cut = lambda sender, receiver: last in (sender, receiver)
        first.core.announce(make_target(2, 100), fleet.now)
        fleet.run(fleet.now + 2.0)
        self.assertEqual(0, last.targets.get("t").cold_until)
        fleet.is_cut = lambda sender, receiver: False
        first.core.announce(make_target(3, 100), fleet.now)
        fleet.run(fleet.now + 4.0)
        self.assertEqual({100}, self.ends(fleet))

    def test_ends_that_differ_by_rounding_are_no_change(self):
        entry = _fleet.Fleet(1).entries[0]
        ends = ((100, 100), (99, 100), (98, 100), (101, 101), (97, 97))
        for sequence, (end, kept) in enumerate(ends, 1):
            entry.core.announce(make_target(sequence, end), 1.0)
            known = entry.targets.get("t")
            self.assertEqual(
                (sequence, kept), (known.sequence, known.cold_until)
            )

    def test_entry_of_an_older_build_keeps_hearing_the_target(self):
        identify = heartbeats.identify_target
        self.assertEqual(
            identify(make_target(1, None)), identify(make_target(2, 0))
        )
        fleet = _fleet.Fleet(6, domains=1)
        older = fleet.entries[5]
        older.core = OlderCore(older.core)
        fleet.run(5.0)
        for sequence in range(1, 12):
            fleet.entries[0].core.announce(
                make_target(sequence, 100), fleet.now
            )
            fleet.run(fleet.now + 1.0)
            for entry in fleet.running():
                self.assertNotEqual([], entry.targets.alive(fleet.now))
        self.assertIsNone(older.targets.get("t").cold_until)
        # It asks for what it doesn't know, but not without end.
        for entry in fleet.entries:
            self.assertLess(entry.sent_bytes, 16_000 * fleet.now)
