"""Replicas that lose their disks, and others that take their place.

``GALENASHED_SEEDS`` sets how many seeds are run; CI runs a fixed sample.
"""

import os

import testtools

from galenashed import consensus
from galenashed.consensus.tests import _simulation
from galenashed.protocol import consensus as wire

SEEDS = int(os.environ.get("GALENASHED_SEEDS", "60"))
STEPS = 2000
MAX_REPAIR_STEPS = 4000


class Repairs(_simulation.Simulation):
    """Faults, and now and then a lost disk, which an operator repairs.

    The next disk is lost as soon as the last repair is committed.  With
    ``keeps_names`` a replica comes back under its old name with an empty
    disk, which is what must not be done.
    """

    def __init__(self, *, keeps_names: bool = False, **options):
        self.keeps_names = keeps_names
        self.lost = ""
        self.fresh = ""
        self.repairs = 0
        super().__init__(**options)

    def _inject(self) -> None:
        roll = self.rng.random()
        if roll < 0.01 and not self.lost:
            self.lose_disk(self.rng.choice(self.names))
        elif roll < 0.2 and self.lost:
            self.repair()
        else:
            super()._inject()

    def lose_disk(self, name: str) -> None:
        del self.replicas[name]
        if self.keeps_names:
            self.replicas[name] = _simulation.Replica(name, self.members)
            self.boot(name)
            return
        self.lost = name
        self.fresh = f"{name}x"
        self.names[self.names.index(name)] = self.fresh
        self.replicas[self.fresh] = _simulation.Replica(self.fresh, ())
        self.boot(self.fresh)

    def repair(self) -> None:
        """Takes the operator's next step at whatever thinks it leads."""
        for replica in list(self.replicas.values()):
            core = replica.core
            if core is not None and core.role.value == "leader":
                self._repair_at(core)

    def _repair_at(self, core: consensus.Core) -> None:
        member = core.membership.get(self.fresh)
        if member is None:
            self._change(core, consensus.add_learner, self.fresh, "")
        elif member.learner:
            self._change(core, consensus.promote, self.fresh)
        elif core.membership.get(self.lost) is not None:
            self._change(core, consensus.remove, self.lost)
        elif core.membership.index <= core.commit:
            self.lost = ""
            self.repairs += 1

    def _change(self, core: consensus.Core, change, *args) -> None:
        try:
            core.propose_members(
                lambda members: change(members, *args), b"change", self.now
            )
        except consensus.MembershipError:
            return
        core.replicate()

    def settle(self) -> None:
        self.faults = False
        self.cut.clear()
        for name in self.names:
            if self.replicas[name].core is None:
                self.boot(name)
        for _ in range(MAX_REPAIR_STEPS):
            if not self.lost:
                break
            self.step()
            self.repair()
        assert not self.lost, "the repair does not end"
        super().settle()


class ChangesAtAnyTime(consensus.Core):
    """Changes members while an earlier change is not committed."""

    def _check_change(self, members, now):
        return


def run_seed(seed: int, core_class=consensus.Core, **options) -> Repairs:
    simulation = Repairs(seed=seed, core_class=core_class, **options)
    simulation.run(STEPS)
    simulation.settle()
    return simulation


class TestLostDisks(testtools.TestCase):
    """Promises of the log while disks are lost one after another."""

    def test_nothing_accepted_is_lost(self):
        repairs = [run_seed(seed).repairs for seed in range(SEEDS)]
        self.assertGreater(sum(repairs), SEEDS)

    def assert_noticed(self, **options):
        for seed in range(SEEDS):
            try:
                run_seed(seed, **options)
            except AssertionError:
                return
        self.fail(f"no seed showed that {options} is wrong")

    def test_checks_notice_an_empty_disk_under_an_old_name(self):
        self.assert_noticed(keeps_names=True)


class TestChanges(testtools.TestCase):
    """Single properties of changes of the membership."""

    def setUp(self):
        super().setUp()
        self.simulation = Repairs(seed=7)
        self.simulation.faults = False
        self.simulation.run(100)

    def leader(self) -> consensus.Core:
        leaders = self.simulation.leaders
        name = leaders[max(leaders)]
        return self.simulation.replicas[name].core

    def follower_names(self) -> list[str]:
        return [n for n in self.simulation.names if n != self.leader().name]

    def assert_refused(self, text, change, *args):
        exc = self.assertRaises(
            consensus.MembershipError,
            self.leader().propose_members,
            lambda members: change(members, *args),
            b"",
            self.simulation.now,
        )
        self.assertIn(text, str(exc))

    def test_second_loss_right_after_a_repair_loses_nothing(self):
        for _ in range(30):
            self.simulation.propose()
            self.simulation.run(1)
        for _ in range(2):
            self.simulation.lose_disk(self.follower_names()[0])
            while self.simulation.lost:
                self.simulation.repair()
                self.simulation.run(1)
        self.simulation.settle()

    def replace_all_at_once(self, core_class) -> Repairs:
        """A leader that is cut off replaces the two others in one go."""
        simulation = Repairs(seed=7, core_class=core_class)
        simulation.faults = False
        simulation.run(100)
        leader = simulation.leaders[max(simulation.leaders)]
        old = [name for name in simulation.names if name != leader]
        simulation.cut = {(leader, n) for n in old} | {
            (n, leader) for n in old
        }
        core = simulation.replicas[leader].core
        for name in ("x", "y"):
            simulation.replicas[name] = _simulation.Replica(name, ())
            simulation.boot(name)
            simulation._change(core, consensus.add_learner, name, "")
            simulation._change(core, consensus.promote, name)
        for name in old:
            simulation._change(core, consensus.remove, name)
        for _ in range(100):
            simulation.propose()
            simulation.run(1)
        return simulation

    def test_checks_notice_two_changes_at_once(self):
        self.assertRaises(
            AssertionError, self.replace_all_at_once, ChangesAtAnyTime
        )

    def test_cut_off_leader_does_not_replace_the_others(self):
        simulation = self.replace_all_at_once(consensus.Core)
        simulation.cut.clear()
        simulation.run(200)
        simulation.check()

    def test_leader_is_not_removed(self):
        self.assert_refused("leads", consensus.remove, self.leader().name)

    def test_unknown_replica_is_not_removed(self):
        self.assert_refused("allowed: r0, r1, r2", consensus.remove, "r9")

    def test_name_that_takes_part_is_not_added(self):
        self.assert_refused(
            "needs a new name", consensus.add_learner, "r0", "a:1"
        )

    def test_replica_is_not_removed_if_no_majority_would_answer(self):
        first, second = self.follower_names()
        self.simulation.crash(first)
        self.simulation.run(25)
        self.assert_refused("no majority", consensus.remove, second)

    def test_learner_that_lags_gets_no_vote(self):
        core = self.leader()
        core.propose_members(
            lambda members: consensus.add_learner(members, "r9", ""),
            b"",
            self.simulation.now,
        )
        core.replicate()
        self.simulation.run(10)
        self.assert_refused("not caught up", consensus.promote, "r9")

    def test_dropped_change_counts_no_more(self):
        membership = self.leader().membership
        before = membership.members
        index = membership.index + 50
        fresh = (*before, wire.Member("r9"))
        membership.append([wire.Entry(index, 1, b"", fresh)])
        self.assertEqual(fresh, membership.members)
        membership.drop_from(index)
        self.assertEqual(before, membership.members)
