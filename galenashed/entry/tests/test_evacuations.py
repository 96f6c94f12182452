"""Evacuated failure domains at the product's own entries."""

import asyncio
import random
import time

import testtools

from galenashed import clients
from galenashed import engines
from galenashed.entry import _configuration
from galenashed.entry import _dispatcher
from galenashed import membership
from galenashed.protocol import control
from galenashed.protocol import gossip
from galenashed import routing
from galenashed import web

SERVICE = control.Service(name="s", kind="plain", concurrency=1)
TEAM = control.Team(name="t", key_hash="0" * 64)
MAX_WAIT_SECONDS = 10.0


def make_request():
    return _dispatcher.SlotRequest(
        requirements=routing.TargetRequirements(service=SERVICE),
        team=TEAM,
        priority=0,
    )


class TestDispatcher(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.configuration = _configuration.Configuration(
            max_stale=10.0, serve_when_stale=False
        )
        directory = membership.Directory(lease=30.0)
        self.dispatcher = _dispatcher.Dispatcher(
            router=routing.make_router("affinity", random.Random(1)),
            targets=directory,
            configuration=self.configuration,
            max_queue=10,
            max_wait=MAX_WAIT_SECONDS,
        )
        for name, domain in (("a", "east"), ("b", "west")):
            target = gossip.Target(
                name=name,
                incarnation="1",
                started=0.0,
                sequence=1,
                service="s",
                address=f"127.0.0.1:{len(name)}",
                failure_domain=domain,
            )
            directory.merge(target, now=time.monotonic(), from_announcer=True)
            self.dispatcher.on_target_update(target)

    def test_evacuated_targets_get_no_slot(self):
        async def run():
            self.dispatcher.set_evacuated(["east"])
            slot = await self.dispatcher.acquire(make_request())
            self.assertEqual("b", slot.target.name)
            self.dispatcher.set_evacuated(["east", "west"])
            self.assertRaises(engines.NotSentError, slot.check_domain)
            slot.end()
            return await self.dispatcher.acquire(make_request())

        error = self.assertRaises(web.ApiError, asyncio.run, run())
        self.assertEqual((503, "no_target"), (error.status, error.code))

    def test_queued_requests_are_refused_at_once_without_a_target(self):
        """Guards against requests that are held until the queue's limit."""

        async def run():
            slots = [
                await self.dispatcher.acquire(make_request()) for _ in "ab"
            ]
            task = asyncio.create_task(self.dispatcher.acquire(make_request()))
            await asyncio.sleep(0)
            self.dispatcher.set_evacuated(["east"])
            await asyncio.sleep(0)
            self.assertFalse(task.done())
            self.dispatcher.set_evacuated(["east", "west"])
            async with asyncio.timeout(MAX_WAIT_SECONDS / 4):
                error = (await asyncio.gather(task, return_exceptions=True))[0]
            for slot in slots:
                slot.end()
            return error

        self.assertEqual("no_target", asyncio.run(run()).code)

    def test_older_list_is_ignored(self):
        for index, domains in ((5, ["east"]), (4, [])):
            evacuated = control.EvacuatedDomains(index=index, domains=domains)
            self.configuration.on_event(
                control.FollowEvent(age=0.0, evacuations=evacuated)
            )
        self.assertEqual(["east"], self.configuration.evacuated.domains)


class TestClient(testtools.TestCase):
    def test_check_right_before_sending_keeps_the_request_back(self):
        """Guards against an order that arrives while connecting."""

        async def run():
            received = []

            async def serve(reader, writer):
                received.append(await reader.read())
                writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            client = clients.TargetClient()
            await client.start()

            def refuse():
                raise engines.NotSentError("evacuated")

            try:
                await client.send(
                    address=f"{host}:{port}",
                    method="POST",
                    path="/",
                    headers={},
                    body=b"x",
                    reuse_connection=True,
                    before_sending=refuse,
                )
            except engines.NotSentError:
                async with asyncio.timeout(MAX_WAIT_SECONDS):
                    while not received:
                        await asyncio.sleep(0.01)
                return received
            finally:
                await client.close()
                server.close()

        self.assertEqual([b""], asyncio.run(run()))
