"""Tests of the consensus core under seeded faults.

``GALENASHED_SEEDS`` sets the number of seeds; CI runs a fixed sample.
"""

import os
import random

import testtools

from galenashed import consensus
from galenashed.consensus.tests import _simulation
from galenashed.protocol import consensus as wire

SEEDS = int(os.environ.get("GALENASHED_SEEDS", "60"))
STEPS = 1500


def run_seed(seed: int, replicas: int, **options) -> _simulation.Simulation:
    """Runs one history with faults, then checks that it converges."""
    simulation = _simulation.Simulation(
        seed=seed, replicas=replicas, **options
    )
    simulation.run(STEPS)
    simulation.recover_and_check()
    return simulation


class ForgetsVote(consensus.Core):
    """Forgets its vote when another candidate asks for one."""

    def _on_vote_request(self, now, req):
        self.voted_for = ""
        super()._on_vote_request(now, req)


class VotesForOutdatedLog(consensus.Core):
    """Grants votes to candidates whose log is out of date."""

    def _on_vote_request(self, now, req):
        super()._on_vote_request(
            now,
            wire.VoteRequest(
                sender=req.sender,
                term=req.term,
                last_index=10**9,
                last_term=10**9,
                pre=req.pre,
            ),
        )


class SkipsLogMatching(consensus.Core):
    """Appends entries without checking that the preceding term matches."""

    def _on_append(self, now, req):
        local_term = self.log.term_at(req.prev_index)
        super()._on_append(
            now,
            wire.Append(
                sender=req.sender,
                term=req.term,
                prev_index=req.prev_index,
                prev_term=req.prev_term if local_term is None else local_term,
                commit=req.commit,
                entries=req.entries,
            ),
        )


class CommitsWithMinority(consensus.Core):
    """Commits entries that are durable on only one replica."""

    def _advance_commit(self):
        self.quorum, quorum = 1, self.quorum
        super()._advance_commit()
        self.quorum = quorum


class RemovesLogBeforeSnapshot(consensus.Storage):
    """Removes the log before the snapshot that covers it is stored."""

    __slots__ = ()

    def _write_snapshot(self, meta, data):
        for path in self._wal_paths():
            path.unlink()
        super()._write_snapshot(meta, data)


class TestSeededFaults(testtools.TestCase):
    """Invariants of the log over many seeded histories."""

    def test_three_replicas(self):
        simulations = [run_seed(seed, 3) for seed in range(SEEDS)]
        installs = sum(simulation.installs for simulation in simulations)
        self.assertGreaterEqual(installs, SEEDS // 2)

    def test_five_replicas(self):
        for seed in range(SEEDS // 3):
            run_seed(1_000_000 + seed, 5)

    def assert_detected(
        self, core_class=consensus.Core, error=AssertionError, **options
    ):
        for seed in range(SEEDS):
            try:
                run_seed(seed, 3, core_class=core_class, **options)
            except error:
                return
        self.fail(f"no seed detected the fault of {core_class} {options}")

    def test_checks_detect_forgotten_vote(self):
        self.assert_detected(ForgetsVote)

    def test_checks_detect_votes_for_outdated_log(self):
        self.assert_detected(VotesForOutdatedLog)

    def test_checks_detect_skipped_log_matching(self):
        self.assert_detected(SkipsLogMatching)

    def test_checks_detect_commit_by_minority(self):
        self.assert_detected(CommitsWithMinority)

    def test_checks_detect_log_that_is_removed_first(self):
        self.assert_detected(
            storage_class=RemovesLogBeforeSnapshot,
            error=consensus.StorageError,
        )


class TestElections(testtools.TestCase):
    """Individual properties of elections and catch-up."""

    def test_isolated_leader_steps_down_and_does_not_disrupt(self):
        simulation = _simulation.Simulation(seed=1)
        simulation.faults = False
        simulation.run(100)
        old = simulation.leaders[max(simulation.leaders)]
        for name in simulation.names:
            simulation.blocked_links |= {(old, name), (name, old)}
        simulation.run(100)
        core = simulation.replicas[old].core
        self.assertNotEqual("leader", core.role.value)
        term = max(simulation.leaders)
        self.assertNotEqual(old, simulation.leaders[term])
        simulation.blocked_links.clear()
        simulation.run(100)
        # Pre-vote: the returning replica does not start an election.
        self.assertEqual(term, max(simulation.leaders))

    def test_broken_stream_from_leader_speeds_up_election(self):
        simulation = _simulation.Simulation(seed=3)
        simulation.faults = False
        simulation.run(100)
        old = simulation.leaders[max(simulation.leaders)]
        term = max(simulation.leaders)
        simulation.crash(old)
        for name in simulation.names:
            if name != old:
                simulation.replicas[name].core.report_unreachable(
                    old, simulation.now
                )
        steps = _simulation.ELECTION_TIMEOUT / _simulation.STEP_SECONDS
        simulation.run(int(steps))
        self.assertGreater(max(simulation.leaders), term)

    def test_false_unreachable_report_does_not_depose_leader(self):
        simulation = _simulation.Simulation(seed=3)
        simulation.faults = False
        simulation.run(100)
        term = max(simulation.leaders)
        follower = next(
            n for n in simulation.names if n != simulation.leaders[term]
        )
        core = simulation.replicas[follower].core
        core.report_unreachable(simulation.leaders[term], simulation.now)
        simulation.run(100)
        self.assertEqual(term, max(simulation.leaders))

    def test_lagging_follower_is_served_a_snapshot(self):
        simulation = _simulation.Simulation(seed=2)
        simulation.faults = False
        simulation.run(100)
        leader = simulation.leaders[max(simulation.leaders)]
        lagging = next(n for n in simulation.names if n != leader)
        simulation.crash(lagging)
        for _ in range(50):
            simulation.propose()
            simulation.run(1)
        simulation.run(20)
        simulation._snapshot(simulation.replicas[leader])
        simulation.start(lagging)
        simulation.run(100)
        self.assertEqual(
            simulation.replicas[leader].applied,
            simulation.replicas[lagging].applied,
        )
        index = simulation.replicas[lagging].disk.snapshot.index
        self.assertGreater(index, 40)


class TestSnapshotsOverLogs(testtools.TestCase):
    """What a follower keeps of its log when it is sent a snapshot."""

    MEMBERS = tuple(consensus.Member(name) for name in ("r0", "r1", "r2"))
    META = wire.SnapshotMeta(index=2, term=2, members=MEMBERS)

    def make_follower(self, *terms):
        """Returns a follower that has stored entries of these terms."""
        core = consensus.Core(
            name="r1",
            election_timeout=_simulation.ELECTION_TIMEOUT,
            heartbeat=_simulation.HEARTBEAT,
            rng=random.Random(1),
            restored=consensus.Restored(
                hard_state=wire.HardState(term=3),
                snapshot=wire.SnapshotMeta(members=self.MEMBERS),
                snapshot_data=b"",
                entries=[
                    wire.Entry(index, term, b"x")
                    for index, term in enumerate(terms, 1)
                ],
            ),
            now=0.0,
        )
        core.step(
            0.0,
            wire.SnapshotChunk(
                sender="r0",
                term=3,
                meta=self.META,
                offset=0,
                data=b"state",
                last=True,
            ),
        )
        return core

    def test_entries_after_snapshot_that_the_log_contains_are_kept(self):
        core = self.make_follower(1, 2, 2, 3)
        self.assertEqual(4, core.log.last_index)
        self.assertEqual(4, core.durable_index)
        ready = core.take_ready()
        self.assertIsNone(ready.snapshot)
        self.assertEqual([1, 2], [entry.index for entry in ready.committed])
        replies = [message for _, message in ready.messages]
        self.assertIn(
            wire.SnapshotReply(sender="r1", term=3, index=2, offset=-1),
            replies,
        )

    def test_entries_that_conflict_with_snapshot_are_replaced(self):
        for terms in ((1, 1, 1, 1), (1, 3, 3, 3), (1,)):
            core = self.make_follower(*terms)
            self.assertEqual(2, core.log.last_index)
            self.assertEqual(2, core.log.last_term)
            self.assertEqual(self.META, core.take_ready().snapshot)


class TestReplicationAfterLoss(testtools.TestCase):
    """What a leader sends to a follower that has missed many messages."""

    ENTRIES = 200

    def sends_per_entry(self):
        """Returns the sends per entry to a follower after a partition."""
        simulation = _simulation.Simulation(seed=4)
        simulation.faults = False
        simulation.run(100)
        leader = simulation.leaders[max(simulation.leaders)]
        lagging = next(n for n in simulation.names if n != leader)
        core = simulation.replicas[leader].core
        sent = 0
        send = core._send

        def count(peer, message):
            nonlocal sent
            if peer == lagging and isinstance(message, wire.Append):
                sent += len(message.entries)
            send(peer, message)

        core._send = count
        simulation.blocked_links |= {(leader, lagging)}
        self.propose_each(core)
        simulation.run(3)
        simulation.blocked_links.clear()
        # These arrive, but do not continue the log of the follower.
        self.propose_each(core)
        simulation.run(200)
        self.assertEqual(
            core.log.last_index,
            simulation.replicas[lagging].core.log.last_index,
        )
        return sent / self.ENTRIES

    def propose_each(self, core):
        for _ in range(self.ENTRIES // 2):
            core.propose(b"x")
            core.replicate()

    def test_each_entry_is_sent_few_times(self):
        # Once into the partition, once again, and half of them a third time.
        self.assertLessEqual(self.sends_per_entry(), 4.0)

    def test_silent_follower_gets_no_entries(self):
        simulation = _simulation.Simulation(seed=5)
        simulation.faults = False
        simulation.run(100)
        leader = simulation.leaders[max(simulation.leaders)]
        lagging = next(n for n in simulation.names if n != leader)
        core = simulation.replicas[leader].core
        simulation.crash(lagging)
        steps = _simulation.ELECTION_TIMEOUT / _simulation.STEP_SECONDS
        simulation.run(int(3 * steps))
        sent = []
        send = core._send

        def record_entries(peer, message):
            if peer == lagging and isinstance(message, wire.Append):
                sent.extend(message.entries)
            send(peer, message)

        core._send = record_entries
        for _ in range(20):
            simulation.propose()
            simulation.run(1)
        self.assertEqual([], sent)
