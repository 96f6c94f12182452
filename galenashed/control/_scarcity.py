"""Which budgets will soon be used up; does no I/O."""

from galenashed.control import _state
from galenashed import telemetry

# A budget is scarce if it lasts for less than this at its present rate: twice
# as long as entries may be cut off from control.  It is so until it lasts for
# longer than the second one: limits that are raised once stay announced.
SCARCE_SECONDS = 20.0
AMPLE_SECONDS = 30.0
RATE_SECONDS = 5.0


class Scarcity:
    """Measures how fast budgets are used up.

    Times are in seconds, by the clock of the replicated log.

    Example::

        scarcity = Scarcity()
        if scarcity.is_scarce(budget_state, now=12.0):
            ...
    """

    __slots__ = ("_meters", "_scarce")

    def __init__(self) -> None:
        # By budget, the meter and the tokens that it has counted.
        self._meters: dict[str, tuple[telemetry.RateMeter, int]] = {}
        self._scarce: set[str] = set()

    def is_scarce(self, budget_state: _state.BudgetState, now: float) -> bool:
        """Whether a budget lasts for a short time only."""
        billed = budget_state.settled - budget_state.lost
        meter, counted = self._meters.get(
            budget_state.name,
            (telemetry.RateMeter(seconds=RATE_SECONDS), billed),
        )
        meter.add(now, billed - counted)
        self._meters[budget_state.name] = (meter, billed)
        left = budget_state.prepaid - budget_state.settled
        rate = meter.value(now)
        if left < rate * SCARCE_SECONDS:
            self._scarce.add(budget_state.name)
        elif left > rate * AMPLE_SECONDS:
            self._scarce.discard(budget_state.name)
        return budget_state.name in self._scarce
