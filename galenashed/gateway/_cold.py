"""Which targets are cold, and what this entry may send them.

A target is cold until the time that its heartbeat names.  It also counts as
cold after its address has refused a connection, as it may have started again
without that this entry has heard of it, and after the evacuation of its
failure domain has ended.  The work of a choice does not grow with the number
of warm targets.
"""

import typing

from galenashed.protocol import gossip as wire
from galenashed.protocol import routes as routes_wire
from galenashed import routing
from galenashed import telemetry

# Between the clock of this entry and that of the one that had the heartbeat.
MAX_CLOCK_DIFFERENCE_SECONDS = 1.0
# Time left of a period while the time of day is not known.
UNKNOWN_SECONDS = 1.0
# From the start of a target until this entry has its first heartbeat.
MAX_REPORT_DELAY_SECONDS = 3.0


class Known(typing.Protocol):
    """A target with its newest announcement."""

    @property
    def announced(self) -> wire.Target: ...

    @property
    def incarnation_name(self) -> str: ...


class _Period:
    """The cold period of a target's incarnation.

    ``announced_end`` is the Unix time that its heartbeats name, 0 for none;
    ``presumed_end``, on the monotonic clock, is set without a heartbeat.
    ``told_at_sequence`` is the number of the last heartbeat before that.
    """

    __slots__ = (
        "announced_end",
        "logged",
        "presumed_end",
        "service",
        "told_at_sequence",
    )

    def __init__(self, *, service: str):
        self.service = service
        self.announced_end = 0
        self.presumed_end = float("-inf")
        self.told_at_sequence = -1
        self.logged = False


class ColdTargets:
    """The cold targets of all services.

    Parameters
    ----------
    limits : ColdLimits
        The parts of the targets' rates that this entry may use.
    """

    def __init__(self, *, limits: routing.ColdLimits):
        self.limits = limits
        self.log: telemetry.DecisionLog | telemetry.NullDecisionLog = (
            telemetry.NullDecisionLog()
        )
        self.metrics: telemetry.Metrics = telemetry.NullMetrics()
        # Unix time less the time of the monotonic clock, None before both
        # are known.
        self._unix_offset: float | None = None
        self._services: dict[str, routes_wire.RoutedService] = {}
        # By the name of the incarnation.
        self._periods: dict[str, _Period] = {}

    def attach(
        self,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
        metrics: telemetry.Metrics,
    ) -> None:
        """Sets where changes are logged and requests are counted."""
        self.log = log
        self.metrics = metrics

    def apply_services(
        self, services: typing.Iterable[routes_wire.RoutedService]
    ) -> None:
        """Applies the services of a routing table."""
        self._services = {
            service.name: service
            for service in services
            if service.cold_seconds > 0 and service.cold_rate > 0
        }

    def set_entries(
        self,
        entries: typing.Iterable[wire.Instance],
        *,
        in_contact: bool,
        now: float,
        unix_now: float,
    ) -> None:
        """Sets the entries that are alive, this one included, and the time.

        ``in_contact`` tells whether this entry has contact with control.
        """
        self._unix_offset = unix_now - now
        self.limits.set_entries(entries, in_contact=in_contact, now=now)
        for name in list(self._periods):
            self._end_if_over(name, now)

    def on_announced(self, announced: wire.Target) -> None:
        """Applies an announcement that is newer than those before."""
        if announced.cold_until is None:
            return
        name = f"{announced.name}/{announced.incarnation}"
        period = self._periods.get(name)
        if period is None:
            if not announced.cold_until:
                return
            period = self._periods[name] = _Period(service=announced.service)
        period.service = announced.service
        period.announced_end = announced.cold_until
        if announced.sequence > period.told_at_sequence >= 0:
            period.presumed_end = float("-inf")

    def presume(self, targets: typing.Iterable[Known], now: float) -> None:
        """Has targets count as cold until their next heartbeat tells more.

        At the latest, that is until they would be warm had they started now.
        """
        for target in targets:
            service = self._services.get(target.announced.service)
            if service is not None:
                period = self._presume(target, now + service.cold_seconds)
                period.told_at_sequence = target.announced.sequence

    def on_refused(self, target: Known, now: float) -> None:
        """Notes that the address of a target refuses connections.

        Heartbeats of its incarnation tell nothing about the next one.
        """
        service = self._services.get(target.announced.service)
        if service is not None:
            seconds = MAX_REPORT_DELAY_SECONDS + service.cold_seconds
            self._presume(target, now + seconds).told_at_sequence = -1

    def _presume(self, target: Known, end: float) -> _Period:
        period = self._periods.setdefault(
            target.incarnation_name,
            _Period(service=target.announced.service),
        )
        period.presumed_end = max(period.presumed_end, end)
        return period

    def _seconds_left(self, period: _Period, now: float) -> float:
        left = period.presumed_end - now
        if not period.announced_end:
            return left
        if self._unix_offset is None:
            # This entry has just started.
            return max(left, UNKNOWN_SECONDS)
        end = period.announced_end + MAX_CLOCK_DIFFERENCE_SECONDS
        return max(left, end - self._unix_offset - now)

    def _end_if_over(self, name: str, now: float) -> None:
        period = self._periods[name]
        left = self._seconds_left(period, now)
        if left <= 0.0:
            del self._periods[name]
            self.limits.forget(name)
            if period.logged:
                self.log.write("target warm", target=name)
        elif not period.logged and period.service in self._services:
            period.logged = True
            self.metrics.count("cold.periods")
            self.log.write(
                "target cold",
                target=name,
                left=round(left, 3),
                announced=bool(period.announced_end),
            )

    def _rate(self, name: str, now: float) -> float | None:
        """Returns the rate of a target that is cold, else None."""
        period = self._periods.get(name)
        if period is None:
            return None
        service = self._services.get(period.service)
        if service is None or self._seconds_left(period, now) <= 0.0:
            return None
        return service.cold_rate

    def cold(self, service: str, now: float) -> set[str]:
        """Returns a service's targets that are cold, by incarnation."""
        return {
            name
            for name, period in self._periods.items()
            if period.service == service and self._rate(name, now) is not None
        }

    def exhausted(self, service: str, now: float) -> set[str]:
        """Returns those to which this entry must not send now."""
        return {
            name
            for name, period in self._periods.items()
            if period.service == service
            and (rate := self._rate(name, now)) is not None
            and not self.limits.may_send(name, rate, now)
        }

    def wait_seconds(self, name: str, now: float) -> float:
        """Returns the time until this entry may send a target a request."""
        rate = self._rate(name, now)
        if rate is None:
            return 0.0
        left = self._seconds_left(self._periods[name], now)
        return min(left, self.limits.wait_seconds(name, rate, now))

    def on_send(self, name: str, now: float) -> None:
        """Records a request to a target."""
        if name in self._periods:
            self.limits.on_send(name, now)
            self.metrics.count("cold.sent")

    def explain_refusal(
        self, service: str, seconds: float, now: float
    ) -> str | None:
        """Records that a request is refused for some seconds.

        Returns the reason if cold targets at their limit are one.
        """
        if not self.exhausted(service, now):
            return None
        self.metrics.count("cold.limited")
        self.metrics.duration("cold.wait", seconds)
        return "the targets that are left are cold and at their limit"
