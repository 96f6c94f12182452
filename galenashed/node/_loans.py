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
        directory: membership.Directory,
        key: str,
        rng: random.Random,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
    ):
        self.log = log
        self.name = name
        self.directory = directory
        self.rng = rng
        self.budget_manager: budget.BudgetManager | None = None
        self._channels = rpc.ChannelPool(key=key)

    @property
    def channel_count(self) -> int:
        """The number of open channels to other entries."""
        return len(self._channels)

    def attach(self, budget_manager: budget.BudgetManager) -> None:
        """Sets the budget manager whose tokens are lent."""
        self.budget_manager = budget_manager

    async def close(self) -> None:
        """Closes the channels to other entries."""
        await self._channels.close()

    async def borrow(self, budget_name: str, need: int) -> int:
        """Asks a few entries in turn; returns the tokens that they lent."""
        ranked = _token_holders.rank_lenders(
            self.name, self.directory.alive(time.monotonic()), self.rng
        )
        lent = 0
        size = _token_holders.LENDERS_ASKED
        for start in range(0, len(ranked), size):
            lent += await self._request_loans(
                ranked[start : start + size], budget_name, need - lent
            )
            if lent >= need:
                break
        return lent

    async def _request_loans(
        self, addresses: list[str], budget_name: str, need: int
    ) -> int:
        loan = wire.LoanRequest(
            borrower=self.name, budget=budget_name, need=need
        )
        return sum(
            await asyncio.gather(
                *[self._request_loan(address, loan) for address in addresses]
            )
        )

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
