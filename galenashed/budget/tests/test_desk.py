"""The manager where control does not answer and other entries may lend."""

import asyncio

import testtools

from galenashed import budget
from galenashed import control
from galenashed.protocol import control as wire


class SilentControl:
    """Never answers."""

    async def propose(self, command, *, timeout):
        await asyncio.sleep(timeout)
        raise control.ControlUnavailableError("silent")


class NoWitnesses:
    def choose(self):
        return []

    def send(self, notes):
        pass


class LoanClient:
    """Gives what it was made with, once."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.asked = 0

    async def borrow(self, budget_name, need):
        self.asked += 1
        given, self.tokens = min(need, self.tokens), 0
        return given


def make_desk(loan_client, control_reachable):
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
    """Requests while control is out of reach."""

    def test_cut_off_entry_serves_from_what_another_lends(self):
        async def run():
            budget_manager = make_desk(
                LoanClient(500), control_reachable=False
            )
            async with asyncio.timeout(1.0):
                reservation = await budget_manager.reserve("rounds", 400)
            await budget_manager.abort()
            return reservation.tokens

        self.assertEqual(400, asyncio.run(run()))

    def test_silent_control_is_not_waited_for(self):
        async def run():
            budget_manager = make_desk(LoanClient(500), control_reachable=True)
            async with asyncio.timeout(1.0):
                reservation = await budget_manager.reserve("rounds", 400)
            await budget_manager.abort()
            return reservation.tokens

        self.assertEqual(400, asyncio.run(run()))

    def test_refused_at_once_where_nobody_can_help(self):
        async def run():
            budget_manager = make_desk(LoanClient(0), control_reachable=False)
            try:
                async with asyncio.timeout(0.1):
                    await budget_manager.reserve("rounds", 400)
            except control.ControlUnavailableError:
                return True
            finally:
                await budget_manager.abort()
            return False

        self.assertTrue(asyncio.run(run()))

    def test_what_is_lent_counts_as_spent_at_the_giver(self):
        escrow = budget.Escrow(
            holder="node-1/a", policy=budget.POLICIES["cut-tolerant"]
        )
        command = escrow.open_grant(
            "rounds", need=1000, missing=1000, now=0.0, witnesses=[]
        )
        reply = wire.Granted(grant=command.grant, amount=1000)
        escrow.on_opened(command, reply, 0.0)
        given = escrow.lend("rounds", 300, "node-2/b", 0.0)
        self.assertEqual(300, given)
        self.assertEqual(700, escrow.free("rounds"))
        bill = escrow.settle().bills[0]
        self.assertEqual(300, bill.tokens)
