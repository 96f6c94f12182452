"""A node whose disk fails it, within this process."""

import asyncio
import contextlib
import pathlib
import random
import shutil
import tempfile

import testtools

from galenashed import consensus
from galenashed import control
from galenashed import node
from galenashed.platform import _targets
from galenashed.protocol import control as wire
from galenashed.protocol import routes
from galenashed import telemetry
from galenashed.tests import _fleet


def make_node(folder):
    """Returns a node that founds a cluster of its own."""
    replicas = f"127.0.0.1:{_fleet.free_port()}"
    peers = f"127.0.0.1:{_fleet.free_port()}"
    return node.Node(
        cfg=node.NodeSettings(
            name="node-1",
            domain="east",
            region="north",
            cores=1.0,
            callers_address=f"127.0.0.1:{_fleet.free_port()}",
            peers_address=peers,
            control_address=replicas,
            seeds=[peers],
            replicas=[replicas],
            data_folder=folder,
            bootstrap=True,
            voters=3,
            peer_key="key",
            target_lease=1.0,
            discovery_max_age=1.0,
            shutdown_timeout=5.0,
            retry_share=0.1,
            retry_slack=10.0,
        ),
        codec=_targets.PlatformTargetCodec(),
        log=telemetry.NullDecisionLog(),
        metrics=telemetry.NullMetrics(),
        rng=random.Random(1),
    )


async def until(condition, seconds=20.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


class TestFailingDisk(testtools.TestCase):
    """A full disk refuses writes for a while."""

    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="node-"))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)

    def test_replica_comes_back_with_what_was_acknowledged(self):
        async def run():
            served = make_node(self.folder / "data")
            await served.start()
            try:
                return await self.fail_and_come_back(served)
            finally:
                await served.close()

        found = asyncio.run(run())
        self.assertEqual(
            (7, b"first"), (found.routes_version, found.routes_source)
        )

    async def fail_and_come_back(self, served):
        """Returns what is read back after the disk has failed once."""
        await until(lambda: served.replica.node.is_leader)
        table = routes.RoutingTable(version=7)
        reply = await served.replace_routes(table, b"first")
        self.assertIsInstance(reply, wire.Done)
        first = served.replica
        seen = self.fill_disk(first.storage)
        # Reading commits a barrier, which has to be written.
        with contextlib.suppress(control.ControlUnavailableError):
            await served.read_routes()
        await until(first.failed.done)
        self.assertTrue(seen["refused"])
        await until(
            lambda: (
                served.replica is not first and served.replica.node.is_leader
            )
        )
        return await served.read_routes()

    def fill_disk(self, storage):
        """Has the next write of a storage be refused."""
        seen = {"refused": 0}

        class Full(consensus.Storage):
            __slots__ = ()

            def save(self, ready):
                seen["refused"] += 1
                raise consensus.StorageError("no space left on device")

        storage.__class__ = Full
        return seen


class TestEntriesForCallers(testtools.TestCase):
    """What is remembered of the answers to callers."""

    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="node-"))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)

    def test_any_number_of_domains_may_be_asked_for(self):
        async def run():
            served = make_node(self.folder / "data")
            await served.start()
            try:
                for number in range(10_000):
                    served.select_entries(f"domain-{number}", "")
                return len(served._named)
            finally:
                await served.close()

        self.assertLessEqual(asyncio.run(run()), 64)
