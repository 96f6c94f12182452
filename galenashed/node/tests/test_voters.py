"""The plan by which a leader keeps the set of voters whole."""

import testtools

from galenashed import consensus
from galenashed.node import _voters


def voter(name, address=None):
    return consensus.Member(name, address or name)


def learner(name, address=None):
    return consensus.Member(name, address or name, learner=True)


def candidate(name, address=None):
    return _voters.Candidate(name, address or name)


def plan(members, candidates, *, silent=None, caught_up=(), wanted=3):
    change = _voters.plan(
        _voters.View(
            members=tuple(members),
            leader="a",
            silent=silent or {},
            caught_up=frozenset(caught_up),
            candidates=candidates,
            wanted=wanted,
        )
    )
    return None if change is None else (change.action, change.name)


THREE = [voter("a"), voter("b"), voter("c")]
ALIVE = [candidate("a"), candidate("b"), candidate("c")]


class TestPlan(testtools.TestCase):
    """Single situations."""

    def test_whole_set_stays(self):
        self.assertIsNone(plan(THREE, ALIVE))

    def test_spare_replica_stays_outside(self):
        self.assertIsNone(plan(THREE, [*ALIVE, candidate("d")]))

    def test_silent_voter_stays_without_another_to_replace_it(self):
        silent = {"b": 0.1, "c": 60.0}
        self.assertIsNone(plan(THREE, ALIVE[:2], silent=silent))

    def test_gone_voter_is_replaced_one_for_one(self):
        silent = {"b": 0.1, "c": 60.0}
        here = [*ALIVE[:2], candidate("d")]
        self.assertEqual(("add", "d"), plan(THREE, here, silent=silent))
        with_learner = [*THREE, learner("d")]
        self.assertIsNone(plan(with_learner, here, silent=silent))
        self.assertEqual(
            ("remove", "c"),
            plan(with_learner, here, silent=silent, caught_up=["d"]),
        )
        after = [voter("a"), voter("b"), learner("d")]
        self.assertEqual(
            ("promote", "d"),
            plan(after, here, silent={"b": 0.1}, caught_up=["d"]),
        )

    def test_wiped_disk_takes_its_old_place_under_a_new_name(self):
        # The old name is as silent as the restart took.
        here = [*ALIVE[:2], candidate("c/2", "c")]
        silent = {"b": 0.1, "c": 0.5}
        self.assertEqual(("add", "c/2"), plan(THREE, here, silent=silent))
        with_learner = [*THREE, learner("c/2", "c")]
        self.assertEqual(
            ("remove", "c"),
            plan(with_learner, here, silent=silent, caught_up=["c/2"]),
        )

    def test_learner_that_was_wiped_too_is_dropped(self):
        members = [voter("a"), voter("b"), learner("c/2", "c")]
        here = [*ALIVE[:2], candidate("c/3", "c")]
        self.assertEqual(("remove", "c/2"), plan(members, here))

    def test_set_grows_to_what_is_wanted(self):
        here = [*ALIVE, candidate("d"), candidate("e")]
        self.assertEqual(("add", "d"), plan(THREE, here, wanted=5))
        members = [*THREE, learner("d"), learner("e")]
        self.assertEqual(
            ("promote", "e"), plan(members, here, wanted=5, caught_up=["e"])
        )

    def test_frozen_voter_is_kept_while_it_may_be_alive(self):
        # Its announcements still run, so only its link is slow.
        silent = {"b": 0.1, "c": 3.0}
        here = [*ALIVE, candidate("d")]
        self.assertIsNone(plan(THREE, here, silent=silent))
