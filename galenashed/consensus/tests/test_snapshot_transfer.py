"""Sending a snapshot to a follower that answers slowly."""

import random

import testtools

from galenashed import consensus
from galenashed.protocol import consensus as wire

STEP_SECONDS = 0.01
ELECTION_TIMEOUT = 0.8
SNAPSHOT = b"s" * 2**20
# A chunk that is not answered is repeated at most this often.
MAX_CHUNK_BYTES = 256 * 1024
# One way, between leader and slow follower; each commit takes far less.
DELAY_SECONDS = 0.2
MEMBERS = tuple(wire.Member(name) for name in ("r0", "r1", "r2"))


class Cluster:
    """A leader, a follower that commits with it and one that lags behind.

    Messages to and from the lagging follower, ``r2``, take DELAY_SECONDS; it
    loses those that ``is_lost`` returns True for.  With ``bytes_per_second``,
    chunks wait for the ones before them.
    """

    def __init__(
        self, *, is_lost=lambda message: False, bytes_per_second=None
    ):
        self.bytes_per_second = bytes_per_second
        self.link_free_at = 0.0
        self.now = 0.0
        self.is_lost = is_lost
        self.messages = []
        self.sent_bytes = 0
        self.in_flight = 0
        self.most_in_flight = 0
        self.acked = 0
        self.cores = {name: self.make_core(name) for name in ("r0", "r1")}
        while self.leader is None:
            self.step()
        for _ in range(10):
            self.propose()
        core = self.leader
        meta = wire.SnapshotMeta(
            index=core.applied,
            term=core.log.term_at(core.applied),
            members=MEMBERS,
        )
        core.compact(meta, SNAPSHOT, 0)
        self.messages = [m for m in self.messages if m[1] != "r2"]
        self.cores["r2"] = self.make_core("r2")

    def make_core(self, name):
        return consensus.Core(
            name=name,
            election_timeout=ELECTION_TIMEOUT,
            heartbeat=0.2,
            rng=random.Random(name),
            restored=consensus.Restored(
                hard_state=wire.HardState(),
                snapshot=wire.SnapshotMeta(members=MEMBERS),
                snapshot_data=b"",
                entries=[],
            ),
            now=self.now,
        )

    @property
    def leader(self):
        for core in self.cores.values():
            if core.role.value == "leader" and core.commit:
                return core
        return None

    def propose(self):
        if self.leader is not None:
            self.leader.propose(b"command")
            self.leader.replicate()
        self.step()

    def step(self):
        self.now += STEP_SECONDS
        due = [m for m in self.messages if m[0] <= self.now]
        self.messages = [m for m in self.messages if m[0] > self.now]
        for _, target, message in due:
            is_chunk = isinstance(message, wire.SnapshotChunk)
            self.in_flight -= is_chunk
            if target in self.cores and not self.is_lost(message):
                self.cores[target].step(self.now, message)
                self.flush(self.cores[target])
        for core in self.cores.values():
            core.tick(self.now)
            self.flush(core)

    def flush(self, core):
        while core.has_ready():
            ready = core.take_ready()
            core.on_persisted(ready, self.now)
            for target, message in ready.messages:
                self.send(core.name, target, message)

    def send(self, source, target, message):
        slow = "r2" in (source, target)
        delay = DELAY_SECONDS if slow else STEP_SECONDS / 2
        start = self.now
        if slow and target == "r2" and self.bytes_per_second is not None:
            size = len(getattr(message, "data", b""))
            start = max(self.now, self.link_free_at)
            start += size / self.bytes_per_second
            self.link_free_at = start
        self.messages.append((start + delay, target, message))
        if isinstance(message, wire.SnapshotChunk):
            self.sent_bytes += len(message.data)
            self.in_flight += 1
            self.most_in_flight = max(self.most_in_flight, self.in_flight)

    def is_installed(self):
        return self.cores["r2"].commit >= self.leader.snapshot.index

    def run_until_installed(self, seconds):
        deadline = self.now + seconds
        while not self.is_installed() and self.now < deadline:
            self.propose()


class TestSnapshotTransfer(testtools.TestCase):
    """The bytes of a transfer don't grow with the commits during it."""

    def test_chunks_in_flight_are_bounded_while_commands_commit(self):
        cluster = Cluster()
        cluster.run_until_installed(seconds=10.0)
        self.assertTrue(cluster.is_installed())
        self.assertEqual(1, cluster.most_in_flight)
        self.assertEqual(len(SNAPSHOT), cluster.sent_bytes)

    def test_chunks_are_not_repeated_behind_each_other_on_a_slow_link(self):
        cluster = Cluster(bytes_per_second=125_000)
        cluster.run_until_installed(seconds=30.0)
        self.assertTrue(cluster.is_installed())
        self.assertLessEqual(cluster.sent_bytes, 2 * len(SNAPSHOT))

    def test_unanswered_chunks_are_few_while_a_follower_is_frozen(self):
        cluster = Cluster(is_lost=lambda m: m.sender == "r2")
        cluster.run_until_installed(seconds=8.0)
        # At most one in each election timeout.
        self.assertLessEqual(
            cluster.sent_bytes, MAX_CHUNK_BYTES * (8.0 / ELECTION_TIMEOUT + 1)
        )

    def test_lost_chunks_and_replies_are_repeated(self):
        rng = random.Random(1)
        cluster = Cluster(
            is_lost=lambda m: (
                isinstance(m, wire.SnapshotChunk | wire.SnapshotReply)
                and rng.random() < 0.4
            )
        )
        cluster.run_until_installed(seconds=60.0)
        self.assertTrue(cluster.is_installed())

    def test_transfer_to_a_restarted_follower_begins_again(self):
        cluster = Cluster()
        while cluster.sent_bytes < 0.7 * len(SNAPSHOT):
            cluster.propose()
        cluster.cores["r2"] = cluster.make_core("r2")
        cluster.run_until_installed(seconds=20.0)
        self.assertTrue(cluster.is_installed())

    def test_follower_hears_from_the_leader_during_a_transfer(self):
        cluster = Cluster(is_lost=lambda m: isinstance(m, wire.SnapshotChunk))
        cluster.run_until_installed(seconds=8.0)
        self.assertEqual(cluster.leader.name, cluster.cores["r2"].leader)
