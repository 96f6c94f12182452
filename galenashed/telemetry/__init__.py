"""Logs by ``loguru`` and metrics by ``statsd``."""

from galenashed.telemetry._logs import set_up_logs
from galenashed.telemetry._metrics import Metrics
from galenashed.telemetry._metrics import NullMetrics
from galenashed.telemetry._metrics import open_metrics

__all__ = ["Metrics", "NullMetrics", "open_metrics", "set_up_logs"]
