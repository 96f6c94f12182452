"""Tests what a replica sends to the entries that follow it."""

import asyncio
import pathlib
import random
import tempfile

import msgspec
import testtools

from galenashed import consensus
from galenashed import control
from galenashed.control import _state_machine
from galenashed.protocol import consensus as consensus_wire
from galenashed.protocol import control as wire
from galenashed.protocol import methods
from galenashed.protocol import routes as routes_wire
from galenashed.protocol import rpc
from galenashed.tests import _fleet

KEY = "key-of-the-replicas"
# Entries take a replica that was up to date this long ago for current.
CURRENT_SECONDS = 1.0
REPORT = wire.FollowReport(
    name="entry", incarnation="1", number=0, index=0, suspects=0
)


def make_snapshot(version):
    """Returns the state with a routing table of the given version."""
    state_machine = _state_machine.ControlStateMachine()
    table = routes_wire.RoutingTable(version=version)
    command = wire.ReplaceRoutes(table=table, source=b"{}")
    state_machine.apply(
        1, msgspec.msgpack.encode(wire.TimestampedCommand(0.0, command))
    )
    return state_machine.snapshot()


class TestRestartedReplica(testtools.TestCase):
    """A replica that has stored a snapshot and starts again."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.storage = consensus.Storage(
            directory=pathlib.Path(folder.name) / "data",
            cluster="test",
            name="a",
        )

    def store(self, members):
        self.storage.create(members)
        self.storage.open()
        self.storage.save_snapshot(
            consensus_wire.SnapshotMeta(index=1, term=1, members=members),
            make_snapshot(version=7),
            consensus_wire.HardState(term=1),
            [],
        )
        self.storage.close()

    async def follow(self, *, until):
        """Starts the replica; returns its first event with ``until``."""
        address = f"127.0.0.1:{_fleet.free_port()}"
        server = control.ControlServer(
            name="a",
            address=address,
            replicas={"a": address},
            storage=self.storage,
            peer_key=KEY,
            key_hashes={"peer": rpc.hash_key(KEY)},
            rng=random.Random(1),
        )
        channel = rpc.Channel(address=address, key=KEY)
        await server.start()
        try:
            call = channel.open(methods.FOLLOW)
            await call.write(REPORT)
            async with asyncio.timeout(10.0):
                while True:
                    event = await call.read()
                    if until(event):
                        return event
        finally:
            await channel.close()
            await server.close()

    def test_state_of_snapshot_is_not_sent_without_a_leader(self):
        others = [consensus.Member(n, "127.0.0.1:1") for n in "bc"]
        self.store((consensus.Member("a", "127.0.0.1:1"), *others))
        event = asyncio.run(self.follow(until=lambda event: True))
        self.assertIsNone(event.routes)
        self.assertGreater(event.age, CURRENT_SECONDS)

    def test_state_is_sent_once_the_log_is_committed(self):
        self.store((consensus.Member("a", "127.0.0.1:1"),))
        event = asyncio.run(self.follow(until=lambda event: event.routes))
        self.assertEqual(7, event.routes.version)
        self.assertLess(event.age, CURRENT_SECONDS)
