"""How long requests wait for prepaid tokens."""

import asyncio
import random
import time

import testtools

from galenashed import budget
from galenashed.budget.tests import _control
from galenashed import control
from galenashed import gateway
from galenashed.gateway.tests import _fixture
from galenashed.protocol import control as wire
from galenashed.protocol import routes
from galenashed import telemetry
from galenashed import web

TEAM = "rounds"
# Latency objectives and time limits, in seconds, of the measured days.
OBJECTIVES = (0.22, 0.27)
TIME_LIMITS = (1.1, 16.0)
# What a recall and a grant take there.
GRANT_SECONDS = (0.15, 0.2)


class NoWitnesses:
    def choose(self):
        return []

    def send(self, notes):
        pass


class Log:
    """Keeps the lines that are written."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        self.lines.append({"event": event, **fields})


class SlowControl(_control.Control):
    """Control whose answers take as long as on the measured days."""

    def __init__(self, seed):
        super().__init__(team=TEAM, tokens=1_000_000)
        self.rng = random.Random(seed)

    @property
    def delay(self):
        return self.rng.uniform(*GRANT_SECONDS)


class FrozenControl(_control.Control):
    """Control that answers nothing for a minute."""

    delay = 60.0


class TestTokenWait(testtools.TestCase):
    """First requests of a team at an entry that holds none of its tokens."""

    def setUp(self):
        super().setUp()
        self.log = Log()

    async def run_request(self, fleet, *, seed=1, objective, time_limit):
        """Returns the error, or None if tokens came, and the seconds."""
        manager = budget.BudgetManager(
            escrow=budget.Escrow(
                holder="node-1/a", policy=budget.POLICIES["cut-tolerant"]
            ),
            control=fleet,
            witnesses=NoWitnesses(),
            unavailable=control.ControlUnavailableError,
        )
        fixture = _fixture.Fixture(
            kind=routes.RouteKind.IDEMPOTENT, time_limit=time_limit
        )
        reserver = gateway.PrepaidReserver(
            budget_manager=manager,
            rng=random.Random(seed),
            log=self.log,
            metrics=telemetry.NullMetrics(),
        )
        fixture.gateway.prepaid = reserver
        request = gateway.Request(
            id="r",
            method="GET",
            host="h",
            path="/",
            request_target="/",
            headers=[],
            body=b"",
            arrived_at=time.monotonic(),
            usage=gateway.TokenUsage(prompt=400, max_output=100),
        )
        route = routes.Route(
            name="r",
            host="h",
            prefix="/",
            kind=routes.RouteKind.IDEMPOTENT,
            shares=fixture.route.shares,
            time_limit=time_limit,
            objective=objective,
        )
        team = routes.RoutedTeam(name=TEAM, key_hashes=[], prepaid=1_000_000)
        started = time.monotonic()
        try:
            await fixture.gateway.handle(
                request, route, team, _fixture.ResponseWriter()
            )
        except web.ApiError as exc:
            error = exc
        finally:
            await manager.abort()
            await fixture.close()
        return error, time.monotonic() - started

    def test_requests_wait_for_an_ordinary_grant(self):
        """Guards against waits that end just before tokens come."""

        async def run():
            rng = random.Random(7)
            return await asyncio.gather(
                *[
                    self.run_request(
                        SlowControl(seed),
                        objective=rng.uniform(*OBJECTIVES),
                        time_limit=rng.uniform(*TIME_LIMITS),
                    )
                    for seed in range(40)
                ]
            )

        # The fixture has no target, so nobody is served in the end.
        codes = [error.code for error, _ in asyncio.run(run())]
        self.assertEqual(["targets_unavailable"] * 40, codes)

    def test_request_is_not_held_until_its_time_limit(self):
        """Guards against callers who can't go elsewhere after a wait."""
        error, seconds = asyncio.run(
            self.run_request(
                FrozenControl(team=TEAM, tokens=1_000_000),
                objective=0.25,
                time_limit=0.6,
            )
        )
        self.assertEqual("tokens_unavailable", error.code)
        self.assertLess(seconds, 0.5)

    def test_refused_requests_come_back_at_different_times(self):
        """Guards against callers who return at once and before the tokens."""

        async def run():
            fleet = FrozenControl(team=TEAM, tokens=1_000_000)
            return await asyncio.gather(
                *[
                    self.run_request(
                        fleet, seed=seed, objective=0.25, time_limit=1.1
                    )
                    for seed in range(40)
                ]
            )

        results = asyncio.run(run())
        times = sorted(error.retry_after for error, _ in results)
        # The grant has not come for about half a second.
        self.assertGreater(times[0], 0.4)
        self.assertGreater(times[-1] - times[0], 0.3)
        self.assertGreater(len({round(seconds, 2) for seconds in times}), 20)

    def test_refusal_says_where_the_tokens_are(self):
        """Guards against 402 without a trace of who held the rest."""
        fleet = _control.Control(team=TEAM, tokens=400)
        fleet.apply(
            wire.OpenGrant(
                grant="node-2/b/1",
                budget=TEAM,
                holder="node-2/b",
                number=1,
                sequence=0,
                need=300,
                want=300,
                limit=100,
            )
        )
        error, _ = asyncio.run(
            self.run_request(fleet, objective=0.25, time_limit=4.0)
        )
        self.assertEqual("prepaid_exhausted", error.code)
        (line,) = self.log.lines
        self.assertEqual("tokens lacking", line["event"])
        self.assertEqual([["node-2/b", 300, 100]], line["holders"])
        self.assertEqual(
            (100, 300, 0), (line["free"], line["elsewhere"], line["lost"])
        )
