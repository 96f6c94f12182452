"""Announcements, leases and tombstones."""

import testtools

from galenashed import membership
from galenashed.protocol import spread as wire

LEASE = 3.0


def target(sequence, state="ready", incarnation="a", started=1.0):
    return wire.Target(
        name="engine-1",
        incarnation=incarnation,
        started=started,
        sequence=sequence,
        service="s",
        address="127.0.0.1:1",
        failure_domain="k",
        state=state,
    )


class TestDirectory(testtools.TestCase):
    """Which announcement wins."""

    def setUp(self):
        super().setUp()
        self.directory = membership.Directory(lease=LEASE)

    def merge(self, announced, now=0.0, direct=True):
        return self.directory.merge(announced, now=now, direct=direct)

    def states(self, now=0.0):
        return [item.state for item in self.directory.alive(now)]

    def test_silent_target_is_gone_after_its_lease(self):
        self.merge(target(1), now=0.0)
        self.assertEqual(["ready"], self.states(2.9))
        self.assertEqual([], self.states(3.0))

    def test_old_announcement_renews_nothing(self):
        self.merge(target(2), now=0.0)
        self.assertFalse(self.merge(target(1), now=2.0))
        self.assertFalse(self.merge(target(2), now=2.0))
        self.assertEqual([], self.states(3.0))

    def test_announcement_after_the_tombstone_changes_nothing(self):
        self.merge(target(5, state="leaving"))
        for late in (target(4), target(5), target(6)):
            self.assertFalse(self.merge(late))
            self.assertEqual(["leaving"], self.states())

    def test_restart_brings_a_target_back_and_it_joins_anew(self):
        self.merge(target(5, state="leaving"))
        fresh = target(1, incarnation="b", started=2.0)
        self.assertTrue(self.merge(fresh, now=7.0))
        self.assertEqual(["ready"], self.states(7.0))
        self.assertEqual(7.0, self.directory.joined("engine-1"))
        # The earlier incarnation's late words are of no use.
        self.assertFalse(self.merge(target(9), now=8.0))

    def test_incarnations_of_equal_age_are_ordered_everywhere(self):
        first = target(1, incarnation="a", started=1.0)
        second = target(1, incarnation="b", started=1.0)
        other = membership.Directory(lease=LEASE)
        for directory, order in (
            (self.directory, (first, second)),
            (other, (second, first)),
        ):
            for announced in order:
                directory.merge(announced, now=0.0, direct=False)
            self.assertEqual([second], directory.alive(0.0))

    def test_only_first_hand_knowledge_is_told(self):
        self.merge(target(1), direct=False)
        self.assertEqual([], self.directory.first_hand(0.0))
        self.merge(target(2), direct=True)
        self.assertEqual(1, len(self.directory.first_hand(0.0)))
        self.assertEqual([], self.directory.first_hand(LEASE))

    def test_tombstone_is_told_longer_than_a_lease(self):
        self.merge(target(1, state="leaving"))
        self.assertEqual(1, len(self.directory.first_hand(5 * LEASE)))

    def test_flapping_target_ends_in_its_last_state(self):
        for number in range(10):
            state = "leaving" if number % 2 else "ready"
            self.merge(
                target(1, state=state, incarnation=str(number), started=number)
            )
        self.assertEqual(["leaving"], self.states())
