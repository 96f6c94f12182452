"""Counters, gauges and duration histograms, served as a text page."""

import hdrh.histogram

# Range and precision of the histograms; durations are clamped to the range.
MIN_DURATION_MS = 1
MAX_DURATION_MS = 120_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)


class InMemoryMetrics:
    """Keeps metrics in memory and renders them as a text page.

    Example::

        metrics = InMemoryMetrics()
        metrics.count("gateway.sent_again")
        metrics.duration("gateway.stream", 0.25)
        page = metrics.render()
    """

    def __init__(self) -> None:
        self._counters: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._durations: dict[str, hdrh.histogram.HdrHistogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """See :class:`Metrics`."""
        self._counters[name] = self._counters.get(name, 0) + value

    def gauge(self, name: str, value: float) -> None:
        """See :class:`Metrics`."""
        self._gauges[name] = value

    def duration(self, name: str, seconds: float) -> None:
        """See :class:`Metrics`."""
        histogram = self._durations.get(name)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                MIN_DURATION_MS, MAX_DURATION_MS, SIGNIFICANT_DIGITS
            )
            self._durations[name] = histogram
        histogram.record_value(
            min(MAX_DURATION_MS, max(MIN_DURATION_MS, round(seconds * 1000)))
        )

    def render(self) -> bytes:
        """Returns one line per value, with underscores in the names."""
        lines = [
            f"galenashed_{_metric_name(name)}_total {value}"
            for name, value in sorted(self._counters.items())
        ]
        lines += [
            f"galenashed_{_metric_name(name)} {value}"
            for name, value in sorted(self._gauges.items())
        ]
        for name, histogram in sorted(self._durations.items()):
            base = f"galenashed_{_metric_name(name)}_ms"
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                lines.append(
                    f'{base}{{quantile="{percentile / 100}"}} {value}'
                )
            lines.append(f"{base}_count {histogram.get_total_count()}")
        return ("\n".join(lines) + "\n").encode()


def _metric_name(name: str) -> str:
    return "".join(c if c.isalnum() else "_" for c in name)
