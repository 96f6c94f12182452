"""Budget manager without control, with entries that may lend tokens."""

import asyncio
import time

import testtools

from galenashed import budget
from galenashed.budget.tests import _control
from galenashed import control
from galenashed.protocol import control as wire


class SilentControl:
    """Control that never answers."""

    async def propose(self, command, *, timeout):
        await asyncio.sleep(timeout)
        raise control.ControlUnavailableError("silent")


class NoWitnesses:
    def choose(self):
        return []

    def send(self, notes):
        pass


class LoanClient:
    """Lends the given number of tokens, once."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.request_count = 0

    async def borrow(self, budget_name, need):
        self.request_count += 1
        lent, self.tokens = min(need, self.tokens), 0
        return lent


def make_budget_manager(loan_client, control_reachable):
    return budget.BudgetManager(
        escrow=budget.Escrow(
            holder="node-1/a", policy=budget.POLICIES["cut-tolerant"]
        ),
        control=SilentControl(),
        witnesses=NoWitnesses(),
        unavailable=control.ControlUnavailableError,
        control_reachable=lambda: control_reachable,
        loan_client=loan_client,
    )


class TestLending(testtools.TestCase):
    """Reservations while control does not answer."""

    def test_unreachable_control_is_replaced_by_loan(self):
        async def run():
            budget_manager = make_budget_manager(
                LoanClient(500), control_reachable=False
            )
            async with asyncio.timeout(1.0):
                reservation = await budget_manager.reserve("rounds", 400)
            await budget_manager.abort()
            return reservation.tokens

        self.assertEqual(400, asyncio.run(run()))

    def test_silent_control_is_replaced_by_loan(self):
        async def run():
            budget_manager = make_budget_manager(
                LoanClient(500), control_reachable=True
            )
            async with asyncio.timeout(1.0):
                reservation = await budget_manager.reserve("rounds", 400)
            await budget_manager.abort()
            return reservation.tokens

        self.assertEqual(400, asyncio.run(run()))

    def test_refused_at_once_without_control_and_loan(self):
        async def run():
            budget_manager = make_budget_manager(
                LoanClient(0), control_reachable=False
            )
            try:
                async with asyncio.timeout(0.1):
                    await budget_manager.reserve("rounds", 400)
            except control.ControlUnavailableError:
                return True
            finally:
                await budget_manager.abort()
            return False

        self.assertTrue(asyncio.run(run()))

    def test_lent_tokens_count_as_spent_at_lender(self):
        escrow = budget.Escrow(
            holder="node-1/a", policy=budget.POLICIES["cut-tolerant"]
        )
        command = escrow.open_grant(
            "rounds", need=1000, missing=1000, now=0.0, witnesses=[]
        )
        reply = wire.Granted(grant=command.grant, amount=1000)
        escrow.on_opened(command, reply, 0.0)
        lent = escrow.lend("rounds", 300, "node-2/b", 0.0)
        self.assertEqual(300, lent)
        self.assertEqual(700, escrow.free("rounds"))
        bill = escrow.settle().bills[0]
        self.assertEqual(300, bill.tokens)


class TestTokensElsewhere(testtools.TestCase):
    """Requests for tokens that other entries hold."""

    def seconds_until_refused(self, *, silent):
        """Returns how long a request waits for 1,900 of 2,000 tokens.

        Another entry holds 1,500 of them.
        """

        async def run():
            fleet = _control.Control(team="rounds", tokens=2_000)
            fleet.apply(
                wire.OpenGrant(
                    grant="node-2/b/1",
                    budget="rounds",
                    holder="node-2/b",
                    number=1,
                    sequence=0,
                    need=1_500,
                    want=1_500,
                    limit=100,
                )
            )
            if silent:
                fleet.now = 10.0
            manager = budget.BudgetManager(
                escrow=budget.Escrow(
                    holder="node-1/a", policy=budget.POLICIES["cut-tolerant"]
                ),
                control=fleet,
                witnesses=NoWitnesses(),
                unavailable=control.ControlUnavailableError,
            )
            started = time.monotonic()
            try:
                await manager.reserve("rounds", 1_900)
            except budget.BudgetExhaustedError as exc:
                self.assertEqual(1_500, exc.held_elsewhere)
                self.assertEqual(1_500 if silent else 0, exc.held_by_silent)
            finally:
                await manager.abort()
            return time.monotonic() - started

        return asyncio.run(run())

    def test_refused_at_once_if_the_holder_is_silent(self):
        self.assertLess(self.seconds_until_refused(silent=True), 0.1)

    def test_waits_for_a_holder_that_may_return_them(self):
        wait = budget.POLICIES["cut-tolerant"].recall_wait
        self.assertGreater(self.seconds_until_refused(silent=False), wait / 2)
