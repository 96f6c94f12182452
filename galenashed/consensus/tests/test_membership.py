"""Tests of membership changes, with replicas that lose their disks.

``GALENASHED_SEEDS`` sets the number of seeds; CI runs a fixed sample.
"""

import os

import testtools

from galenashed import consensus
from galenashed.consensus.tests import _simulation
from galenashed.protocol import consensus as wire

SEEDS = int(os.environ.get("GALENASHED_SEEDS", "60"))
STEPS = 2000
MAX_REPAIR_STEPS = 4000


class DiskLossSimulation(_simulation.Simulation):
    """Adds lost disks and their repair by an operator to the faults.

    Disks are lost one at a time: the next one can be lost only after the last
    repair is committed.  With ``reuses_names`` a replica returns under its
    old name with an empty disk, which operators must never do.
    """

    def __init__(self, *, reuses_names: bool = False, **options):
        self.reuses_names = reuses_names
        self.lost_name = ""
        self.replacement = ""
        self.repairs = 0
        super().__init__(**options)

    def _inject_fault(self) -> None:
        roll = self.rng.random()
        if roll < 0.01 and not self.lost_name:
            self.lose_disk(self.rng.choice(self.names))
        elif roll < 0.2 and self.lost_name:
            self.advance_repair()
        else:
            super()._inject_fault()

    def lose_disk(self, name: str) -> None:
        del self.replicas[name]
        if self.reuses_names:
            self.replicas[name] = self.make_replica(name, self.members)
            self.start(name)
            return
        self.lost_name = name
        self.replacement = f"{name}x"
        self.names[self.names.index(name)] = self.replacement
        self.replicas[self.replacement] = self.make_replica(
            self.replacement, ()
        )
        self.start(self.replacement)

    def advance_repair(self) -> None:
        """Takes the next step of the repair at each presumed leader."""
        for replica in list(self.replicas.values()):
            core = replica.core
            if core is not None and core.role.value == "leader":
                self._repair_via(core)

    def _repair_via(self, core: consensus.Core) -> None:
        member = core.membership.get(self.replacement)
        if member is None:
            self._change(core, consensus.add_learner, self.replacement, "")
        elif member.learner:
            self._change(core, consensus.promote, self.replacement)
        elif core.membership.get(self.lost_name) is not None:
            self._change(core, consensus.remove, self.lost_name)
        elif core.membership.index <= core.commit:
            self.lost_name = ""
            self.repairs += 1

    def _change(self, core: consensus.Core, change, *args) -> None:
        try:
            core.propose_membership_change(
                lambda members: change(members, *args), b"change", self.now
            )
        except consensus.MembershipError:
            return
        core.replicate()

    def recover_and_check(self) -> None:
        self.faults = False
        self.blocked_links.clear()
        for name in self.names:
            if self.replicas[name].core is None:
                self.start(name)
        for _ in range(MAX_REPAIR_STEPS):
            if not self.lost_name:
                break
            self.step()
            self.advance_repair()
        assert not self.lost_name, "the repair does not complete"
        super().recover_and_check()


class AllowsConcurrentChanges(consensus.Core):
    """Accepts a change while an earlier one is not committed."""

    def _check_membership_change(self, members, now):
        return


def run_seed(
    seed: int, core_class=consensus.Core, **options
) -> DiskLossSimulation:
    simulation = DiskLossSimulation(
        seed=seed, core_class=core_class, **options
    )
    simulation.run(STEPS)
    simulation.recover_and_check()
    return simulation


class TestLostDisks(testtools.TestCase):
    """Invariants of the log while disks are lost one after another."""

    def test_acknowledged_entries_survive_lost_disks(self):
        repairs = [run_seed(seed).repairs for seed in range(SEEDS)]
        self.assertGreater(sum(repairs), SEEDS)

    def assert_detected(self, **options):
        for seed in range(SEEDS):
            try:
                run_seed(seed, **options)
            except AssertionError:
                return
        self.fail(f"no seed detected the fault of {options}")

    def test_checks_detect_empty_disk_under_old_name(self):
        self.assert_detected(reuses_names=True)


class TestMembershipChanges(testtools.TestCase):
    """Individual properties of membership changes."""

    def setUp(self):
        super().setUp()
        self.simulation = DiskLossSimulation(seed=7)
        self.simulation.faults = False
        self.simulation.run(100)

    def leader(self) -> consensus.Core:
        leaders = self.simulation.leaders
        name = leaders[max(leaders)]
        return self.simulation.replicas[name].core

    def follower_names(self) -> list[str]:
        return [n for n in self.simulation.names if n != self.leader().name]

    def assert_rejected(self, text, change, *args):
        exc = self.assertRaises(
            consensus.MembershipError,
            self.leader().propose_membership_change,
            lambda members: change(members, *args),
            b"",
            self.simulation.now,
        )
        self.assertIn(text, str(exc))

    def test_second_disk_loss_right_after_repair_loses_nothing(self):
        for _ in range(30):
            self.simulation.propose()
            self.simulation.run(1)
        for _ in range(2):
            self.simulation.lose_disk(self.follower_names()[0])
            while self.simulation.lost_name:
                self.simulation.advance_repair()
                self.simulation.run(1)
        self.simulation.recover_and_check()

    def replace_both_followers(self, core_class) -> DiskLossSimulation:
        """Has an isolated leader replace both followers at once."""
        simulation = DiskLossSimulation(seed=7, core_class=core_class)
        simulation.faults = False
        simulation.run(100)
        leader = simulation.leaders[max(simulation.leaders)]
        old = [name for name in simulation.names if name != leader]
        simulation.blocked_links = {(leader, n) for n in old} | {
            (n, leader) for n in old
        }
        core = simulation.replicas[leader].core
        for name in ("x", "y"):
            simulation.replicas[name] = simulation.make_replica(name, ())
            simulation.start(name)
            simulation._change(core, consensus.add_learner, name, "")
            simulation._change(core, consensus.promote, name)
        for name in old:
            simulation._change(core, consensus.remove, name)
        for _ in range(100):
            simulation.propose()
            simulation.run(1)
        return simulation

    def test_checks_detect_concurrent_changes(self):
        self.assertRaises(
            AssertionError,
            self.replace_both_followers,
            AllowsConcurrentChanges,
        )

    def test_isolated_leader_does_not_replace_followers(self):
        simulation = self.replace_both_followers(consensus.Core)
        simulation.blocked_links.clear()
        simulation.run(200)
        simulation.check()

    def test_leader_cannot_be_removed(self):
        self.assert_rejected(
            "is the leader", consensus.remove, self.leader().name
        )

    def test_unknown_replica_cannot_be_removed(self):
        self.assert_rejected("allowed: r0, r1, r2", consensus.remove, "r9")

    def test_name_of_member_cannot_be_added(self):
        self.assert_rejected(
            "needs a new name", consensus.add_learner, "r0", "a:1"
        )

    def test_replica_cannot_be_removed_without_reachable_majority(self):
        first, second = self.follower_names()
        self.simulation.crash(first)
        self.simulation.run(25)
        self.assert_rejected("no majority", consensus.remove, second)

    def test_lagging_learner_cannot_be_promoted(self):
        core = self.leader()
        core.propose_membership_change(
            lambda members: consensus.add_learner(members, "r9", ""),
            b"",
            self.simulation.now,
        )
        core.replicate()
        self.simulation.run(10)
        self.assert_rejected("not caught up", consensus.promote, "r9")

    def test_truncated_change_is_reverted(self):
        membership = self.leader().membership
        before = membership.members
        index = membership.index + 50
        changed = (*before, wire.Member("r9"))
        membership.append([wire.Entry(index, 1, b"", changed)])
        self.assertEqual(changed, membership.members)
        membership.truncate_from(index)
        self.assertEqual(before, membership.members)
