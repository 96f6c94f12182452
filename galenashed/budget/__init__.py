"""Escrow of prepaid budgets at an entry.

:class:`Escrow` is the sans-IO part: it holds the tokens granted to this
entry, reserves some before a request is dispatched and bills the actual
usage afterwards.  :class:`WitnessRecords` is what other entries record about
it, to recover its grants if it crashes.  :class:`BudgetManager` owns the
escrow and exchanges messages with control and with witnesses in asyncio
tasks.
"""

from galenashed.budget._account import Reservation
from galenashed.budget._announcer import CLOSE_AFTER_SILENCE_SECONDS
from galenashed.budget._escrow import Escrow
from galenashed.budget._escrow import WitnessMessage
from galenashed.budget._manager import BudgetManager
from galenashed.budget._policy import POLICIES
from galenashed.budget._policy import Policy
from galenashed.budget._ports import BoundsStore
from galenashed.budget._ports import Guards
from galenashed.budget._waiters import BudgetExhaustedError
from galenashed.budget._witness_records import WitnessRecords

__all__ = [
    "CLOSE_AFTER_SILENCE_SECONDS",
    "POLICIES",
    "BoundsStore",
    "BudgetExhaustedError",
    "BudgetManager",
    "Escrow",
    "Guards",
    "Policy",
    "Reservation",
    "WitnessMessage",
    "WitnessRecords",
]
