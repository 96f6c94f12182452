"""Logs by ``loguru`` and metrics by ``statsd``."""

from galenashed.telemetry._logs import set_up_logs
from galenashed.telemetry._metrics import Metrics
from galenashed.telemetry._metrics import NullMetrics
from galenashed.telemetry._metrics import open_metrics
from galenashed.telemetry._tasks import start_task

__all__ = [
    "Metrics",
    "NullMetrics",
    "open_metrics",
    "set_up_logs",
    "start_task",
]
