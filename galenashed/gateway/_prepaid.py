"""Prepaid tokens of one request: reserved before it runs, billed after."""

import asyncio
import time

from galenashed import budget
from galenashed import control
from galenashed.gateway import _request
from galenashed.gateway import _token_wait
from galenashed.protocol import control as wire
from galenashed.protocol import routes as routes_wire
from galenashed import web

# Retry-After of refusals: almost at once if only this entry cannot reach the
# control service, since another entry can serve the request; otherwise long
# enough for a recall to finish.
RETRY_OTHER_ENTRY_SECONDS = 0.1
RETRY_AFTER_SECONDS = 0.5
# The same if instances hold the tokens that control does not hear: they come
# back once such an instance has started again, or has been silent for long.
RETRY_SILENT_SECONDS = 2.0


class PrepaidReservation:
    """The tokens reserved for one request; billed or released exactly once.

    ``may_have_run`` is set once a target may have processed the prompt;
    ``event_count`` is the number of events that the caller was sent.
    """

    __slots__ = (
        "_budget_manager",
        "_reservation",
        "_team",
        "event_count",
        "may_have_run",
    )

    def __init__(self, *, budget_manager, reservation, team: str):
        self._budget_manager: budget.BudgetManager = budget_manager
        self._reservation: budget.Reservation | None = reservation
        self._team = team
        self.may_have_run = False
        self.event_count = 0

    @property
    def tokens(self) -> int:
        """The tokens that are reserved now."""
        return 0 if self._reservation is None else self._reservation.tokens

    def close(self, request: _request.Request, tokens_per_event: int) -> None:
        """Bills the tokens used; a request that did not run is free."""
        reservation, self._reservation = self._reservation, None
        if reservation is None:
            return
        if not self.may_have_run:
            self._budget_manager.release(reservation)
            return
        assert request.usage is not None
        output = min(
            request.usage.max_output, self.event_count * tokens_per_event
        )
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


class PrepaidReserver:
    """Reserves tokens for requests at the budget manager.

    Parameters
    ----------
    budget_manager : BudgetManager
        Holds the token grants of this entry.
    """

    def __init__(self, *, budget_manager: budget.BudgetManager):
        self.budget_manager = budget_manager
        # Monotonic time of the last refusal for a temporary lack of tokens.
        self.last_refused_at = float("-inf")

    async def open(
        self,
        request: _request.Request,
        team: routes_wire.RoutedTeam | None,
        route: routes_wire.Route,
    ) -> PrepaidReservation:
        """Reserves the most tokens that a request may use.

        Raises ApiError if they are not available.
        """
        if team is None or team.prepaid is None or request.usage is None:
            return PrepaidReservation(
                budget_manager=self.budget_manager, reservation=None, team=""
            )
        needed = request.usage.prompt + request.usage.max_output
        if needed > team.prepaid:
            raise _exhausted_error(team, needed, team.prepaid)
        now = time.monotonic()
        wait = _token_wait.longest_wait(
            objective=route.objective,
            time_left=request.deadline(route.time_limit) - now,
            expected=self.budget_manager.round_trips.seconds_until_tokens(now),
        )
        try:
            async with asyncio.timeout(wait):
                reservation = await self.budget_manager.reserve(
                    team.name, needed
                )
        except TimeoutError:
            raise self._unavailable_error(
                "tokens did not come in time", RETRY_AFTER_SECONDS
            ) from None
        except control.ControlUnavailableError as exc:
            raise self._unavailable_error(
                str(exc), RETRY_OTHER_ENTRY_SECONDS
            ) from None
        except budget.BudgetExhaustedError as exc:
            remaining = exc.available + exc.held_elsewhere
            if remaining - exc.held_by_silent >= needed:
                raise self._unavailable_error(
                    "other instances hold the tokens", RETRY_AFTER_SECONDS
                ) from None
            if remaining >= needed:
                raise self._unavailable_error(
                    "instances that are silent hold the tokens",
                    RETRY_SILENT_SECONDS,
                ) from None
            raise _exhausted_error(team, needed, remaining) from None
        return PrepaidReservation(
            budget_manager=self.budget_manager,
            reservation=reservation,
            team=team.name,
        )

    def _unavailable_error(
        self, reason: str, retry_after: float
    ) -> web.ApiError:
        self.last_refused_at = time.monotonic()
        return web.ApiError(
            status=503,
            code="tokens_unavailable",
            message=f"tokens cannot be reserved now: {reason}",
            retry_after=retry_after,
        )


def _exhausted_error(team, needed: int, remaining: int) -> web.ApiError:
    return web.ApiError(
        status=402,
        code="prepaid_exhausted",
        message=f"team {team.name!r}: the request may take {needed} tokens;"
        f" {remaining} of {team.prepaid} are left",
    )
