"""Budgets as the request handlers see them."""

from galenashed import budget
from galenashed import control
from galenashed.protocol import control as wire
from galenashed import telemetry
from galenashed import web

RETRY_SECONDS = 1.0


class Reservations:
    """Reserves from budgets and bills, with the API's errors.

    Parameters
    ----------
    budget_manager : galenashed.budget.BudgetManager
        Holds the grants.
    metrics : Metrics
        Counts refusals.
    """

    def __init__(self, *, budget_manager: budget.BudgetManager, metrics):
        self.budget_manager = budget_manager
        self.metrics: telemetry.Metrics = metrics

    async def reserve(
        self, budget_name: str, tokens: int
    ) -> budget.Reservation:
        """Sets tokens aside; raises ApiError."""
        try:
            return await self.budget_manager.reserve(budget_name, tokens)
        except budget.BudgetExhaustedError as exc:
            self.metrics.count("budget.refused")
            if exc.available + exc.elsewhere >= exc.needed:
                self.metrics.count("budget.refused_with_tokens_elsewhere")
            raise _exhausted(budget_name, exc) from None
        except control.ControlUnavailableError as exc:
            self.metrics.count("budget.control_unavailable")
            raise web.ApiError(
                status=503,
                code="budget_unavailable",
                message=f"tokens can't be reserved now: {exc}",
                retry_after=RETRY_SECONDS,
            ) from None

    def bill(self, reservation: budget.Reservation, **fields) -> wire.Bill:
        """Bills a request; ``fields`` are those of :class:`wire.Bill`."""
        draft = wire.Bill(budget=reservation.budget, parts=[], **fields)
        return self.budget_manager.bill(reservation, draft)

    async def wait_until_durable(self) -> None:
        """Waits a little until the latest bill outlives this entry."""
        await self.budget_manager.wait_until_durable()

    def release(self, reservation: budget.Reservation) -> None:
        """Gives a reservation back unused."""
        self.budget_manager.release(reservation)


def _exhausted(
    budget_name: str, exc: budget.BudgetExhaustedError
) -> web.ApiError:
    # Tokens that others hold may come back; without them, waiting is idle.
    retry = RETRY_SECONDS if exc.elsewhere else None
    return web.ApiError(
        status=429,
        code="insufficient_quota",
        message=f"budget {budget_name!r}: {exc}",
        retry_after=retry,
    )
