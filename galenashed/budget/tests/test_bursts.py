"""Bursts of requests of a team at an entry that holds none of its tokens."""

import asyncio

import testtools

from galenashed import budget
from galenashed.budget import _waiters
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


class TestOrderOfWaitingRequests(testtools.TestCase):
    """Fewer tokens than the waiting requests of a team need."""

    def served_in_order(self, requests, *, tokens):
        """Returns the indices of served requests as tokens come bit by bit.

        A request has a priority, the time left and the tokens that it needs.
        """
        order = []

        async def run():
            escrow = budget.Escrow(
                holder="node-1/a", policy=budget.POLICIES["cut-tolerant"]
            )
            queue = _waiters.WaitQueue(escrow=escrow)
            for index, (priority, left, needed) in enumerate(requests):
                waiter = queue.add(
                    TEAM,
                    needed,
                    deadline=9.0,
                    priority=priority,
                    time_limit=left,
                )
                waiter.fut.add_done_callback(
                    lambda fut, index=index: (
                        order.append(index)
                        if fut.exception() is None
                        else None
                    )
                )
            for _ in range(tokens // TOKENS):
                escrow.on_borrowed(TEAM, TOKENS, 0.0)
                queue.serve(TEAM, 0.0)
                await asyncio.sleep(0)
            queue.fail(TEAM, control.ControlUnavailableError("cut"), 0.0)
            await asyncio.sleep(0)

        asyncio.run(run())
        return order

    def test_urgent_requests_go_first(self):
        """Guards against urgent requests that wait behind earlier ones."""
        order = self.served_in_order(
            [(5, 9.0, TOKENS), (5, 1.0, TOKENS), (1, 16.0, TOKENS)],
            tokens=2 * TOKENS,
        )
        self.assertEqual([2, 1], order)

    def test_large_request_is_not_passed_until_nothing_more_comes(self):
        """Guards against starved large requests, and unused tokens."""
        requests = [(1, 1.0, 3 * TOKENS), (5, 1.0, TOKENS)]
        self.assertEqual(
            [0, 1], self.served_in_order(requests, tokens=4 * TOKENS)
        )
        self.assertEqual(
            [1], self.served_in_order(requests, tokens=2 * TOKENS)
        )
