"""Tests of the quarantine of requests under which targets crashed."""

import asyncio
import typing

import testtools

from galenashed import control
from galenashed.entry import _configuration
from galenashed.entry import _runs
from galenashed.entry import _suspects
from galenashed.protocol import control as wire
from galenashed.protocol import gossip as gossip_wire
from galenashed.quarantine.tests import _fixture
from galenashed import web

CRASH_INDEX = 7


class FakeControlClient:
    """Control with one recorded crash; entries have the given indexes.

    ``followers`` maps each replica to the index of suspects of each entry
    that follows it, or to None if the replica does not answer.  Answers
    take ``delay`` seconds.
    """

    def __init__(
        self,
        *,
        followers: dict[str, dict[str, int] | None],
        delay: float = 0.0,
    ):
        self.followers = followers
        self.delay = delay
        self.available = True
        self.crashed: set[str] = set()
        self.trials = 0

    async def propose(self, command: wire.Command, *, timeout: float):
        if not self.available:
            raise control.ControlUnavailableError("no answer")
        if isinstance(command, wire.ReportCrash):
            self.crashed.add(command.target)
            return wire.Crashes(count=len(self.crashed), index=CRASH_INDEX)
        assert isinstance(command, wire.BeginTrial)
        self.trials += 1
        return wire.Trial(allowed=True, count=1)

    async def statuses(self, *, timeout: float):
        return {
            name: None
            if indexes is None or self.delay > timeout
            else self._make_status(indexes)
            for name, indexes in self.followers.items()
        }

    def _make_status(self, indexes: dict[str, int]):
        return wire.ReplicaStatus(
            name="",
            role="follower",
            leader="",
            term=1,
            commit=CRASH_INDEX,
            applied=CRASH_INDEX,
            note=1,
            contact_age=0.0,
            disk_bytes=0,
            members=[],
            followers=[
                wire.FollowerStatus(
                    name=name,
                    incarnation="1",
                    note=1,
                    suspects=index,
                    seen_ago=0.0,
                    connected=True,
                )
                for name, index in indexes.items()
            ],
        )


class FakeRequest:
    """The part of a request that the quarantine reads."""

    id = "request"
    digest = "digest"
    attempt = "attempt"
    part_ids = ("message",)


class FakeTarget:
    """A target that crashed."""

    name = "engine-1"
    incarnation = "1"


class FakeRequirements:
    """Requirements on a target."""

    exclusive = False


class FakeSlotRequest:
    """The part of a slot request that the quarantine changes."""

    def __init__(self):
        self.requirements = FakeRequirements()


def make_instance(name: str) -> gossip_wire.Instance:
    return gossip_wire.Instance(
        name=name,
        incarnation="1",
        started=0.0,
        sequence=1,
        address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        failure_domain="keflavik",
        state="serving",
        in_flight=0,
    )


class TestTrials(testtools.TestCase):
    """A suspected request runs only once every entry knows of the crash."""

    def setUp(self):
        super().setUp()
        self.patch(_suspects, "PROPAGATION_TIMEOUT_SECONDS", 0.1)

    def make_quarantine(self, client: FakeControlClient, alive=()):
        return _suspects.CrashQuarantine(
            control_client=typing.cast(typing.Any, client),
            configuration=_configuration.Configuration(
                max_stale=10.0, serve_when_stale=False
            ),
            alive_entries=lambda: [make_instance(name) for name in alive],
            parts=_fixture.make_quarantine(_fixture.Control()),
            on_acknowledged=lambda: None,
        )

    def make_run(self) -> _runs.ModelRun:
        run = _runs.ModelRun(
            request=FakeRequest(),
            team=None,
            service=None,
            reservation=None,
            slot_request=typing.cast(typing.Any, FakeSlotRequest()),
        )
        run.sent = True
        return run

    def crash_and_retry(self, client: FakeControlClient, alive=()):
        async def report_and_begin():
            quarantine = self.make_quarantine(client, alive)
            run = self.make_run()
            await quarantine.report_crash(run, FakeTarget())
            await quarantine.begin_trial(run)

        asyncio.run(report_and_begin())

    def test_request_is_not_rerun_while_an_entry_has_not_learned(self):
        client = FakeControlClient(
            followers={"c1": {"e1": CRASH_INDEX, "e2": CRASH_INDEX - 1}}
        )
        exc = self.assertRaises(web.ApiError, self.crash_and_retry, client)
        self.assertEqual(503, exc.status)
        self.assertEqual(web.ExecutionStatus.UNKNOWN, exc.execution_status)
        self.assertEqual(0, client.trials)

    def test_request_of_another_attempt_is_not_run_either(self):
        client = FakeControlClient(
            followers={"c1": {"e1": CRASH_INDEX, "e2": CRASH_INDEX - 1}}
        )

        async def begin():
            quarantine = self.make_quarantine(client)
            await quarantine.report_crash(self.make_run(), FakeTarget())
            await quarantine.begin_trial(self.make_run())

        self.assertRaises(web.ApiError, asyncio.run, begin())
        self.assertEqual(0, client.trials)

    def test_silent_replica_may_have_followers_that_have_not_learned(self):
        client = FakeControlClient(
            followers={"c1": {"e1": CRASH_INDEX}, "c2": None}
        )
        exc = self.assertRaises(
            web.ApiError, self.crash_and_retry, client, alive=["e2"]
        )
        self.assertEqual(503, exc.status)
        self.assertEqual(0, client.trials)

    def test_silent_replica_without_followers_is_not_waited_for(self):
        client = FakeControlClient(
            followers={
                "c1": {"e1": CRASH_INDEX, "e2": CRASH_INDEX},
                "c2": None,
            }
        )
        self.crash_and_retry(client, alive=["e2"])
        self.assertEqual(1, client.trials)

    def test_request_is_rerun_although_control_answers_slowly(self):
        client = FakeControlClient(
            followers={"c1": {"e1": CRASH_INDEX, "e2": CRASH_INDEX}},
            delay=0.6,
        )
        self.crash_and_retry(client)
        self.assertEqual(1, client.trials)

    def test_quarantine_that_became_known_is_reported_without_a_wait(self):
        client = FakeControlClient(followers={"c1": {"e2": 0}})
        quarantine = self.make_quarantine(client)
        self.assertFalse(quarantine.check_suspected(FakeRequest.digest))
        quarantine.configuration.record_crash(
            FakeRequest.digest, wire.Crashes(count=2, index=CRASH_INDEX)
        )
        exc = self.assertRaises(
            web.ApiError, asyncio.run, quarantine.begin_trial(self.make_run())
        )
        self.assertEqual(422, exc.status)

    def test_crash_that_control_did_not_acknowledge_is_not_forgotten(self):
        client = FakeControlClient(followers={"c1": {"e1": CRASH_INDEX}})
        quarantine = self.make_quarantine(client)

        async def report():
            await quarantine.report_crash(self.make_run(), FakeTarget())

        client.available = False
        self.assertRaises(web.ApiError, asyncio.run, report())
        self.assertTrue(quarantine.check_suspected(FakeRequest.digest))
        run = self.make_run()
        self.assertRaises(
            web.ApiError, asyncio.run, quarantine.begin_trial(run)
        )
        client.available = True
        asyncio.run(quarantine.begin_trial(run))
        self.assertEqual({"engine-1/1"}, client.crashed)
        self.assertEqual(1, client.trials)

    def test_entry_with_an_unrecorded_crash_does_not_count_as_informed(self):
        client = FakeControlClient(followers={"c1": {"e1": CRASH_INDEX}})
        quarantine = self.make_quarantine(client)
        quarantine.configuration.suspects = wire.Suspects(
            index=CRASH_INDEX, crashes={}
        )
        client.available = False

        async def report_and_wait():
            try:
                await quarantine.report_crash(self.make_run(), FakeTarget())
            except web.ApiError:
                self.assertEqual(0, quarantine.informed_index)
            client.available = True
            async with asyncio.timeout(10.0):
                while quarantine.informed_index != CRASH_INDEX:
                    await asyncio.sleep(0.02)

        asyncio.run(report_and_wait())
        self.assertEqual({"engine-1/1"}, client.crashed)

    def test_request_is_rerun_once_every_entry_has_learned(self):
        client = FakeControlClient(
            followers={"c1": {"e1": CRASH_INDEX, "e2": CRASH_INDEX}}
        )
        self.crash_and_retry(client)
        self.assertEqual(1, client.trials)
