"""How many bills an entry keeps and sends at once.

Guards against an entry that is cut off from control and keeps bills without
bound, and against commands that are too large for the replicated log.
"""

import asyncio

import msgspec
import testtools

from galenashed import budget
from galenashed.budget import _bills
from galenashed.budget.tests import _bills as bill_factory
from galenashed.budget.tests import _control
from galenashed.budget.tests import test_manager
from galenashed import control
from galenashed.protocol import control as wire

TEAM = "rounds"
TOKENS = 100_000


class TestBillQueue(testtools.TestCase):
    """An escrow with a grant, and control that settles later."""

    def setUp(self):
        super().setUp()
        self.control = _control.Control(team=TEAM, tokens=TOKENS)
        self.escrow = budget.Escrow(
            holder="a/1", policy=budget.POLICIES["cut-tolerant"]
        )
        command = self.escrow.open_grant(
            TEAM, need=25_000, missing=25_000, now=0.0, witnesses=[]
        )
        self.escrow.on_opened(command, self.control.apply(command), 0.0)

    def bill(self, count, **fields):
        for _ in range(count):
            reservation = self.escrow.reserve(TEAM, 1, 0.0)
            bill = bill_factory.make_bill(TEAM, 1)
            for name, value in fields.items():
                bill = msgspec.structs.replace(bill, **{name: value})
            final = self.escrow.bill(reservation, bill, 0.0)
        return final

    def test_many_bills_are_settled_in_batches(self):
        count = 2 * _bills.MAX_BATCH_BILLS + 1
        self.bill(count)
        sizes = []
        while (batch := self.escrow.settle()) is not None:
            sizes.append(len(batch.bills))
            self.escrow.on_settled(self.control.apply(batch))
        full = _bills.MAX_BATCH_BILLS
        self.assertEqual([full, full, 1], sizes)
        (budget_state,) = self.control.state_machine.state.budgets.values()
        self.assertEqual(count, budget_state.settled)

    def test_texts_of_a_bill_are_short(self):
        final = self.bill(1, subject="/" + "a" * 15_000, id="i" * 200)
        longest = max(len(final.subject), len(final.id))
        self.assertLessEqual(longest, wire.MAX_BILL_TEXT_BYTES)

    def test_requests_are_refused_while_too_many_bills_wait(self):
        manager = test_manager.make_budget_manager(
            test_manager.LoanClient(0), control_reachable=False
        )
        manager.escrow = self.escrow
        self.bill(_bills.MAX_WAITING_BILLS)

        async def reserve():
            await manager.reserve(TEAM, 1)

        with testtools.ExpectedException(
            control.ControlUnavailableError, ".*bills wait for control"
        ):
            asyncio.run(reserve())
        self.assertEqual(0, asyncio.run(manager.lend(TEAM, 1, "node-2")))
