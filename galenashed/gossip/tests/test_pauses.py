"""Messages that waited while their receiver was frozen."""

import testtools

from galenashed.gossip import _pauses
from galenashed.gossip.tests import _fleet
from galenashed.protocol import gossip as wire


class TestPauses(testtools.TestCase):
    def test_messages_after_a_pause_count_as_old_for_a_moment(self):
        pauses = _pauses.Pauses()
        delays = [
            pauses.max_delay(now) for now in (5.0, 5.3, 5.9, 13.9, 14.2, 15.0)
        ]
        self.assertEqual([0.0, 0.0, 0.0, 8.0, 8.0, 0.0], delays)

    def test_pause_is_known_whatever_runs_first_after_it(self):
        pauses = _pauses.Pauses()
        pauses.update(1.0)
        pauses.update(9.0)
        self.assertEqual(8.0, pauses.max_delay(9.01))

    def test_lost_entry_is_not_taken_for_just_heard(self):
        """Guards against naming an entry that died during the pause."""
        fleet = _fleet.Fleet(2)
        receiver, lost = fleet.entries
        for delay, alive in ((8.0, []), (0.0, [lost.name])):
            receiver.core.receive(
                wire.GossipMessage(sender=lost.describe(), targets=[]),
                fleet.now + 10.0,
                delay=delay,
            )
            found = receiver.instances.alive(fleet.now + 10.0)
            self.assertEqual(alive, [entry.name for entry in found])
