"""Requests that wait for tokens at an entry, the urgent ones first.

The load that this addresses: more requests of a team wait than the tokens
cover that have come so far, and some of them have little time left.
"""

import asyncio
import bisect
import math
import typing

from galenashed.budget import _account
from galenashed.budget import _escrow
from galenashed.protocol import control as wire

# After a wait in vain, requests of the budget are refused without one.
FUTILE_WAIT_TTL_SECONDS = 5.0


class BudgetExhaustedError(Exception):
    """Raised when the budget does not cover a request.

    ``held_elsewhere`` is the number of tokens of the budget that other entries
    hold, ``held_by_silent`` that of those with entries which control does not
    hear.  ``lost`` are tokens that dead entries may have spent, and
    ``holders`` the other holders that have the most.
    """

    def __init__(
        self,
        *,
        needed: int,
        available: int,
        held_elsewhere: int,
        held_by_silent: int = 0,
        lost: int = 0,
        holders: typing.Sequence[wire.HeldShare] = (),
    ):
        super().__init__(
            f"the request may take {needed} tokens; {available} are left"
        )
        self.needed = needed
        self.available = available
        self.held_elsewhere = held_elsewhere
        self.held_by_silent = held_by_silent
        self.lost = lost
        self.holders = holders


class Waiter:
    """A request that waits; ``fut`` gets its reservation or an error.

    After ``deadline`` it waits no more for tokens that other entries hold.
    ``urgency`` is the sort key of waiting requests.
    """

    __slots__ = ("budget", "deadline", "fut", "tokens", "urgency")

    def __init__(
        self,
        *,
        budget: str,
        tokens: int,
        deadline: float,
        urgency: tuple[int, float],
        fut: "asyncio.Future[_account.Reservation]",
    ):
        self.budget = budget
        self.tokens = tokens
        self.deadline = deadline
        self.urgency = urgency
        self.fut = fut


class WaitQueue:
    """The waiting requests of an entry, in order of their urgency.

    A request that does not fit holds back less urgent ones of its budget, so
    that large requests are served too.

    Times are in seconds on a monotonic clock.

    Parameters
    ----------
    escrow : Escrow
        Provides the reservations.
    """

    __slots__ = ("_futile_waits", "_waiters", "escrow")

    def __init__(self, *, escrow: _escrow.Escrow):
        self.escrow = escrow
        self._waiters: list[Waiter] = []
        # By budget, until when waiting is futile, and the tokens elsewhere.
        self._futile_waits: dict[str, tuple[float, int]] = {}

    def __iter__(self) -> typing.Iterator[Waiter]:
        return iter(self._waiters)

    def add(
        self,
        budget: str,
        tokens: int,
        *,
        deadline: float,
        priority: int = 0,
        time_limit: float = math.inf,
    ) -> Waiter:
        """Adds a request; call this in the event loop.

        A lower ``priority`` is more urgent, then an earlier ``time_limit``,
        which is a time like ``deadline``.
        """
        waiter = Waiter(
            budget=budget,
            tokens=tokens,
            deadline=deadline,
            urgency=(priority, time_limit),
            fut=asyncio.get_running_loop().create_future(),
        )
        bisect.insort(self._waiters, waiter, key=lambda item: item.urgency)
        return waiter

    def discard(self, waiter: Waiter, now: float) -> None:
        """Removes a request whose caller has left; returns its tokens."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
        fut = waiter.fut
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            self.escrow.release(fut.result(), now)

    @property
    def budgets(self) -> set[str]:
        """The budgets that requests wait for."""
        return {waiter.budget for waiter in self._waiters}

    def list_needs(self, budget: str) -> list[int]:
        """Returns the tokens that the requests of a budget need, in order."""
        return [w.tokens for w in self._waiters if w.budget == budget]

    def sum_needs(self) -> dict[str, int]:
        """Returns the tokens that requests need, by budget."""
        needs: dict[str, int] = {}
        for waiter in self._waiters:
            needs[waiter.budget] = needs.get(waiter.budget, 0) + waiter.tokens
        return needs

    def serve(self, budget: str, now: float) -> None:
        """Reserves tokens for requests of a budget, in order."""
        for waiter in list(self._waiters):
            if waiter.budget != budget:
                continue
            if waiter.fut.done():
                self._waiters.remove(waiter)
                continue
            reservation = self.escrow.reserve(budget, waiter.tokens, now)
            if reservation is None:
                break
            self._waiters.remove(waiter)
            waiter.fut.set_result(reservation)

    def fail(self, budget: str, exc: Exception, now: float) -> None:
        """Refuses all requests of a budget but those that still fit."""
        for waiter in list(self._waiters):
            if waiter.budget != budget or waiter.fut.done():
                continue
            reservation = self.escrow.reserve(budget, waiter.tokens, now)
            if reservation is not None:
                self._waiters.remove(waiter)
                waiter.fut.set_result(reservation)
        for waiter in list(self._waiters):
            if waiter.budget == budget:
                self._waiters.remove(waiter)
                if not waiter.fut.done():
                    waiter.fut.set_exception(exc)

    def on_short(self, budget: str, reply: wire.Short, now: float) -> None:
        """Refuses requests, unless other entries may return tokens."""
        spare = reply.available + self.escrow.unspent(budget)
        returnable = reply.elsewhere - reply.silent
        waiting_helps = self._is_waiting_useful(budget, returnable, now)
        for waiter in list(self._waiters):
            if waiter.budget != budget or waiter.fut.done():
                continue
            if spare >= waiter.tokens:
                continue
            if waiting_helps and spare + returnable >= waiter.tokens:
                if now < waiter.deadline:
                    continue
                until = now + FUTILE_WAIT_TTL_SECONDS
                self._futile_waits[budget] = (until, returnable)
            self._waiters.remove(waiter)
            error = BudgetExhaustedError(
                needed=waiter.tokens,
                available=spare,
                held_elsewhere=reply.elsewhere,
                held_by_silent=reply.silent,
                lost=reply.lost,
                holders=reply.holders,
            )
            waiter.fut.set_exception(error)

    def _is_waiting_useful(
        self, budget: str, returnable: int, now: float
    ) -> bool:
        """Whether other entries are likely to return tokens.

        They are not if a recent wait was in vain and they still hold at least
        as many tokens, as when an entry has crashed or is partitioned.
        """
        until, tokens = self._futile_waits.get(budget, (0.0, 0))
        if now < until and returnable >= tokens:
            return False
        return returnable > 0
