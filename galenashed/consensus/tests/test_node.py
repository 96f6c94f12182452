"""Tests of the task that runs a replica."""

import asyncio
import pathlib
import random
import tempfile

import testtools

from galenashed import consensus
from galenashed.consensus import _node
from galenashed.protocol import consensus as wire

COMMAND_BYTES = 16 * 1024
DISK_BYTES = 1024 * 1024


class Counter:
    """A state machine whose state is the number of its commands.

    ``largest`` is the largest size of the data directory at a command.
    """

    def __init__(self, storage: consensus.Storage):
        self.storage = storage
        self.count = 0
        self.largest = 0

    def apply(self, index: int, data: bytes) -> object:
        self.largest = max(self.largest, self.storage.size())
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        return str(self.count).encode()

    def restore(self, index: int, data: bytes) -> None:
        self.count = int(data)


class NoTransport:
    """The transport of a replica without others."""

    def set_members(self, members: consensus.Members) -> None:
        pass

    def send(self, peer: str, message) -> None:
        pass


class TestSnapshots(testtools.TestCase):
    """When a replica takes a snapshot of its own."""

    def setUp(self):
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.storage = consensus.Storage(
            directory=pathlib.Path(directory.name) / "c1",
            cluster="tests",
            name="c1",
        )
        self.storage.create((consensus.Member("c1"),))

    def make_node(self, **options):
        return consensus.Node(
            name="c1",
            storage=self.storage,
            state_machine=Counter(self.storage),
            transport=NoTransport(),
            election_timeout=0.01,
            rng=random.Random(1),
            on_failure=self.fail,
            **options,
        )

    async def propose(self, node, commands):
        while not node.is_leader:
            await asyncio.sleep(0.001)
        for _ in range(commands):
            await node.propose(bytes(COMMAND_BYTES))

    def test_large_commands_do_not_fill_the_disk(self):
        async def run():
            node = self.make_node(snapshot_every_bytes=DISK_BYTES // 4)
            await node.start()
            await self.propose(node, 200)
            await node.close()
            largest = node.state_machine.largest
            node = self.make_node()
            await node.start()
            await self.propose(node, 1)
            await node.close()
            return largest, node.state_machine.count

        largest, count = asyncio.run(run())
        # A start writes the log once more before it removes the old one.
        self.assertLess(2 * largest, DISK_BYTES)
        self.assertEqual(201, count)

    def test_large_commands_do_not_stay_in_memory(self):
        """Entries for replicas that lag are bounded in bytes as well."""

        async def run():
            node = self.make_node(snapshot_every_bytes=DISK_BYTES)
            await node.start()
            await self.propose(node, 500)
            size = node.core.log.size()
            await node.close()
            return size

        size = asyncio.run(run())
        bound = _node.SNAPSHOT_KEEP_BYTES + DISK_BYTES + COMMAND_BYTES
        self.assertLessEqual(size, bound)

    def test_large_snapshot_is_replaced_by_a_smaller_one(self):
        """Guards against a state of an earlier build that stays on disk."""
        self.storage.open()
        self.storage.save_snapshot(
            wire.SnapshotMeta(
                index=7, term=1, members=(consensus.Member("c1"),)
            ),
            b"7".rjust(DISK_BYTES),
            wire.HardState(term=1, voted_for="", commit=7),
            [],
        )
        self.storage.close()

        async def run():
            node = self.make_node(snapshot_every_bytes=DISK_BYTES // 4)
            await node.start()
            await self.propose(node, 1)
            size = self.storage.size()
            await node.close()
            return size, node.state_machine.count

        size, count = asyncio.run(run())
        self.assertLess(size, DISK_BYTES // 4)
        self.assertEqual(8, count)
