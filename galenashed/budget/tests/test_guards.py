"""Budget manager of an entry whose announced limits are guarded."""

import asyncio
from unittest import mock

import testtools

from galenashed import budget
from galenashed.budget import _announcer
from galenashed.budget.tests import _control
from galenashed.budget.tests import test_manager
from galenashed import control
from galenashed.protocol import control as wire

TEAM = "rounds"
TOKENS = 60_000
# Stand-ins for the bounds of several seconds.
LIFT_SECONDS = 0.4
CONTACT_SECONDS = 0.6


class Guards:
    """Guards of a test, which record what they are asked if ``accepts``."""

    def __init__(self):
        self.names = ["guard/1", "guard/2"]
        self.accepts = False
        self.asked = []
        self.lowered = 0
        self.term = 0

    def is_lifted(self, term):
        return self.term == term

    async def lift(self, names, term):
        self.asked.append(names)
        if self.accepts:
            self.term = term
        return self.accepts

    def lower(self):
        self.lowered += self.term != 0
        self.term = 0


class LossyControl(_control.Control):
    """Control that does not answer while it is ``lost``."""

    lost = False

    async def propose(self, command, *, timeout):
        await asyncio.sleep(0.01)
        if self.lost:
            raise control.ControlUnavailableError("lost")
        return self.apply(command)


class TestGuards(testtools.TestCase):
    """Announced limits are exceeded only by a record of a guard."""

    def setUp(self):
        super().setUp()
        for name, seconds in (
            ("LIFT_LIMITS_AFTER_SECONDS", LIFT_SECONDS),
            ("CONTACT_VALID_SECONDS", CONTACT_SECONDS),
        ):
            patch = mock.patch.object(_announcer, name, seconds)
            patch.start()
            self.addCleanup(patch.stop)

    def run_with_manager(self, test):
        async def run():
            self.guards = Guards()
            self.control = LossyControl(team=TEAM, tokens=TOKENS)
            self.manager = budget.BudgetManager(
                escrow=budget.Escrow(
                    holder="node-1/a", policy=budget.POLICIES["cut-tolerant"]
                ),
                control=self.control,
                witnesses=test_manager.NoWitnesses(),
                unavailable=control.ControlUnavailableError,
                control_reachable=lambda: not self.control.lost,
                guards=self.guards,
            )
            await self.manager.start()
            try:
                async with asyncio.timeout(10.0):
                    await test()
            finally:
                await self.manager.abort()

        asyncio.run(run())

    async def wait_for_grants(self):
        """Waits for an announcement of grants that name the guards."""
        await self.wait_until(lambda: self.manager._term_guards)
        self.manager.release(await self.manager.reserve(TEAM, 100))
        await self.wait_until(
            lambda: self.control.state_machine.largest_holders(1)[0].silent
        )
        escrow = self.manager.escrow
        self.assertLess(escrow.announced(TEAM), escrow.unspent(TEAM) / 2)

    async def wait_until(self, condition):
        while not condition():
            await asyncio.sleep(0.01)

    def grants(self):
        return self.control.state_machine.state.budgets[TEAM].grants

    def test_grants_name_their_guards(self):
        async def test():
            await self.wait_for_grants()
            for grant in self.grants().values():
                self.assertEqual(["guard/1", "guard/2"], grant.witnesses)

        self.run_with_manager(test)

    def test_limits_hold_until_a_guard_has_a_record(self):
        async def test():
            await self.wait_for_grants()
            escrow = self.manager.escrow
            self.control.lost = True
            await self.wait_until(lambda: len(self.guards.asked) > 1)
            self.assertLess(escrow.announced(TEAM), escrow.unspent(TEAM))
            self.guards.accepts = True
            await self.wait_until(
                lambda: escrow.announced(TEAM) == escrow.unspent(TEAM)
            )

        self.run_with_manager(test)

    def test_record_is_withdrawn_once_control_has_the_limits(self):
        async def test():
            await self.wait_for_grants()
            self.guards.accepts = True
            self.control.lost = True
            await self.wait_until(lambda: self.guards.term)
            await asyncio.sleep(CONTACT_SECONDS)
            term = self.manager.escrow.term
            self.control.lost = False
            await self.wait_until(lambda: self.guards.lowered)
            # Nobody can have closed the term.
            self.assertEqual(term, self.manager.escrow.term)
            (grant,) = self.grants().values()
            self.assertGreaterEqual(
                grant.limit, self.manager.escrow.announced(TEAM)
            )

        self.run_with_manager(test)

    def test_term_ends_after_a_long_loss_of_contact(self):
        async def test():
            await self.wait_for_grants()
            before = set(self.grants())
            (name,) = before
            self.control.lost = True
            await asyncio.sleep(2 * CONTACT_SECONDS)
            # What the leader does with a silent holder.
            self.control.apply(
                wire.ShrinkGrant(
                    grant=name,
                    holder="node-1/a",
                    amount=self.grants()[name].limit,
                )
            )
            self.control.lost = False
            await self.wait_until(lambda: not before & set(self.grants()))
            await self.manager.reserve(TEAM, 5_000)
            self.control.state_machine.check_invariant()

        self.run_with_manager(test)

    def test_grants_are_replaced_when_guards_are(self):
        async def test():
            await self.wait_for_grants()
            before = set(self.grants())
            self.guards.names = ["guard/2", "guard/3"]
            await self.wait_until(
                lambda: self.grants() and not before & set(self.grants())
            )
            for grant in self.grants().values():
                self.assertEqual(["guard/2", "guard/3"], grant.witnesses)

        self.run_with_manager(test)
