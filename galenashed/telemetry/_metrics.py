"""Metrics by statsd; ``docs/METRICS.md`` lists their names."""

import typing

import statsd


class Metrics(typing.Protocol):
    """Counts, durations and levels."""

    def count(self, name: str, value: int = 1) -> None:
        """Adds to a counter."""

    def duration(self, name: str, seconds: float) -> None:
        """Records a duration."""

    def level(self, name: str, value: float) -> None:
        """Records a level."""


class NullMetrics:
    """Records nothing."""

    def count(self, name: str, value: int = 1) -> None:
        """See :class:`Metrics`."""

    def duration(self, name: str, seconds: float) -> None:
        """See :class:`Metrics`."""

    def level(self, name: str, value: float) -> None:
        """See :class:`Metrics`."""


class StatsdMetrics:
    """Sends each record as a UDP datagram to a statsd server."""

    def __init__(self, *, host: str, port: int, prefix: str):
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """See :class:`Metrics`."""
        self._client.incr(name, value)

    def duration(self, name: str, seconds: float) -> None:
        """See :class:`Metrics`."""
        self._client.timing(name, seconds * 1000.0)

    def level(self, name: str, value: float) -> None:
        """See :class:`Metrics`."""
        self._client.gauge(name, value)


def open_metrics(address: str, prefix: str) -> Metrics:
    """Returns metrics for ``ip:port``; an empty address records nothing."""
    if not address:
        return NullMetrics()
    host, _, port = address.rpartition(":")
    return StatsdMetrics(host=host, port=int(port), prefix=prefix)
