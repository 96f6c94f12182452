"""Measures the round trips of commands to control that provide tokens."""

import time

from galenashed.budget import _ports
from galenashed.budget import _round_trips
from galenashed.protocol import control as wire
from galenashed import telemetry

# Grants that take longer are logged: most take a few milliseconds.
SLOW_GRANT_SECONDS = 0.1
# While control is out of reach, grants of every team are slow, and writing
# their lines would take processor time from requests.
LOG_INTERVAL_SECONDS = 1.0


class MeasuredControl:
    """Passes commands on to control and measures how long they take.

    Only commands that requests wait for are measured: those that open grants
    and announce limits.

    Parameters
    ----------
    control : Proposer
        Client that commits commands.
    round_trips : RoundTrips
        Receives the times of sending and of the answers.
    log : DecisionLog
        Receives a line for each grant that is slow or not answered.
    """

    __slots__ = (
        "_control",
        "_left_out",
        "_log",
        "_next_line_at",
        "_round_trips",
    )

    def __init__(
        self,
        *,
        control: _ports.Proposer,
        round_trips: _round_trips.RoundTrips,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
    ):
        self._control = control
        self._round_trips = round_trips
        self._log = log
        self._next_line_at = 0.0
        # Slow grants without a line of their own since the last one.
        self._left_out = 0

    async def propose(
        self, command: wire.Command, *, timeout: float
    ) -> wire.Reply:
        """Returns the committed reply; raises if control is unavailable."""
        if not isinstance(command, wire.OpenGrant | wire.Holding):
            return await self._control.propose(command, timeout=timeout)
        key = object()
        sent_at = time.monotonic()
        self._round_trips.on_sent(key, sent_at)
        try:
            reply = await self._control.propose(command, timeout=timeout)
        except BaseException:
            self._round_trips.on_abandoned(key)
            self._log_grant(command, "unanswered", sent_at)
            raise
        self._round_trips.on_answered(key, time.monotonic())
        self._log_grant(command, type(reply).__name__.lower(), sent_at)
        return reply

    def _log_grant(
        self, command: wire.Command, outcome: str, sent_at: float
    ) -> None:
        """Writes a line about a grant that took long."""
        now = time.monotonic()
        seconds = now - sent_at
        if seconds < SLOW_GRANT_SECONDS:
            return
        if isinstance(command, wire.OpenGrant):
            if now < self._next_line_at:
                self._left_out += 1
                return
            self._next_line_at = now + LOG_INTERVAL_SECONDS
            left_out, self._left_out = self._left_out, 0
            self._log.write(
                "slow grant",
                budget=command.budget,
                grant=command.grant,
                outcome=outcome,
                need=command.need,
                want=command.want,
                after=round(seconds, 3),
                left_out=left_out,
            )
