"""Targets of evacuated failure domains get no requests."""

import asyncio
import random
import time

import testtools

from galenashed import gateway
from galenashed.gateway.tests import _fixture
from galenashed.protocol import gossip
from galenashed.protocol import routes
from galenashed import routing
from galenashed import web

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
TIME_LIMIT_SECONDS = 5.0


def make_target(name, domain):
    return gossip.Target(
        name=name,
        incarnation="1",
        started=0.0,
        sequence=1,
        service="s",
        address=f"127.0.0.1:{name}",
        failure_domain=domain,
        slots=8,
    )


class TestChoice(testtools.TestCase):
    """The choice of a target, without I/O."""

    def setUp(self):
        super().setUp()
        self.targets = gateway.Targets(
            domain="east", limits=routing.TargetLimits(name="entry")
        )
        for number, domain in enumerate(["east", "east", "west", "south"]):
            self.targets.update(make_target(str(number), domain))

    def chosen_domains(self):
        rng = random.Random(1)
        chosen = [
            self.targets.choose("s", (), (), 1.0, rng) for _ in range(50)
        ]
        return {t.announced.failure_domain for t in chosen if t is not None}

    def test_evacuated_targets_are_not_chosen_until_the_end(self):
        self.assertIn("east", self.chosen_domains())
        self.targets.set_evacuated(["east"])
        self.assertEqual({"west", "south"}, self.chosen_domains())
        self.targets.set_evacuated([])
        self.assertIn("east", self.chosen_domains())

    def test_too_few_usable_targets_do_not_bring_them_back(self):
        """The fallback to all ready targets applies to the others only."""
        self.targets.set_evacuated(["east"])
        # The leases of all targets have expired.
        self.targets.set_alive([], list("0123"), 1.0)
        self.assertEqual({"west", "south"}, self.chosen_domains())
        self.targets.set_evacuated(["east", "west", "south"])
        self.assertEqual(set(), self.chosen_domains())

    def test_target_that_starts_in_an_evacuated_domain_is_not_chosen(self):
        self.targets.set_evacuated(["east", "west", "south"])
        self.targets.update(make_target("4", "east"))
        self.assertEqual(set(), self.chosen_domains())

    def test_lost_paths_are_judged_by_the_other_targets(self):
        self.targets.set_evacuated(["east"])
        self.assertEqual(
            {"s": ["127.0.0.1:2", "127.0.0.1:3"]},
            self.targets.ready_addresses(),
        )
        everything = self.targets.ready_addresses(with_evacuated=True)
        self.assertEqual(4, len(everything["s"]))


class TestRequests(testtools.TestCase):
    """Requests that are under way when an order arrives."""

    def serve(self, count, prepare):
        """Serves a request with ``count`` targets; returns what happened."""

        async def run():
            fixture = _fixture.Fixture(
                kind=routes.RouteKind.AT_MOST_ONCE,
                time_limit=TIME_LIMIT_SECONDS,
            )
            targets = [_fixture.Target(RESPONSE) for _ in range(count)]
            for target in targets:
                target.may_answer.set()
                await fixture.add(target)
            prepare(fixture)
            writer = _fixture.ResponseWriter()
            error = None
            started_at = time.monotonic()
            try:
                await fixture.handle(writer)
            except web.ApiError as exc:
                error = exc
            elapsed = time.monotonic() - started_at
            await fixture.close()
            return (
                writer,
                error,
                sum(len(t.requests) for t in targets),
                elapsed,
            )

        return asyncio.run(run())

    def evacuate_on_connect(self, fixture):
        """Has the order arrive while the connection is being opened."""
        acquire = fixture.pool.acquire

        async def acquire_late(address, **options):
            conn = await acquire(address, **options)
            fixture.targets.set_evacuated(["east"])
            return conn

        fixture.pool.acquire = acquire_late

    def test_order_while_connecting_keeps_the_request_from_the_target(self):
        """Guards against a check only when the target is selected."""
        _, error, requests, _ = self.serve(2, self.evacuate_on_connect)
        self.assertEqual(0, requests)
        self.assertEqual(503, error.status)
        self.assertIs(web.ExecutionStatus.NOT_RUN, error.execution_status)

    def test_refusal_comes_at_once_if_all_domains_are_evacuated(self):
        _, error, requests, elapsed = self.serve(
            1, lambda fixture: fixture.targets.set_evacuated(["east"])
        )
        self.assertEqual(0, requests)
        self.assertEqual(503, error.status)
        # That of a service without a target, spread at random.
        self.assertTrue(0.2 <= error.retry_after <= 0.6)
        self.assertIn("evacuated failure domains: east", error.message)
        self.assertLess(elapsed, TIME_LIMIT_SECONDS / 2)

    def test_requests_to_other_domains_are_sent(self):
        writer, error, requests, _ = self.serve(
            1, lambda fixture: fixture.targets.set_evacuated(["west"])
        )
        self.assertIsNone(error)
        self.assertEqual(1, requests)
        self.assertTrue(writer.finished)
