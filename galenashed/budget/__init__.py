"""Escrow of prepaid budgets at an entry.

:class:`Escrow` is the sans-IO part: it keeps what has been granted to this
entry, reserves from it before a request is dispatched and bills the real use
afterwards.  :class:`WitnessBook` is what other entries remember of it, to
recover its grants if it dies.  :class:`BudgetDesk` is the asyncio task that
owns the escrow and talks to control and to witnesses.
"""

from galenashed.budget._account import Reservation
from galenashed.budget._desk import BudgetDesk
from galenashed.budget._desk import BudgetExhaustedError
from galenashed.budget._escrow import Escrow
from galenashed.budget._escrow import ToWitness
from galenashed.budget._policy import POLICIES
from galenashed.budget._policy import Policy
from galenashed.budget._witness import WitnessBook

__all__ = [
    "POLICIES",
    "BudgetDesk",
    "BudgetExhaustedError",
    "Escrow",
    "Policy",
    "Reservation",
    "ToWitness",
    "WitnessBook",
]
