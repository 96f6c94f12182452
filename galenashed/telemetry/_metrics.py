"""Metrics sent to statsd; ``docs/METRICS.md`` lists their names."""

import typing

import statsd


class Metrics(typing.Protocol):
    """Interface for recording counters, durations and gauges."""

    def count(self, name: str, value: int = 1) -> None:
        """Adds a value to a counter."""

    def duration(self, name: str, seconds: float) -> None:
        """Records a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""


class NullMetrics:
    """Metrics that discard all records."""

    def count(self, name: str, value: int = 1) -> None:
        """See :class:`Metrics`."""

    def duration(self, name: str, seconds: float) -> None:
        """See :class:`Metrics`."""

    def gauge(self, name: str, value: float) -> None:
        """See :class:`Metrics`."""


class StatsdMetrics:
    """Sends each record to a statsd server in a UDP datagram."""

    def __init__(self, *, host: str, port: int, prefix: str):
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def count(self, name: str, value: int = 1) -> None:
        """See :class:`Metrics`."""
        self._client.incr(name, value)

    def duration(self, name: str, seconds: float) -> None:
        """See :class:`Metrics`."""
        self._client.timing(name, seconds * 1000.0)

    def gauge(self, name: str, value: float) -> None:
        """See :class:`Metrics`."""
        self._client.gauge(name, value)


def open_metrics(address: str, prefix: str) -> Metrics:
    """Returns metrics that are sent to the statsd server at ``ip:port``.

    With an empty address, records are discarded.
    """
    if not address:
        return NullMetrics()
    host, _, port = address.rpartition(":")
    return StatsdMetrics(host=host, port=int(port), prefix=prefix)
