"""Logging, the decision log, metrics, and the usage of resources."""

from galenashed.telemetry._decisions import DecisionLog
from galenashed.telemetry._decisions import NullDecisionLog
from galenashed.telemetry._descriptors import open_descriptors
from galenashed.telemetry._in_memory import InMemoryMetrics
from galenashed.telemetry._logs import configure_logging
from galenashed.telemetry._memory import resident_bytes
from galenashed.telemetry._metrics import Metrics
from galenashed.telemetry._metrics import NullMetrics
from galenashed.telemetry._metrics import open_metrics
from galenashed.telemetry._processor import processor_seconds
from galenashed.telemetry._processor import ProcessorMeter
from galenashed.telemetry._rates import RateMeter
from galenashed.telemetry._tasks import start_task

__all__ = [
    "DecisionLog",
    "InMemoryMetrics",
    "Metrics",
    "NullDecisionLog",
    "NullMetrics",
    "ProcessorMeter",
    "RateMeter",
    "configure_logging",
    "open_descriptors",
    "open_metrics",
    "processor_seconds",
    "resident_bytes",
    "start_task",
]
