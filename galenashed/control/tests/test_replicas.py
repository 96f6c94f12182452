"""Tests which membership changes control allows."""

import testtools

from galenashed import consensus
from galenashed.control import _replicas
from galenashed.protocol import control as wire

MEMBERS = (consensus.Member("a", "a:1"), consensus.Member("b", "b:1"))


def apply_change(action, name, *, retired=()):
    command = wire.ChangeReplicas(
        action=action, name=name, address=f"{name}:1", actor="test"
    )
    change = _replicas.make_change(command, lambda: list(retired))
    return change(MEMBERS)


class TestChangesOfRemovedReplicas(testtools.TestCase):
    """A name that has voted can't be given to an empty disk."""

    def assert_refused(self, text, action, name, **options):
        exc = self.assertRaises(
            consensus.MembershipError, apply_change, action, name, **options
        )
        self.assertIn(text, str(exc))

    def test_removed_name_cannot_be_added(self):
        self.assert_refused("took part once", "add", "c", retired=["c"])

    def test_removed_replica_is_readmitted_as_a_learner(self):
        members = apply_change("readmit", "c", retired=["c"])
        learner = consensus.Member("c", "c:1", learner=True)
        self.assertEqual((*MEMBERS, learner), members)

    def test_unknown_name_cannot_be_readmitted(self):
        self.assert_refused("never removed", "readmit", "c")

    def test_removed_name_cannot_be_promoted(self):
        self.assert_refused("allowed: a, b", "promote", "c", retired=["c"])

    def test_unknown_action_is_refused(self):
        self.assert_refused(
            "allowed: add, readmit, promote, remove", "replace", "c"
        )
