"""Requests that a second target gets while the first is slow."""

import asyncio
import time

import msgspec
import testtools

from galenashed.gateway.tests import _fixture
from galenashed.protocol import routes
from galenashed import routing
from galenashed import telemetry
from galenashed import web

IDEMPOTENT = routes.RouteKind.IDEMPOTENT
STREAM = routes.RouteKind.STREAM
DELAY_SECONDS = 0.05
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"


def body(text, status=b"200 OK"):
    return b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n%s" % (
        status,
        len(text),
        text,
    )


def events(*texts, end=True):
    """Returns the chunks of a stream with an event for each text."""
    data = b"".join(b"id: 1\ndata: %s\n\n" % text for text in texts)
    return b"%x\r\n%s\r\n%s" % (len(data), data, b"0\r\n\r\n" * end)


class Target(_fixture.Target):
    """Sends ``before``, and ``after`` once it may answer.

    Notes when its connection is closed.  If it ``breaks``, it closes the
    connection, and its server if it ``crashes``, instead.
    """

    def __init__(self, after, before=b"", *, breaks=False, crashes=False):
        super().__init__(after)
        self.before = before
        self.breaks = breaks or crashes
        self.crashes = crashes
        self.writer = None

    async def serve(self, reader, writer):
        self.writer = writer
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                writer.write(self.before)
                allowed = asyncio.ensure_future(self.may_answer.wait())
                closed = asyncio.ensure_future(reader.read(1))
                await asyncio.wait(
                    {allowed, closed}, return_when=asyncio.FIRST_COMPLETED
                )
                allowed.cancel()
                if closed.done():
                    closed.exception()
                    return
                closed.cancel()
                await asyncio.gather(closed, return_exceptions=True)
                if self.crashes:
                    self.server.close()
                if self.breaks:
                    return
                writer.write(self.first)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.closed_at = time.monotonic()
            writer.close()


class Reservation(_fixture.PrepaidReservation):
    """Keeps what is billed."""

    def __init__(self):
        self.bills = []

    def close(self, request, tokens_per_event):
        self.bills.append((self.may_have_run, self.event_count))


class Reserver:
    """Keeps the reservations that were opened."""

    def __init__(self):
        self.reservations = []

    async def open(self, request, team, objective):
        self.reservations.append(Reservation())
        return self.reservations[-1]


class HedgeFixture(_fixture.Fixture):
    """A gateway that hedges requests after ``DELAY_SECONDS``.

    ``first`` gets the requests first, and ``second`` is the only other target.
    """

    def __init__(self, first, second, *, kind=IDEMPOTENT, share=1.0):
        super().__init__(
            kind=kind,
            resumable=kind is STREAM,
            time_limit=_fixture.TIME_LIMIT_SECONDS,
        )
        self.first = first
        self.second = second
        self.writer = _fixture.ResponseWriter()
        self.metrics = self.gateway.metrics = telemetry.InMemoryMetrics()
        self.gateway.prepaid = self.prepaid = Reserver()
        policy = self.gateway.hedges.policy
        policy.max_share = share
        now = time.monotonic()
        for _ in range(100):
            key = routing.HedgeKey("s", kind.value)
            policy.on_first_answer(key, DELAY_SECONDS, now, overdue=False)

    async def start(self, route=None):
        """Returns the task of a request that the first target has."""
        await self.add(self.first)
        await self.add(self.second)
        choose = self.gateway.choose_target
        self.gateway.choose_target = lambda context: (
            choose(context)
            if context.attempted_targets
            else self.targets.get("t1")
        )
        task = asyncio.create_task(self.handle(self.writer, route))
        await _fixture.wait_until(lambda: self.first.requests)
        return task

    def count(self, name):
        """Returns the value of a counter of the gateway."""
        for line in self.metrics.render().decode().splitlines():
            counter, _, value = line.partition(" ")
            if counter == f"galenashed_gateway_{name}_total":
                return int(value)
        return 0


class HedgeTestCase(testtools.TestCase):
    """Runs a test with a fixture, and closes that."""

    def run_with(self, first, second, steps, **options):
        async def run():
            fixture = HedgeFixture(first, second, **options)
            try:
                async with asyncio.timeout(_fixture.TIME_LIMIT_SECONDS):
                    await steps(fixture)
            finally:
                await fixture.close()

        asyncio.run(run())

    async def answer_hedged(self, fixture, answers):
        """Has one target answer a request that both have."""
        task = await fixture.start()
        await _fixture.wait_until(lambda: fixture.second.requests)
        answers.may_answer.set()
        await task
        return task

    def assert_billed_once(self, fixture, *, event_count=0):
        (reservation,) = fixture.prepaid.reservations
        self.assertEqual([(True, event_count)], reservation.bills)


class TestFirstAnswer(HedgeTestCase):
    """Guards against two answers, two bills, and work that goes on."""

    def test_second_target_wins(self):
        async def steps(fixture):
            await self.answer_hedged(fixture, fixture.second)
            self.assertEqual(b"second", fixture.writer.body)
            self.assertTrue(fixture.writer.finished)
            await _fixture.wait_until(lambda: fixture.first.closed_at)
            self.assert_billed_once(fixture)
            self.assertEqual(1, fixture.count("hedged"))
            self.assertEqual(1, fixture.count("hedge_won"))
            for name in ("t1", "t2"):
                self.assertEqual(0, fixture.targets.get(name).in_flight)

        self.run_with(Target(body(b"first")), Target(body(b"second")), steps)

    def test_first_target_wins_after_all(self):
        async def steps(fixture):
            await self.answer_hedged(fixture, fixture.first)
            self.assertEqual(b"first", fixture.writer.body)
            await _fixture.wait_until(lambda: fixture.second.closed_at)
            self.assert_billed_once(fixture)
            self.assertEqual(1, fixture.count("hedge_lost"))

        self.run_with(Target(body(b"first")), Target(body(b"second")), steps)

    def test_first_event_of_a_stream_wins_over_a_head(self):
        async def steps(fixture):
            await self.answer_hedged(fixture, fixture.second)
            self.assertIn(b"second", fixture.writer.body)
            self.assertNotIn(b"first", fixture.writer.body)
            await _fixture.wait_until(lambda: fixture.first.closed_at)
            self.assert_billed_once(fixture, event_count=2)

        self.run_with(
            Target(events(b"first"), before=CHUNKED),
            Target(events(b"second", b"more"), before=CHUNKED),
            steps,
            kind=STREAM,
        )

    def test_caller_who_leaves_ends_both_runs(self):
        async def steps(fixture):
            task = await fixture.start()
            await _fixture.wait_until(lambda: fixture.second.requests)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await _fixture.wait_until(
                lambda: fixture.first.closed_at and fixture.second.closed_at
            )
            self.assert_billed_once(fixture)

        self.run_with(Target(b""), Target(b""), steps)


class TestFailures(HedgeTestCase):
    """Guards against requests that fail although one run goes on."""

    def test_other_run_answers_if_one_is_lost(self):
        for lost in (0, 1):
            for crashes in (False, True):
                targets = [Target(body(b"good")), Target(body(b"good"))]
                targets[lost].breaks = True
                targets[lost].crashes = crashes

                async def steps(fixture, targets=targets, lost=lost):
                    task = await fixture.start()
                    await _fixture.wait_until(lambda: fixture.second.requests)
                    targets[lost].may_answer.set()
                    await _fixture.wait_until(lambda: targets[lost].closed_at)
                    targets[1 - lost].may_answer.set()
                    await task
                    self.assertEqual(b"good", fixture.writer.body)
                    self.assert_billed_once(fixture)

                self.run_with(*targets, steps)

    def test_error_of_one_target_does_not_win(self):
        async def steps(fixture):
            task = await fixture.start()
            await _fixture.wait_until(lambda: fixture.second.requests)
            fixture.second.may_answer.set()
            await _fixture.wait_until(
                lambda: not fixture.targets.get("t2").in_flight
            )
            fixture.first.may_answer.set()
            await task
            self.assertEqual(b"good", fixture.writer.body)

        self.run_with(
            Target(body(b"good")),
            Target(body(b"bad", status=b"500 Error")),
            steps,
        )

    def test_both_runs_count_towards_the_targets_of_the_route(self):
        async def steps(fixture):
            task = await fixture.start(
                msgspec.structs.replace(fixture.route, max_targets=2)
            )
            await _fixture.wait_until(lambda: fixture.second.requests)
            third = await fixture.add(Target(body(b"third")))
            fixture.first.may_answer.set()
            fixture.second.may_answer.set()
            error = await task_error(task)
            self.assertEqual("target_lost", error.code)
            self.assertEqual([], third.requests)

        async def task_error(task):
            try:
                await task
            except web.ApiError as exc:
                return exc

        self.run_with(
            Target(b"", breaks=True), Target(b"", breaks=True), steps
        )

    def test_failed_run_counts_if_the_stream_of_the_winner_breaks(self):
        async def steps(fixture):
            task = await fixture.start(
                msgspec.structs.replace(fixture.route, max_targets=2)
            )
            await _fixture.wait_until(lambda: fixture.second.requests)
            fixture.first.may_answer.set()
            await _fixture.wait_until(
                lambda: not fixture.targets.get("t1").in_flight
            )
            third = await fixture.add(Target(b""))
            fixture.second.may_answer.set()
            await _fixture.wait_until(lambda: fixture.writer.body)
            fixture.second.writer.transport.abort()
            await task
            self.assertTrue(fixture.writer.aborted)
            self.assertEqual([], third.requests)

        self.run_with(
            Target(b"", breaks=True),
            Target(CHUNKED + events(b"second", end=False)),
            steps,
            kind=STREAM,
        )


class TestNotHedged(HedgeTestCase):
    """Guards against second runs of requests that must have only one."""

    def assert_not_hedged(self, fixture_change=None, first=None, **options):
        first = first or Target(body(b"first"))

        async def steps(fixture):
            if fixture_change is not None:
                fixture_change(fixture)
            task = await fixture.start()
            await asyncio.sleep(3 * DELAY_SECONDS)
            self.assertEqual([], fixture.second.requests)
            self.assertEqual(0, fixture.count("hedged"))
            fixture.first.may_answer.set()
            await task
            self.assertIn(b"first", fixture.writer.body)
            self.assert_billed_once(
                fixture, event_count=2 if options.get("kind") is STREAM else 0
            )

        self.run_with(first, Target(b""), steps, **options)

    def test_request_that_runs_at_most_once(self):
        self.assert_not_hedged(kind=routes.RouteKind.AT_MOST_ONCE)

    def test_default(self):
        self.assert_not_hedged(share=0.0)

    def test_stream_after_its_first_event(self):
        self.assert_not_hedged(
            kind=STREAM,
            first=Target(
                events(b"more"), before=CHUNKED + events(b"first", end=False)
            ),
        )

    def test_empty_retry_budget(self):
        def empty(fixture):
            fixture.gateway.retries.share = 0.0
            while fixture.gateway.retries.try_acquire():
                pass

        self.assert_not_hedged(empty)

    def test_suspected_request(self):
        def suspect(fixture):
            fixture.gateway.quarantine.is_suspected = lambda request: True

        self.assert_not_hedged(suspect)

    def test_targets_of_two_versions(self):
        def begin_rollout(fixture):
            update = fixture.targets.update
            fixture.targets.update = lambda announced: update(
                msgspec.structs.replace(
                    announced, version=f"of {announced.name}"
                )
            )

        self.assert_not_hedged(begin_rollout)

    def test_limited_target(self):
        def limit(fixture):
            fixture.targets.limits.observe(
                "t2/1", 100.0, time.monotonic() - 1.0
            )

        self.assert_not_hedged(limit)
