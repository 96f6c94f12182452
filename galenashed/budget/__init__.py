"""Escrow of prepaid budgets at an entry.

:class:`Escrow` is the sans-IO part: it keeps what has been granted to this
entry, reserves from it before a request is dispatched and bills the real use
afterwards.  :class:`WitnessRecords` is what other entries remember of it, to
recover its grants if it dies.  :class:`BudgetManager` is the asyncio task that
owns the escrow and talks to control and to witnesses.
"""

from galenashed.budget._account import Reservation
from galenashed.budget._escrow import Escrow
from galenashed.budget._escrow import WitnessMessage
from galenashed.budget._manager import BudgetExhaustedError
from galenashed.budget._manager import BudgetManager
from galenashed.budget._policy import POLICIES
from galenashed.budget._policy import Policy
from galenashed.budget._witness_records import WitnessRecords

__all__ = [
    "POLICIES",
    "BudgetExhaustedError",
    "BudgetManager",
    "Escrow",
    "Policy",
    "Reservation",
    "WitnessMessage",
    "WitnessRecords",
]
