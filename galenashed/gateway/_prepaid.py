"""Prepaid tokens of one request: reserved before it runs, billed after."""

import asyncio
import random
import time

from galenashed import budget
from galenashed import control
from galenashed.gateway import _request
from galenashed.gateway import _token_retry
from galenashed.gateway import _token_wait
from galenashed.protocol import control as wire
from galenashed.protocol import routes as routes_wire
from galenashed import telemetry
from galenashed import web


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
    rng : random.Random
        Spreads the times at which refused requests come back.
    log : DecisionLog
        Receives a line for each refusal, with where the tokens are.
    metrics : Metrics
        Receives how long requests waited for tokens.
    """

    def __init__(
        self,
        *,
        budget_manager: budget.BudgetManager,
        rng: random.Random,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
        metrics: telemetry.Metrics,
    ):
        self.budget_manager = budget_manager
        self.rng = rng
        self.log = log
        self.metrics = metrics
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
        started = time.monotonic()
        try:
            reservation = await self._reserve(request, team, route, needed)
        except (
            TimeoutError,
            control.ControlUnavailableError,
            budget.BudgetExhaustedError,
        ) as exc:
            self._log_shortage(request, team, needed, exc, started)
            raise self._make_error(team, needed, exc) from None
        self.metrics.duration("gateway.token_wait", time.monotonic() - started)
        return PrepaidReservation(
            budget_manager=self.budget_manager,
            reservation=reservation,
            team=team.name,
        )

    async def _reserve(
        self,
        request: _request.Request,
        team: routes_wire.RoutedTeam,
        route: routes_wire.Route,
        needed: int,
    ) -> budget.Reservation:
        """Waits for tokens as long as they can come in time."""
        now = time.monotonic()
        time_limit = request.deadline(route.time_limit)
        wait = _token_wait.longest_wait(
            objective=route.objective,
            time_left=time_limit - now,
            expected=self.budget_manager.round_trips.seconds_until_tokens(now),
        )
        async with asyncio.timeout(wait):
            return await self.budget_manager.reserve(
                team.name,
                needed,
                priority=_find_priority(team, route),
                time_limit=time_limit,
            )

    def _make_error(
        self, team: routes_wire.RoutedTeam, needed: int, exc: Exception
    ) -> web.ApiError:
        """Returns the error of a request that tokens could not be had for."""
        if isinstance(exc, budget.BudgetExhaustedError):
            return self._shortage_error(team, exc)
        if isinstance(exc, control.ControlUnavailableError):
            return self._unavailable_error(
                str(exc), self._until_control_answers(team.name, needed)
            )
        return self._unavailable_error(
            "tokens did not come in time",
            _token_retry.until_granted(self._grant_seconds()),
        )

    def _log_shortage(
        self,
        request: _request.Request,
        team: routes_wire.RoutedTeam,
        needed: int,
        exc: Exception,
        started: float,
    ) -> None:
        """Writes where a team's tokens are, as far as this entry knows."""
        escrow = self.budget_manager.escrow
        fields = {}
        if isinstance(exc, budget.BudgetExhaustedError):
            fields = {
                "free": exc.available,
                "elsewhere": exc.held_elsewhere,
                "silent": exc.held_by_silent,
                "lost": exc.lost,
                "holders": [
                    [share.holder, share.tokens, share.announced]
                    for share in exc.holders
                ],
            }
        self.log.write(
            "tokens lacking",
            request=request.id,
            team=team.name,
            needed=needed,
            prepaid=team.prepaid,
            held=escrow.unspent(team.name),
            announced=escrow.announced(team.name),
            waited=round(time.monotonic() - started, 3),
            grants_take=round(self._grant_seconds(), 3),
            **fields,
        )

    def _grant_seconds(self) -> float:
        """Returns how long a grant that is requested now may take."""
        return self.budget_manager.round_trips.seconds_until_tokens(
            time.monotonic()
        )

    def _until_control_answers(self, team: str, needed: int) -> float:
        """Returns when tokens are expected although control is silent."""
        manager = self.budget_manager
        if manager.control_reachable():
            return _token_retry.until_granted(self._grant_seconds())
        until_lifted = None
        if manager.escrow.unspent(team) >= needed:
            until_lifted = manager.announcer.seconds_until_lifted(
                time.monotonic()
            )
        return _token_retry.until_usable_while_cut_off(until_lifted)

    def _shortage_error(
        self, team: routes_wire.RoutedTeam, exc: budget.BudgetExhaustedError
    ) -> web.ApiError:
        """Returns the error of a request that too few tokens are free for."""
        remaining = exc.available + exc.held_elsewhere
        if remaining - exc.held_by_silent >= exc.needed:
            return self._unavailable_error(
                "other instances hold the tokens",
                _token_retry.until_recalled(self._grant_seconds()),
            )
        if remaining >= exc.needed:
            return self._unavailable_error(
                "instances that are silent hold the tokens",
                _token_retry.SILENT_SECONDS,
            )
        return _exhausted_error(team, exc.needed, remaining)

    def _unavailable_error(self, reason: str, expected: float) -> web.ApiError:
        """Returns the error of a request that has to come back later.

        Tokens are expected in ``expected`` seconds.
        """
        self.last_refused_at = time.monotonic()
        return web.ApiError(
            status=503,
            code="tokens_unavailable",
            message=f"tokens cannot be reserved now: {reason}",
            retry_after=_token_retry.spread(expected, self.rng),
        )


def _exhausted_error(team, needed: int, remaining: int) -> web.ApiError:
    return web.ApiError(
        status=402,
        code="prepaid_exhausted",
        message=f"team {team.name!r}: the request may take {needed} tokens;"
        f" {remaining} of {team.prepaid} are left",
    )


def _find_priority(
    team: routes_wire.RoutedTeam, route: routes_wire.Route
) -> int:
    """Returns the priority of a team's request; lower is more urgent."""
    return route.priority if team.priority is None else team.priority
