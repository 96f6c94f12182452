"""Bursts of requests of a team at an entry that holds none of its tokens."""

import asyncio

import testtools

from galenashed import budget
from galenashed.budget.tests import _control
from galenashed.budget.tests import test_manager
from galenashed import control
from galenashed.protocol import control as wire

TEAM = "rounds"
PREPAID = 1_000_000
BURST = 20
TOKENS = 400


class Control(_control.Control):
    """Control that answers one announcement, and no other."""

    announcements = 0

    async def propose(self, command, *, timeout):
        if isinstance(command, wire.Holding):
            self.announcements += 1
            if self.announcements > 1:
                await asyncio.sleep(timeout)
                raise control.ControlUnavailableError("silent")
        return await super().propose(command, timeout=timeout)


def make_manager(fleet):
    return budget.BudgetManager(
        escrow=budget.Escrow(
            holder="node-1/a", policy=budget.POLICIES["cut-tolerant"]
        ),
        control=fleet,
        witnesses=test_manager.NoWitnesses(),
        unavailable=control.ControlUnavailableError,
    )


class TestBursts(testtools.TestCase):
    """Guards against one round trip to control for each waiting request."""

    def test_one_announcement_serves_a_burst_and_the_next_requests(self):
        async def run():
            manager = make_manager(Control(team=TEAM, tokens=PREPAID))
            try:
                async with asyncio.timeout(5.0):
                    for count in (BURST, BURST // 4):
                        await asyncio.gather(
                            *[
                                manager.reserve(TEAM, TOKENS)
                                for _ in range(count)
                            ]
                        )
            except TimeoutError:
                return False
            finally:
                await manager.abort()
            return True

        self.assertTrue(asyncio.run(run()))

    def test_first_grant_announces_no_more_than_the_next_announcement(self):
        """Guards against more tokens that a loss of power takes."""

        async def run():
            fleet = _control.Control(team=TEAM, tokens=PREPAID)
            manager = make_manager(fleet)
            await manager.reserve(TEAM, TOKENS)
            first = manager.escrow.announced(TEAM)
            await manager.start()
            await asyncio.sleep(1.0)
            later = manager.escrow.announced(TEAM)
            await manager.abort()
            return first, later

        first, later = asyncio.run(run())
        self.assertLessEqual(first, later)
