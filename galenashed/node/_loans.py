"""Loans of prepaid tokens between entries."""

import asyncio
import random
import time

import loguru

from galenashed import budget
from galenashed import membership
from galenashed.node import _token_holders
from galenashed.protocol import lending as wire
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed import telemetry

LOG = loguru.logger

# Ten round trips between failure domains of one region.
LOAN_TIMEOUT_SECONDS = 0.1


class LoanExchange:
    """Borrows tokens from other live entries, and lends to them.

    Entries that are cut off from control can't get new grants, while the
    requests of a team may arrive unevenly.  An entry that runs short can then
    spend tokens that another has announced to control but does not need.

    Parameters
    ----------
    name : str
        Name of this entry.
    domain : str
        Its failure domain.
    directory : Directory
        Lists the other entries.
    key : str
        Key that all nodes share.
    rng : random.Random
        Selects the entries to ask.
    log : DecisionLog
        Receives a line for each loan.
    """

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        directory: membership.Directory,
        key: str,
        rng: random.Random,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
    ):
        self.log = log
        self.name = name
        self.domain = domain
        self.directory = directory
        self.rng = rng
        self.budget_manager: budget.BudgetManager | None = None
        self._channels = rpc.ChannelPool(key=key)
        # Requests for loans whose answers nobody waits for any more.
        self._late: set[asyncio.Task[int]] = set()

    @property
    def channel_count(self) -> int:
        """The number of open channels to other entries."""
        return len(self._channels)

    def attach(self, budget_manager: budget.BudgetManager) -> None:
        """Sets the budget manager whose tokens are lent."""
        self.budget_manager = budget_manager

    async def close(self) -> None:
        """Closes the channels to other entries."""
        for task in list(self._late):
            task.cancel()
        await asyncio.gather(*self._late, return_exceptions=True)
        await self._channels.close()

    async def borrow(self, budget_name: str, need: int) -> int:
        """Asks a few entries in turn; returns the tokens that they lent.

        Returns as soon as the answers suffice.  Tokens that are lent later
        are added to the budget all the same.
        """
        ranked = _token_holders.rank_lenders(
            self.name,
            self.directory.alive(time.monotonic()),
            self.rng,
            self.domain,
        )
        lent = 0
        pending: set[asyncio.Task[int]] = set()
        size = _token_holders.LENDERS_ASKED
        while lent < need and (ranked or pending):
            loan = wire.LoanRequest(
                borrower=self.name, budget=budget_name, need=need - lent
            )
            asked, ranked = ranked[:size], ranked[size:]
            pending.update(
                telemetry.start_task(self._request_loan(address, loan), "loan")
                for address in asked
            )
            lent += await self._collect(pending, need - lent, wait=not ranked)
        for task in pending:
            self._late.add(task)
            task.add_done_callback(
                lambda task: self._on_late_loan(budget_name, task)
            )
        return lent

    async def _collect(
        self, pending: set[asyncio.Task[int]], need: int, *, wait: bool
    ) -> int:
        """Returns what was lent once it suffices or others should be asked.

        Answered requests are removed from ``pending``.  If ``wait`` is set,
        there are no others to ask.
        """
        lent = 0
        deadline = time.monotonic() + _token_holders.NEXT_LENDERS_SECONDS
        while pending and lent < need:
            timeout = None if wait else deadline - time.monotonic()
            if timeout is not None and timeout <= 0.0:
                break
            done, _ = await asyncio.wait(
                pending,
                timeout=timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            pending -= done
            lent += sum(task.result() for task in done)
        return lent

    def _on_late_loan(self, budget_name: str, task: asyncio.Task[int]) -> None:
        """Adds tokens that were lent after others had sufficed."""
        self._late.discard(task)
        if task.cancelled() or task.exception() is not None:
            return
        if self.budget_manager is not None and task.result():
            self.budget_manager.add_loan(budget_name, task.result())

    async def _request_loan(self, address: str, loan: wire.LoanRequest) -> int:
        try:
            lent = await self._channels.get(address).call(
                methods.LEND, loan, timeout=LOAN_TIMEOUT_SECONDS
            )
        except rpc.RpcError as exc:
            LOG.debug("loan request to {} failed: {}", address, exc.code())
            return 0
        return lent.tokens

    async def lend(self, loan: wire.LoanRequest, context) -> wire.LoanReply:
        """Handles a request for a loan: lends what this entry can spare."""
        assert self.budget_manager is not None
        tokens = await self.budget_manager.lend(
            loan.budget, loan.need, loan.borrower
        )
        if tokens:
            self.log.write(
                "tokens lent",
                budget=loan.budget,
                tokens=tokens,
                need=loan.need,
                borrower=loan.borrower,
            )
        return wire.LoanReply(tokens=tokens)
