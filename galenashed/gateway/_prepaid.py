"""Prepaid tokens of one request: set aside before it runs, billed after."""

import asyncio
import time

from galenashed import budget
from galenashed import control
from galenashed.gateway import _request
from galenashed.protocol import control as wire
from galenashed.protocol import routes as routes_wire
from galenashed import web

# Of the time within which an answer is worth most, the part that a request
# may wait for tokens that other entries give back: a recall and a grant take
# 150 to 200 ms, the shortest objectives of the pages are 400 to 600 ms.
WAIT_SHARE = 0.4
# When a refused caller should come back: at once if this entry alone is cut
# off, for another one serves it; otherwise once a recall has had its time.
ELSEWHERE_SECONDS = 0.1
RETRY_SECONDS = 0.5


class Account:
    """What one request has set aside; ends exactly once.

    ``ran`` is set once a target may have read the prompt.
    """

    __slots__ = ("_budget_manager", "_reservation", "_team", "events", "ran")

    def __init__(self, *, budget_manager, reservation, team: str):
        self._budget_manager: budget.BudgetManager = budget_manager
        self._reservation: budget.Reservation | None = reservation
        self._team = team
        self.ran = False
        self.events = 0

    @property
    def tokens(self) -> int:
        """What is set aside now."""
        return 0 if self._reservation is None else self._reservation.tokens

    def close(self, request: _request.Request, per_event: int) -> None:
        """Bills what was used; a request that did not run costs nothing."""
        reservation, self._reservation = self._reservation, None
        if reservation is None:
            return
        if not self.ran:
            self._budget_manager.release(reservation)
            return
        assert request.usage is not None
        output = min(request.usage.max_output, self.events * per_event)
        draft = wire.Bill(
            id=request.id,
            team=self._team,
            budget=reservation.budget,
            subject=request.path,
            attempt=request.id,
            keyed=False,
            prompt_tokens=request.usage.prompt,
            output_tokens=output,
            parts=[],
        )
        self._budget_manager.bill(reservation, draft)


class PrepaidAccounts:
    """Opens accounts of requests at the budget manager.

    Parameters
    ----------
    budget_manager : BudgetManager
        Holds this entry's grants.
    """

    def __init__(self, *, budget_manager: budget.BudgetManager):
        self.budget_manager = budget_manager
        # When a request was last refused for want of tokens that may come,
        # on the monotonic clock.
        self.shortage_at = float("-inf")

    async def open(
        self,
        request: _request.Request,
        team: routes_wire.KeyedTeam | None,
        objective: float,
    ) -> Account:
        """Sets aside the most that a request may use; raises ApiError."""
        if team is None or team.prepaid is None or request.usage is None:
            return Account(
                budget_manager=self.budget_manager, reservation=None, team=""
            )
        need = request.usage.prompt + request.usage.max_output
        if need > team.prepaid:
            raise _exhausted(team, need, team.prepaid)
        try:
            async with asyncio.timeout(objective * WAIT_SHARE):
                reservation = await self.budget_manager.reserve(
                    team.name, need
                )
        except TimeoutError:
            raise self._not_now(
                "tokens did not come in time", RETRY_SECONDS
            ) from None
        except control.ControlUnavailableError as exc:
            raise self._not_now(str(exc), ELSEWHERE_SECONDS) from None
        except budget.BudgetExhaustedError as exc:
            if exc.available + exc.elsewhere >= need:
                raise self._not_now(
                    "other entries hold the tokens", RETRY_SECONDS
                ) from None
            left = exc.available + exc.elsewhere
            raise _exhausted(team, need, left) from None
        return Account(
            budget_manager=self.budget_manager,
            reservation=reservation,
            team=team.name,
        )

    def _not_now(self, reason: str, retry_after: float) -> web.ApiError:
        self.shortage_at = time.monotonic()
        return web.ApiError(
            status=503,
            code="tokens_unavailable",
            message=f"tokens can't be set aside now: {reason}",
            retry_after=retry_after,
        )


def _exhausted(team, need: int, left: int) -> web.ApiError:
    return web.ApiError(
        status=402,
        code="prepaid_exhausted",
        message=f"team {team.name!r}: the request may take {need} tokens;"
        f" {left} of {team.prepaid} are left",
    )
