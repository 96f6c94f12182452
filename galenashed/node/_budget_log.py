"""Periodic log lines on where prepaid tokens are."""

from galenashed import budget
from galenashed import control
from galenashed import telemetry

TOTALS_INTERVAL_SECONDS = 2.0
SPENDING_INTERVAL_SECONDS = 1.0
MAX_LOGGED_HOLDERS = 8


class BudgetLog:
    """Logs the totals of all budgets, and what an entry uses its grants for.

    Parameters
    ----------
    budget_manager : BudgetManager
        Holds the grants of this entry.
    log : DecisionLog
        Receives the lines.
    """

    def __init__(
        self,
        *,
        budget_manager: budget.BudgetManager,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
    ):
        self.budget_manager = budget_manager
        self.log = log
        self._next_totals_at = 0.0
        self._next_spending_at = 0.0

    def write(self, replica: control.ControlServer | None, now: float) -> None:
        """Writes the lines that are due; the totals on the leader only."""
        if replica is not None and replica.node.is_leader:
            self._write_totals(replica, now)
        if now < self._next_spending_at:
            return
        self._next_spending_at = now + SPENDING_INTERVAL_SECONDS
        spending = self.budget_manager.escrow.summarize(now)
        if any(spending):
            self.log.write("spending", **spending._asdict())

    def _write_totals(
        self, replica: control.ControlServer, now: float
    ) -> None:
        if now < self._next_totals_at:
            return
        self._next_totals_at = now + TOTALS_INTERVAL_SECONDS
        state_machine = replica.state_machine
        self.log.write(
            "budgets",
            **state_machine.budget_totals(),
            holders=state_machine.largest_holders(MAX_LOGGED_HOLDERS),
        )
