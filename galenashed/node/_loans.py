"""Other entries, asked for tokens that this one lacks."""

import asyncio
import random
import time

import loguru

from galenashed import budget
from galenashed import membership
from galenashed.protocol import lending as wire
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed import telemetry

LOG = loguru.logger

# Asked at a time: enough to find one with tokens, few at any size.
ASKED = 3
LENDING = ("serving", "cut-off")
# Seconds; ten round trips between failure domains of one region.
TIMEOUT_SECONDS = 0.1


class LoanExchange:
    """Borrows from entries that are alive, and lends to them.

    Load pattern: entries cut off from control while teams' requests come to
    some of them in lumps.  What one has announced and does not need lets
    another serve.

    Parameters
    ----------
    name : str
        This entry.
    directory : Directory
        The other entries.
    key : str
        The peers' key.
    rng : random.Random
        Draws whom to ask.
    log : DecisionLog
        Takes a line for each loan.
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
        self.key = key
        self.rng = rng
        self.budget_manager: budget.BudgetManager | None = None
        self._channels: dict[str, rpc.Channel] = {}

    def attach(self, budget_manager: budget.BudgetManager) -> None:
        """Takes the budget manager whose tokens are lent."""
        self.budget_manager = budget_manager

    async def close(self) -> None:
        """Closes the channels."""
        for channel in self._channels.values():
            await channel.close()

    async def borrow(self, budget_name: str, need: int) -> int:
        """Asks a few entries; returns the tokens that they gave."""
        alive = [
            peer.peer_address
            for peer in self.directory.alive(time.monotonic())
            if peer.name != self.name and peer.state in LENDING
        ]
        asked = self.rng.sample(alive, min(ASKED, len(alive)))
        loan = wire.Loan(borrower=self.name, budget=budget_name, need=need)
        return sum(
            await asyncio.gather(*[self._ask(peer, loan) for peer in asked])
        )

    async def _ask(self, address: str, loan: wire.Loan) -> int:
        channel = self._channels.get(address)
        if channel is None:
            channel = rpc.Channel(address=address, key=self.key)
            self._channels[address] = channel
        try:
            lent = await channel.call(
                methods.LEND, loan, timeout=TIMEOUT_SECONDS
            )
        except rpc.RpcError as exc:
            LOG.debug("{} lends nothing: {}", address, exc.code())
            return 0
        return lent.tokens

    async def serve(self, loan: wire.Loan, context) -> wire.Lent:
        """Lends what this entry can spare."""
        assert self.budget_manager is not None
        tokens = self.budget_manager.lend(
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
        return wire.Lent(tokens=tokens)
