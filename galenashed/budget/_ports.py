"""What a manager needs of others, as the program that embeds it brings it."""

import typing

from galenashed.budget import _escrow
from galenashed.protocol import control as wire


class Proposer(typing.Protocol):
    """Commits commands; see ``ControlClient``."""

    async def propose(
        self, command: wire.Command, *, timeout: float
    ) -> wire.Reply:
        """Returns the committed reply; raises if control is not there."""


class LoanClient(typing.Protocol):
    """Reaches entries that may lend tokens."""

    async def borrow(self, budget_name: str, need: int) -> int:
        """Returns how many tokens others have given, 0 if none."""


class NullLoanClient:
    """Nobody lends."""

    async def borrow(self, budget_name: str, need: int) -> int:
        """See :class:`LoanClient`."""
        return 0


class Witnesses(typing.Protocol):
    """Reaches the entries that remember what this one may spend."""

    def choose(self) -> list[str]:
        """Returns the witnesses for a new grant; none if there are none."""

    def send(self, notes: list[_escrow.WitnessMessage]) -> None:
        """Sends notes; what is heard or lost is told to the budget manager."""
