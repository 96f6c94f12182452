"""The program that the platform runs on each machine."""

import asyncio
import gc
import logging
import pathlib
import random
import signal
import sys
import time

import uvloop

from galenashed import gateway
from galenashed import node
from galenashed.platform import _ingress
from galenashed.platform import _management
from galenashed.platform import _place
from galenashed.platform import _settings
from galenashed.platform import _targets
from galenashed.protocol import rpc
from galenashed import telemetry
from galenashed import web

SETTINGS_POLL_SECONDS = 2.0
RESOURCES_INTERVAL_SECONDS = 2.0
TRAFFIC_INTERVAL_SECONDS = 10.0
BYTES_PER_MB = 1_000_000
# On shutdown, new requests are still served for DRAIN_DELAY_SHARE of the
# shutdown timeout, while the addresses that callers have cached expire.  The
# requests in flight have the rest of it to finish, less
# SHUTDOWN_MARGIN_SECONDS.
DRAIN_DELAY_SHARE = 0.4
SHUTDOWN_MARGIN_SECONDS = 1.0
# Time for the last bytes of responses to be sent and connections to close.
CLOSE_TIMEOUT_SECONDS = 0.1
# From this long after the signal on, only requests that are sure to finish
# are accepted: the platform tolerates that the stop cuts a request that was
# sent in the first 3 s, and the signal is handled a little after it was sent.
SHORT_ONLY_AFTER_SECONDS = 2.8


class Program:
    """A node with its HTTP servers on the platform.

    Parameters
    ----------
    cfg : Settings
        The platform's settings.
    path : pathlib.Path
        The settings file, from which ``cfg`` is reloaded.
    file_version : tuple of int
        The file's version from before ``cfg`` was read.
    place : Place or None
        The callers' address, if this process holds it already.
    """

    def __init__(
        self,
        *,
        cfg: _settings.Settings,
        path: pathlib.Path,
        file_version: tuple[int, int],
        place: _place.Place | None = None,
    ):
        self.cfg = cfg
        self.path = path
        self._file_version = file_version
        self.log = telemetry.DecisionLog(instance=cfg.node_name)
        self.node_cfg = _settings.make_node_settings(cfg)
        self.metrics = telemetry.InMemoryMetrics()
        self.node = node.Node(
            cfg=self.node_cfg,
            codec=_targets.PlatformTargetCodec(
                peer_key=self.node_cfg.peer_key
            ),
            log=self.log,
            metrics=self.metrics,
            rng=random.Random(),
            place_held_since=None if place is None else place.held_since,
        )
        ingress = _ingress.Ingress(
            gateway=self.node.gateway,
            shedder=self.node.resource_meter.shedder,
            is_draining=lambda: self.node.draining,
            relay_address=self.node_cfg.relay_address,
            peer_key=self.node_cfg.peer_key,
        )
        self._caller_server = web.HttpServer(
            app=ingress,
            address=cfg.listen.front,
            extra_addresses=[self.node_cfg.relay_address],
            limits=_settings.make_caller_limits(cfg),
            metrics=self.metrics,
            report=self._log_ended_clients,
            configured_head_bytes=ingress.head_bytes,
            sock=None if place is None else place.sock,
        )
        self.node.resource_meter.measure_send_queue = (
            self._caller_server.measure_send_queue
        )
        self._management_server = web.HttpServer(
            app=_management.ManagementApi(
                node=self.node,
                discovery_max_age=self.node_cfg.discovery_max_age,
                metrics=self.metrics.render,
            ),
            address=cfg.listen.control,
            extra_addresses=[cfg.listen.directory, cfg.listen.readiness],
            limits=_settings.make_management_limits(cfg),
            metrics=self.metrics,
            report=self._log_ended_clients,
        )
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Starts the node, then its HTTP servers."""
        self.log.start()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.node.start()
        await self._management_server.start()
        await self._caller_server.start()
        self._tasks = [
            telemetry.start_task(self._watch_settings_file(), "settings"),
            telemetry.start_task(self._log_resources(), "resources"),
            telemetry.start_task(self._log_traffic(), "traffic"),
        ]
        # Most objects that exist by now live until exit: exclude them from
        # garbage collections.
        gc.collect()
        gc.freeze()
        gc.enable()

    async def wait_for_failure(self) -> None:
        """Never returns: the node restarts a replica that fails."""
        await self.node.wait_for_failure()

    async def drain(self) -> None:
        """Stops after the requests in flight have finished.

        Those that take longer than the shutdown timeout allows are cut by
        the gateway, before the node closes and settles their bills.
        """
        timeout = self.node_cfg.shutdown_timeout
        now = time.monotonic()
        stop_at = now + timeout - SHUTDOWN_MARGIN_SECONDS
        self.node.begin_drain(
            gateway.PlannedStop(
                short_only_from=now + SHORT_ONLY_AFTER_SECONDS,
                stop_at=stop_at,
            )
        )
        await asyncio.sleep(timeout * DRAIN_DELAY_SHARE)
        try:
            async with asyncio.timeout(
                stop_at + CLOSE_TIMEOUT_SECONDS - time.monotonic()
            ):
                # Other nodes answer operators and targets: what this one
                # acknowledged later might not be spread any more.
                await asyncio.gather(
                    self._caller_server.close(),
                    self._management_server.close(),
                )
        except TimeoutError:
            self.log.write(
                "requests cut at the stop",
                in_flight=self.node.gateway.in_flight,
            )
        await self.node.close()
        self.log.close()

    def reload(self) -> None:
        """Reloads the settings file; only changed seeds take effect."""
        try:
            cfg = _settings.read_settings(self.path)
        except _settings.SettingsError as exc:
            self.log.write("settings not reloaded", reason=str(exc))
            return
        changed = cfg != self.cfg
        self.cfg = cfg
        self.node.apply_settings(_settings.make_node_settings(cfg))
        self.log.write("settings reloaded", changed=changed)

    async def _watch_settings_file(self) -> None:
        while True:
            version = _settings.read_file_version(self.path)
            if version != self._file_version:
                self._file_version = version
                self.reload()
            await asyncio.sleep(SETTINGS_POLL_SECONDS)

    async def _log_resources(self) -> None:
        while True:
            await asyncio.sleep(RESOURCES_INTERVAL_SECONDS)
            self.log.write(
                "resources",
                resident_mb=round(telemetry.resident_bytes() / BYTES_PER_MB),
                connections=self._caller_server.connection_count,
                **self.node.resources(),
            )

    def _log_ended_clients(self, counts: dict[str, int]) -> None:
        self.log.write("clients refused or disconnected", counts=counts)

    async def _log_traffic(self) -> None:
        """Logs the bytes exchanged with other nodes, by kind of message."""
        while True:
            await asyncio.sleep(TRAFFIC_INTERVAL_SECONDS)
            self.log.write(
                "traffic between nodes",
                gossip=self.node.gossip_kind,
                sent=dict(rpc.TRAFFIC.sent),
                received=dict(rpc.TRAFFIC.received),
            )


async def _serve(
    cfg: _settings.Settings,
    path: pathlib.Path,
    file_version: tuple[int, int],
    place: _place.Place | None,
) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    program = Program(
        cfg=cfg, path=path, file_version=file_version, place=place
    )
    await program.start()
    stopped = asyncio.create_task(stop.wait())
    failed = asyncio.create_task(program.wait_for_failure())
    await asyncio.wait({stopped, failed}, return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        await failed
    failed.cancel()
    await program.drain()


def main(place: _place.Place | None = None) -> int:
    """Runs until SIGTERM; returns the exit code.

    ``place`` is the callers' address, if this process holds it already.
    """
    try:
        path = _settings.get_settings_path()
        file_version = _settings.read_file_version(path)
        cfg = _settings.read_settings(path)
    except _settings.SettingsError as exc:
        print(exc, file=sys.stderr)
        return 2
    if place is not None and place.address != cfg.listen.front:
        # The settings were replaced since it was read.
        place.sock.close()
        place = None
    telemetry.configure_logging(
        level="WARNING", format="json", instance=cfg.node_name
    )
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL)
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(cfg, path, file_version, place))
    return 0
