import asyncio
from unittest import mock

import testtools

from galenashed.node import _versions
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed.protocol import streams as wire
from galenashed import telemetry

KEY = "key"


class Replica:
    """A replica that knows versions, or one of the last landing."""

    def __init__(self, *, knows_methods=True, complete=True):
        self.versions = set()
        self.complete = complete
        self.knows_methods = knows_methods
        self.server = None

    async def start(self):
        handlers = [
            (methods.RECORD_VERSIONS, self.record),
            (methods.FIND_VERSIONS, self.find),
        ]
        self.server = rpc.Server(
            address="127.0.0.1:0",
            keys={"peer": rpc.hash_key(KEY)},
            handlers=handlers if self.knows_methods else [],
        )
        await self.server.start()

    async def record(self, items, context):
        self.versions.update(item.version for item in items)
        return True

    async def find(self, query, context):
        return wire.VersionReply(
            versions=sorted(self.versions), complete=self.complete
        )


class TestVersionRecorder(testtools.TestCase):
    """A stream begins only at a version that most replicas have recorded."""

    def check(self, replicas, current, scenario):
        async def run():
            for replica in replicas:
                await replica.start()
            recorder = _versions.VersionRecorder(
                key=KEY,
                voters=lambda: [
                    f"127.0.0.1:{replica.server.port}" for replica in replicas
                ],
                current=lambda: current,
                log=telemetry.NullDecisionLog(),
            )
            await recorder.start()
            try:
                await scenario(recorder)
            finally:
                await recorder.close()
                for replica in replicas:
                    await replica.server.close()

        asyncio.run(run())

    async def wait_until_recorded(self, recorder, version):
        async with asyncio.timeout(10.0):
            while not recorder.is_recorded("s", version):
                await asyncio.sleep(0.01)

    def test_version_is_found_while_one_replica_of_three_is_down(self):
        replicas = [Replica() for _ in range(3)]
        current = {("s", "v1")}

        async def scenario(recorder):
            await self.wait_until_recorded(recorder, "v1")
            current.add(("s", "v2"))
            self.assertFalse(recorder.is_recorded("s", "v2"))
            recorder.notify()
            await self.wait_until_recorded(recorder, "v2")
            for down in replicas:
                await down.server.close()
                found = await recorder.find("s", 60.0)
                self.assertIn(found, ({"v1", "v2"}, None))
                if down is replicas[0]:
                    self.assertIsNotNone(found)

        self.check(replicas, current, scenario)

    def test_nothing_is_recorded_without_most_replicas(self):
        replicas = [Replica() for _ in range(3)]

        async def scenario(recorder):
            await asyncio.sleep(3 * _versions.CHECK_SECONDS)
            self.assertFalse(recorder.is_recorded("s", "v1"))
            self.assertIsNone(await recorder.find("s", 60.0))

        async def close_two(recorder):
            for replica in replicas[:2]:
                await replica.server.close()
            current.add(("s", "v1"))
            await scenario(recorder)

        current = set()
        self.check(replicas, current, close_two)

    def test_replicas_with_new_disks_do_not_count(self):
        replicas = [Replica(complete=number > 1) for number in range(3)]

        async def scenario(recorder):
            await self.wait_until_recorded(recorder, "v1")
            self.assertIsNone(await recorder.find("s", 60.0))
            replicas[1].complete = True
            self.assertEqual({"v1"}, await recorder.find("s", 60.0))

        self.check(replicas, {("s", "v1")}, scenario)

    def test_replicas_of_the_last_landing_hold_nobody_up(self):
        replicas = [Replica(knows_methods=number > 1) for number in range(3)]

        async def scenario(recorder):
            await self.wait_until_recorded(recorder, "v1")
            self.assertLessEqual(await recorder.find("s", 60.0), {"v1"})

        self.check(replicas, {("s", "v1")}, scenario)

    def test_channels_that_are_idle_are_closed(self):
        replicas = [Replica() for _ in range(3)]

        async def scenario(recorder):
            await self.wait_until_recorded(recorder, "v1")
            async with asyncio.timeout(10.0):
                while len(recorder._channels):
                    await asyncio.sleep(0.1)

        with mock.patch.object(rpc, "IDLE_CHANNEL_SECONDS", 0.5):
            self.check(replicas, {("s", "v1")}, scenario)
