"""Counters and latency histograms, served as a page of text."""

import hdrh.histogram

# Milliseconds that a histogram covers, and its precision in digits.
LEAST_MS = 1
MOST_MS = 120_000
DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)


class ServedMetrics:
    """Keeps counts, levels and durations for whoever fetches the page.

    Example::

        metrics = ServedMetrics()
        metrics.count("gateway.sent_again")
        metrics.duration("gateway.stream", 0.25)
        page = metrics.page()
    """

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._levels: dict[str, float] = {}
        self._durations: dict[str, hdrh.histogram.HdrHistogram] = {}

    def count(self, name: str, value: int = 1) -> None:
        """See :class:`Metrics`."""
        self._counts[name] = self._counts.get(name, 0) + value

    def level(self, name: str, value: float) -> None:
        """See :class:`Metrics`."""
        self._levels[name] = value

    def duration(self, name: str, seconds: float) -> None:
        """See :class:`Metrics`."""
        held = self._durations.get(name)
        if held is None:
            held = hdrh.histogram.HdrHistogram(LEAST_MS, MOST_MS, DIGITS)
            self._durations[name] = held
        held.record_value(min(MOST_MS, max(LEAST_MS, round(seconds * 1000))))

    def page(self) -> bytes:
        """Returns one line a figure, names with underscores."""
        lines = [
            f"galenashed_{_name(name)}_total {value}"
            for name, value in sorted(self._counts.items())
        ]
        lines += [
            f"galenashed_{_name(name)} {value}"
            for name, value in sorted(self._levels.items())
        ]
        for name, held in sorted(self._durations.items()):
            base = f"galenashed_{_name(name)}_ms"
            for quantile in QUANTILES:
                value = held.get_value_at_percentile(quantile)
                lines.append(f'{base}{{quantile="{quantile / 100}"}} {value}')
            lines.append(f"{base}_count {held.get_total_count()}")
        return ("\n".join(lines) + "\n").encode()


def _name(name: str) -> str:
    return "".join(c if c.isalnum() else "_" for c in name)
