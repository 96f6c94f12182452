"""Measures the round trips of commands to control that provide tokens."""

import time

from galenashed.budget import _ports
from galenashed.budget import _round_trips
from galenashed.protocol import control as wire


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
    """

    __slots__ = ("_control", "_round_trips")

    def __init__(
        self,
        *,
        control: _ports.Proposer,
        round_trips: _round_trips.RoundTrips,
    ):
        self._control = control
        self._round_trips = round_trips

    async def propose(
        self, command: wire.Command, *, timeout: float
    ) -> wire.Reply:
        """Returns the committed reply; raises if control is unavailable."""
        if not isinstance(command, wire.OpenGrant | wire.Holding):
            return await self._control.propose(command, timeout=timeout)
        key = object()
        self._round_trips.on_sent(key, time.monotonic())
        try:
            reply = await self._control.propose(command, timeout=timeout)
        except BaseException:
            self._round_trips.on_abandoned(key)
            raise
        self._round_trips.on_answered(key, time.monotonic())
        return reply
