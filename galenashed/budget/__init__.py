"""Escrow of prepaid budgets at an entry.

:class:`Escrow` is the sans-IO part: it keeps what has been granted to this
entry, reserves from it before a request is dispatched and bills the real use
afterwards.  :class:`BudgetDesk` is the asyncio task that owns it and talks
to control.
"""

from galenashed.budget._desk import BudgetDesk
from galenashed.budget._desk import BudgetExhaustedError
from galenashed.budget._escrow import Escrow
from galenashed.budget._escrow import Reservation
from galenashed.budget._policy import POLICIES
from galenashed.budget._policy import Policy

__all__ = [
    "POLICIES",
    "BudgetDesk",
    "BudgetExhaustedError",
    "Escrow",
    "Policy",
    "Reservation",
]
