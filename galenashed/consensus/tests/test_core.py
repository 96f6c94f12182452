"""The replicated log under seeded faults.

``GALENASHED_SEEDS`` sets how many seeds are run; CI runs a fixed sample.
"""

import os

import testtools

from galenashed import consensus
from galenashed.consensus.tests import _simulation
from galenashed.protocol import consensus as wire

SEEDS = int(os.environ.get("GALENASHED_SEEDS", "60"))
STEPS = 1500


def run_seed(seed: int, replicas: int, core_class=consensus.Core):
    """Runs one history with faults, then lets it settle."""
    simulation = _simulation.Simulation(
        seed=seed, replicas=replicas, core_class=core_class
    )
    simulation.run(STEPS)
    simulation.settle()
    return simulation


class ForgetsVote(consensus.Core):
    """Forgets, once told of a newer candidate, that it has voted."""

    def _on_vote_request(self, now, req):
        self.voted_for = ""
        super()._on_vote_request(now, req)


class VotesForAnyLog(consensus.Core):
    """Gives its vote to candidates whose log is behind."""

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
    """Appends whatever the leader sends."""

    def _on_append(self, now, req):
        held = self.log.term_at(req.prev_index)
        super()._on_append(
            now,
            wire.Append(
                sender=req.sender,
                term=req.term,
                prev_index=req.prev_index,
                prev_term=req.prev_term if held is None else held,
                commit=req.commit,
                entries=req.entries,
            ),
        )


class CommitsUnsynced(consensus.Core):
    """Counts an entry as durable with a minority."""

    def _advance_commit(self):
        self.quorum, quorum = 1, self.quorum
        super()._advance_commit()
        self.quorum = quorum


class TestSeededFaults(testtools.TestCase):
    """Promises of the log over many histories."""

    def test_three_replicas(self):
        for seed in range(SEEDS):
            run_seed(seed, 3)

    def test_five_replicas(self):
        for seed in range(SEEDS // 3):
            run_seed(1_000_000 + seed, 5)

    def assert_noticed(self, core_class):
        for seed in range(SEEDS):
            try:
                run_seed(seed, 3, core_class)
            except AssertionError:
                return
        self.fail(f"no seed showed that {core_class.__name__} is wrong")

    def test_checks_notice_a_forgotten_vote(self):
        self.assert_noticed(ForgetsVote)

    def test_checks_notice_votes_for_any_log(self):
        self.assert_noticed(VotesForAnyLog)

    def test_checks_notice_skipped_log_matching(self):
        self.assert_noticed(SkipsLogMatching)

    def test_checks_notice_commit_by_a_minority(self):
        self.assert_noticed(CommitsUnsynced)


class TestElections(testtools.TestCase):
    """Single properties of elections."""

    def test_isolated_leader_steps_down_and_does_not_disturb(self):
        simulation = _simulation.Simulation(seed=1)
        simulation.faults = False
        simulation.run(100)
        old = simulation.leaders[max(simulation.leaders)]
        for name in simulation.names:
            simulation.cut |= {(old, name), (name, old)}
        simulation.run(100)
        core = simulation.replicas[old].core
        self.assertNotEqual("leader", core.role.value)
        term = max(simulation.leaders)
        self.assertNotEqual(old, simulation.leaders[term])
        simulation.cut.clear()
        simulation.run(100)
        # Pre-vote: its return starts no election.
        self.assertEqual(term, max(simulation.leaders))

    def test_broken_stream_of_the_leader_hastens_the_election(self):
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

    def test_wrong_suspicion_does_not_unseat_a_leader(self):
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
        simulation.boot(lagging)
        simulation.run(100)
        self.assertEqual(
            simulation.replicas[leader].applied,
            simulation.replicas[lagging].applied,
        )
        index = simulation.replicas[lagging].disk.snapshot.index
        self.assertGreater(index, 40)


class TestLostPipeline(testtools.TestCase):
    """What a leader sends to a follower that misses many messages."""

    ENTRIES = 200

    def count_sent(self):
        """Returns entries sent per entry after a cut of one follower."""
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
        simulation.cut |= {(leader, lagging)}
        self.propose_each(core)
        simulation.run(3)
        simulation.cut.clear()
        # These arrive, but do not fit what the follower holds.
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
        # Once into the cut, once again, and half of them a third time.
        self.assertLessEqual(self.count_sent(), 4.0)

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

        def note(peer, message):
            if peer == lagging and isinstance(message, wire.Append):
                sent.extend(message.entries)
            send(peer, message)

        core._send = note
        for _ in range(20):
            simulation.propose()
            simulation.run(1)
        self.assertEqual([], sent)
