"""Token reservations and billing for the request handlers."""

from galenashed import budget
from galenashed import control
from galenashed.protocol import control as wire
from galenashed import telemetry
from galenashed import web

RETRY_AFTER_SECONDS = 1.0


class Reservations:
    """Reserves tokens from budgets and bills; raises errors of the API.

    Parameters
    ----------
    budget_manager : galenashed.budget.BudgetManager
        Holds this entry's grants of tokens.
    metrics : Metrics
        Counts failed reservations.
    """

    def __init__(self, *, budget_manager: budget.BudgetManager, metrics):
        self.budget_manager = budget_manager
        self.metrics: telemetry.Metrics = metrics

    async def reserve(
        self, budget_name: str, tokens: int
    ) -> budget.Reservation:
        """Reserves tokens from a budget; raises ApiError."""
        try:
            return await self.budget_manager.reserve(budget_name, tokens)
        except budget.BudgetExhaustedError as exc:
            self.metrics.count("budget.refused")
            if exc.available + exc.held_elsewhere >= exc.needed:
                self.metrics.count("budget.refused_with_tokens_elsewhere")
            raise _quota_exceeded(budget_name, exc) from None
        except control.ControlUnavailableError as exc:
            self.metrics.count("budget.control_unavailable")
            raise web.ApiError(
                status=503,
                code="budget_unavailable",
                message=f"can't reserve tokens now: {exc}",
                retry_after=RETRY_AFTER_SECONDS,
            ) from None

    def bill(self, reservation: budget.Reservation, **fields) -> wire.Bill:
        """Bills a request; ``fields`` are those of :class:`wire.Bill`."""
        draft = wire.Bill(budget=reservation.budget, parts=[], **fields)
        return self.budget_manager.bill(reservation, draft)

    async def wait_until_durable(self) -> None:
        """Waits until the latest bill is stored outside this entry.

        The wait has a time limit.
        """
        await self.budget_manager.wait_until_durable()

    def release(self, reservation: budget.Reservation) -> None:
        """Returns an unused reservation to its budget."""
        self.budget_manager.release(reservation)


def _quota_exceeded(
    budget_name: str, exc: budget.BudgetExhaustedError
) -> web.ApiError:
    # Only tokens that other entries hold can become available later, so a
    # retry is suggested only if there are any.
    retry = RETRY_AFTER_SECONDS if exc.held_elsewhere else None
    return web.ApiError(
        status=429,
        code="insufficient_quota",
        message=f"budget {budget_name!r}: {exc}",
        retry_after=retry,
    )
