"""Tests a node that runs in the test process."""

import asyncio
import contextlib
import pathlib
import random
import shutil
import tempfile
import time

import testtools

from galenashed import consensus
from galenashed import control
from galenashed import node
from galenashed.platform import _targets
from galenashed.protocol import control as wire
from galenashed.protocol import gossip
from galenashed.protocol import routes
from galenashed import telemetry
from galenashed.tests import _fleet


def make_node(directory):
    """Returns a node that bootstraps a cluster of one replica."""
    replicas = f"127.0.0.1:{_fleet.free_port()}"
    peers = f"127.0.0.1:{_fleet.free_port()}"
    return node.Node(
        cfg=node.NodeSettings(
            name="node-1",
            failure_domain="east",
            region="north",
            cores=1.0,
            callers_address=f"127.0.0.1:{_fleet.free_port()}",
            peers_address=peers,
            control_address=replicas,
            relay_address="127.0.0.1:1",
            seeds=[peers],
            replicas=[replicas],
            data_directory=directory,
            bootstrap=True,
            desired_voters=3,
            peer_key="key",
            target_lease=1.0,
            discovery_max_age=1.0,
            shutdown_timeout=5.0,
            retry_share=0.1,
            retry_burst=10.0,
        ),
        codec=_targets.PlatformTargetCodec(peer_key="key"),
        log=telemetry.NullDecisionLog(),
        metrics=telemetry.NullMetrics(),
        rng=random.Random(1),
    )


def make_instance(name):
    return gossip.Instance(
        name=name,
        incarnation="1",
        started=0.0,
        sequence=1,
        address=f"{name}:1",
        peer_address=f"{name}:2",
        failure_domain="east",
        region="north",
        replica=name,
    )


async def wait_until(condition, seconds=20.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


class TestFailingDisk(testtools.TestCase):
    """The disk is full for a while, so that the replica's writes fail."""

    def setUp(self):
        super().setUp()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="node-"))
        self.addCleanup(shutil.rmtree, self.directory, ignore_errors=True)

    def test_acknowledged_write_survives_the_restart_of_the_replica(self):
        async def run():
            served = make_node(self.directory / "data")
            await served.start()
            try:
                return await self.read_after_disk_failure(served)
            finally:
                await served.close()

        found = asyncio.run(run())
        self.assertEqual(
            (7, b"first"), (found.routes_version, found.routes_source)
        )

    async def read_after_disk_failure(self, served):
        """Returns the routes that are read after the disk has failed once."""
        await wait_until(lambda: served.replica.node.is_leader)
        table = routes.RoutingTable(version=7)
        reply = await served.replace_routes(table, b"first")
        self.assertIsInstance(reply, wire.Done)
        failing = served.replica
        counts = self.fill_disk(failing.storage)
        # A read commits a barrier entry, which has to be written to disk.
        with contextlib.suppress(control.ControlUnavailableError):
            await served.read_routes()
        await wait_until(failing.failed.done)
        self.assertTrue(counts["refused"])
        await wait_until(
            lambda: (
                served.replica is not failing and served.replica.node.is_leader
            )
        )
        return await served.read_routes()

    def fill_disk(self, storage):
        """Makes every further write of a storage fail; counts the writes."""
        counts = {"refused": 0}

        class FullStorage(consensus.Storage):
            __slots__ = ()

            def save(self, ready):
                counts["refused"] += 1
                raise consensus.StorageError("no space left on device")

        storage.__class__ = FullStorage
        return counts


class TestEntriesForCallers(testtools.TestCase):
    """What a node stores about its discovery responses."""

    def setUp(self):
        super().setUp()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="node-"))
        self.addCleanup(shutil.rmtree, self.directory, ignore_errors=True)

    def test_stored_selections_are_bounded_for_any_number_of_domains(self):
        async def run():
            served = make_node(self.directory / "data")
            await served.start()
            try:
                for number in range(10_000):
                    served.select_entries(f"domain-{number}", "")
                return len(served._logged_selections)
            finally:
                await served.close()

        self.assertLessEqual(asyncio.run(run()), 64)

    def select_while_cut_off(self, heard, *, cut_off_for):
        """Returns the entries that a node without a replica names.

        ``heard`` has the seconds since each entry with a replica was heard.
        """

        async def run():
            served = make_node(None)
            served.started -= 100.0
            now = time.monotonic()
            served._control_contact_at = now - cut_off_for
            for name, seconds in heard.items():
                served.instance_directory.merge(
                    make_instance(name),
                    now=now - seconds,
                    from_announcer=False,
                )
            own = served.cfg.callers_address
            return set(served.select_entries("east", "north")) - {own}

        return asyncio.run(run())

    def test_entry_that_was_lost_before_the_cut_is_not_named(self):
        found = self.select_while_cut_off(
            {"gone": 30.0, "serving": 5.0}, cut_off_for=4.5
        )
        self.assertEqual({"serving:1"}, found)

    def test_entries_are_not_named_in_a_cut_that_lasts(self):
        found = self.select_while_cut_off(
            {"a": 40.0, "b": 40.5}, cut_off_for=40.0
        )
        self.assertEqual(set(), found)


class TestResources(testtools.TestCase):
    """What a node reports of the memory that it uses."""

    def setUp(self):
        super().setUp()
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="node-"))
        self.addCleanup(shutil.rmtree, self.directory, ignore_errors=True)

    def test_log_in_memory_grows_with_a_routing_table(self):
        async def run():
            served = make_node(self.directory / "data")
            await served.start()
            try:
                await wait_until(lambda: served.replica.node.is_leader)
                before = served.resources()
                table = routes.RoutingTable(version=7)
                await served.replace_routes(table, b"x" * 10_000)
                return before, served.resources()
            finally:
                await served.close()

        before, after = asyncio.run(run())
        self.assertGreater(after["log_entries"], before["log_entries"])
        self.assertGreaterEqual(
            after["log_bytes"], before["log_bytes"] + 10_000
        )

    def test_resident_memory_is_that_of_the_process(self):
        before = telemetry.resident_bytes()
        block = bytearray(64 * 2**20)
        block[:: 2**12] = b"x" * len(block[:: 2**12])
        self.assertGreater(telemetry.resident_bytes(), before + 32 * 2**20)
