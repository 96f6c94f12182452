"""Interfaces that the embedding program provides to a budget manager."""

import typing

from galenashed.budget import _escrow
from galenashed.protocol import control as wire


class Proposer(typing.Protocol):
    """Commits commands; see ``ControlClient``."""

    async def propose(
        self, command: wire.Command, *, timeout: float
    ) -> wire.Reply:
        """Returns the committed reply; raises if control is unavailable."""


class LoanClient(typing.Protocol):
    """Borrows tokens from other entries."""

    async def borrow(self, budget_name: str, need: int) -> int:
        """Returns the number of tokens lent by others, 0 if none."""


class NullLoanClient:
    """Loan client that never obtains tokens."""

    async def borrow(self, budget_name: str, need: int) -> int:
        """See :class:`LoanClient`."""
        return 0


class Witnesses(typing.Protocol):
    """Sends notes to the entries that record what this one may spend."""

    def choose(self) -> list[str]:
        """Returns the witnesses for a new grant, or an empty list."""

    def send(self, notes: list[_escrow.WitnessMessage]) -> None:
        """Sends notes; reports their outcome to the budget manager."""


class Guards(typing.Protocol):
    """The entries that guard the announced limits of this one.

    ``names`` are those of grants from now on, none while there are none.
    """

    names: list[str]

    def is_lifted(self, term: int) -> bool:
        """Whether guards have recorded that limits may be exceeded."""

    async def lift(self, names: list[str], term: int) -> bool:
        """Has guards record it; returns whether enough of them have."""

    def lower(self) -> None:
        """Tells the guards that limits are not exceeded any more."""


class NullGuards:
    """No guards: limits may be exceeded without a record."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def is_lifted(self, term: int) -> bool:
        """See :class:`Guards`."""
        return False

    async def lift(self, names: list[str], term: int) -> bool:
        """See :class:`Guards`."""
        return False

    def lower(self) -> None:
        """See :class:`Guards`."""


class BoundsStore(typing.Protocol):
    """Stores how much of each grant may be spent, to outlive the process."""

    def write(self, bounds: dict[str, int]) -> None:
        """Replaces the bounds, by grant, durably.

        Blocks while the disk works.  Raises OSError; the bounds before or
        those of this call are then stored.
        """
