"""Tests the planned changes of the set of voters."""

import testtools

from galenashed import consensus
from galenashed.node import _voters


def voter(name, address=None):
    return consensus.Member(name, address or name)


def learner(name, address=None):
    return consensus.Member(name, address or name, learner=True)


def candidate(name, address=None):
    return _voters.Candidate(name, address or name)


def plan(
    members,
    candidates,
    *,
    silent_seconds=None,
    caught_up=(),
    desired_voters=3,
    retired=(),
):
    change = _voters.plan_change(
        _voters.ClusterView(
            members=tuple(members),
            leader="a",
            silent_seconds=silent_seconds or {},
            caught_up=frozenset(caught_up),
            candidates=candidates,
            desired_voters=desired_voters,
            retired=frozenset(retired),
        )
    )
    return None if change is None else (change.action, change.name)


VOTERS = [voter("a"), voter("b"), voter("c")]
CANDIDATES = [candidate("a"), candidate("b"), candidate("c")]


class TestPlanChange(testtools.TestCase):
    """One membership change for one state of the cluster."""

    def test_no_change_if_all_voters_are_running(self):
        self.assertIsNone(plan(VOTERS, CANDIDATES))

    def test_surplus_replica_is_not_added(self):
        self.assertIsNone(plan(VOTERS, [*CANDIDATES, candidate("d")]))

    def test_silent_voter_stays_without_a_replacement(self):
        silent_seconds = {"b": 0.1, "c": 60.0}
        self.assertIsNone(
            plan(VOTERS, CANDIDATES[:2], silent_seconds=silent_seconds)
        )

    def test_gone_voter_is_replaced_one_for_one(self):
        silent_seconds = {"b": 0.1, "c": 60.0}
        candidates = [*CANDIDATES[:2], candidate("d")]
        self.assertEqual(
            ("add", "d"),
            plan(VOTERS, candidates, silent_seconds=silent_seconds),
        )
        with_learner = [*VOTERS, learner("d")]
        self.assertIsNone(
            plan(with_learner, candidates, silent_seconds=silent_seconds)
        )
        self.assertEqual(
            ("promote", "d"),
            plan(
                with_learner,
                candidates,
                silent_seconds=silent_seconds,
                caught_up=["d"],
            ),
        )
        with_successor = [*VOTERS, voter("d")]
        self.assertEqual(
            ("remove", "c"),
            plan(with_successor, candidates, silent_seconds=silent_seconds),
        )
        without_c = [voter("a"), voter("b"), voter("d")]
        self.assertIsNone(
            plan(without_c, candidates, silent_seconds={"b": 0.1})
        )

    def test_voters_stay_as_many_as_desired_while_one_is_replaced(self):
        voters = [*VOTERS, voter("d"), voter("e")]
        candidates = [
            *(candidate(name) for name in "abd"),
            candidate("e/2", "e"),
            candidate("f"),
        ]
        silent_seconds = {"b": 0.1, "c": 60.0, "d": 0.1, "e": 0.5}
        members = [*voters, learner("f"), learner("e/2", "e")]
        options = {
            "silent_seconds": silent_seconds,
            "caught_up": ["f", "e/2"],
            "desired_voters": 5,
        }
        # The disk of e is lost, that of c may not be.
        self.assertEqual(("remove", "e"), plan(members, candidates, **options))
        members.remove(voter("e"))
        self.assertEqual(
            ("promote", "f"), plan(members, candidates, **options)
        )
        members[members.index(learner("f"))] = voter("f")
        self.assertEqual(
            ("promote", "e/2"), plan(members, candidates, **options)
        )
        members[members.index(learner("e/2", "e"))] = voter("e/2", "e")
        self.assertEqual(("remove", "c"), plan(members, candidates, **options))
        members.remove(voter("c"))
        self.assertIsNone(plan(members, candidates, **options))

    def test_replica_with_a_wiped_disk_replaces_its_old_name(self):
        # The old name has been silent only for the duration of the restart.
        candidates = [*CANDIDATES[:2], candidate("c/2", "c")]
        silent_seconds = {"b": 0.1, "c": 0.5}
        self.assertEqual(
            ("add", "c/2"),
            plan(VOTERS, candidates, silent_seconds=silent_seconds),
        )
        with_learner = [*VOTERS, learner("c/2", "c")]
        self.assertEqual(
            ("remove", "c"),
            plan(
                with_learner,
                candidates,
                silent_seconds=silent_seconds,
                caught_up=["c/2"],
            ),
        )

    def test_learner_whose_disk_was_wiped_is_removed(self):
        members = [voter("a"), voter("b"), learner("c/2", "c")]
        candidates = [*CANDIDATES[:2], candidate("c/3", "c")]
        self.assertEqual(("remove", "c/2"), plan(members, candidates))

    def test_voters_are_added_up_to_the_desired_number(self):
        candidates = [*CANDIDATES, candidate("d"), candidate("e")]
        self.assertEqual(
            ("add", "d"), plan(VOTERS, candidates, desired_voters=5)
        )
        members = [*VOTERS, learner("d"), learner("e")]
        self.assertEqual(
            ("promote", "e"),
            plan(members, candidates, desired_voters=5, caught_up=["e"]),
        )

    def test_removed_replica_that_runs_again_is_readmitted(self):
        silent_seconds = {"b": 0.1, "c": 60.0}
        candidates = [*CANDIDATES[:2], candidate("d")]
        self.assertEqual(
            ("readmit", "d"),
            plan(
                VOTERS,
                candidates,
                silent_seconds=silent_seconds,
                retired=["d"],
            ),
        )

    def test_silent_voter_is_kept_while_it_is_announced(self):
        # Its announcements still arrive, so only its link is slow.
        silent_seconds = {"b": 0.1, "c": 3.0}
        candidates = [*CANDIDATES, candidate("d")]
        self.assertIsNone(
            plan(VOTERS, candidates, silent_seconds=silent_seconds)
        )
