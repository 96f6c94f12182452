"""Measures what this process uses of its machine's resources."""

import random
import time
import typing

from galenashed import gateway
from galenashed.node import _settings
from galenashed.protocol import rpc
from galenashed import telemetry
from galenashed import web

# Interval between counts of the descriptors, which take time for each one.
DESCRIPTORS_INTERVAL_SECONDS = 1.0
LOG_INTERVAL_SECONDS = 1.0


class ResourceMeter:
    """Measures the resources and has requests refused before they run out.

    Parameters
    ----------
    cfg : NodeSettings
        Settings with the limits of the process.
    log : DecisionLog
        Receives at most a line a second while requests are refused.
    metrics : Metrics
        Receives counts of refusals, and how far ahead the link is charged.
    rng : random.Random
        Spreads the times after which refused callers come back.
    """

    def __init__(
        self,
        *,
        cfg: _settings.NodeSettings,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ):
        self.log = log
        self.metrics = metrics
        self.processor = telemetry.ProcessorMeter()
        self.limits = gateway.Limits(
            link=cfg.link_bytes_per_second,
            memory=cfg.memory_bytes,
            descriptors=cfg.max_descriptors,
        )
        self.shedder = gateway.LoadShedder(
            limits=self.limits, metrics=metrics, rng=rng
        )
        # Measures the send buffers to callers; set by the program.
        self.measure_send_queue: typing.Callable[[float], web.SendQueue] = (
            lambda now: web.SendQueue()
        )
        self._descriptors = 0
        self._next_descriptors_at = 0.0
        self._next_log_at = 0.0
        self._logged_refusals: dict[str, int] = {}

    def cores_used(self) -> float:
        """Returns the processor time in use, in seconds per second."""
        return self.processor.cores_used(now=time.monotonic())

    def announced(self) -> dict[str, typing.Any]:
        """Returns the fields of an announcement for limits and their use."""
        limits, shedder = self.limits, self.shedder
        return {
            "link": limits.link,
            "link_used": round(shedder.link_used) if limits.link else 0.0,
            "memory": limits.memory,
            "memory_used": shedder.memory_used if limits.memory else 0,
            "descriptors": limits.descriptors,
            "descriptors_used": (
                shedder.descriptors_used if limits.descriptors else 0
            ),
        }

    def update(self, now: float) -> None:
        """Measures what is in use; to be called a few times a second."""
        if not any(self.limits):
            return
        if now >= self._next_descriptors_at:
            self._next_descriptors_at = now + DESCRIPTORS_INTERVAL_SECONDS
            self._descriptors = telemetry.open_descriptors()
        queue = self.measure_send_queue(now)
        self.shedder.update(
            gateway.Sample(
                memory=telemetry.resident_bytes(),
                descriptors=self._descriptors,
                received_otherwise=rpc.TRAFFIC.received.total(),
                sent_otherwise=rpc.TRAFFIC.sent.total(),
                waiting_bytes=queue.waiting_bytes,
                blocked=queue.blocked,
            ),
            now,
        )
        if self.limits.link:
            self.metrics.duration(
                "gateway.link_queue", self.shedder.charged / self.limits.link
            )
        self._log_refusals(queue, now)

    def _log_refusals(self, queue: web.SendQueue, now: float) -> None:
        if now < self._next_log_at:
            return
        self._next_log_at = now + LOG_INTERVAL_SECONDS
        refused = self.shedder.refused
        news = {
            resource: count - self._logged_refusals.get(resource, 0)
            for resource, count in refused.items()
            if count != self._logged_refusals.get(resource, 0)
        }
        if not news:
            return
        self._logged_refusals = dict(refused)
        self.log.write(
            "load shed",
            refused=news,
            running=self.shedder.running,
            link_used=round(self.shedder.link_used),
            capacity=round(self.shedder.capacity),
            charged=round(self.shedder.charged),
            waiting=queue.waiting_bytes,
            blocked=queue.blocked,
            memory=self.shedder.memory_used,
            descriptors=self.shedder.descriptors_used,
        )
