"""The program that the platform starts on each machine."""

import asyncio
import gc
import logging
import pathlib
import random
import signal
import sys

import loguru
import uvloop

from galenashed import node
from galenashed.platform import _ingress
from galenashed.platform import _interfaces
from galenashed.platform import _settings
from galenashed.platform import _targets
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

RELOAD_SECONDS = 2.0
# Of the time to stop: how long callers are still served while their answers
# of where to connect run out, and how long their requests then have to end.
LINGER_SHARE = 0.4
MARGIN_SECONDS = 1.0
MAX_CONNECTIONS = 2000
HEAD_SECONDS = 10.0


class Program:
    """The node with its interfaces on the platform.

    Parameters
    ----------
    cfg : Settings
        The platform's settings.
    path : pathlib.Path
        Where they are read from again.
    """

    def __init__(self, *, cfg: _settings.Settings, path: pathlib.Path):
        self.cfg = cfg
        self.path = path
        self.log = telemetry.DecisionLog(instance=cfg.node_name)
        self.node_cfg = _settings.node_settings(cfg)
        self.metrics = telemetry.ServedMetrics()
        self.served = node.Node(
            cfg=self.node_cfg,
            codec=_targets.PlatformTargetCodec(),
            log=self.log,
            metrics=self.metrics,
            rng=random.Random(),
        )
        self._front = web.HttpServer(
            app=_ingress.Ingress(
                gate=self.served.gateway,
                is_draining=lambda: self.served.draining,
            ),
            address=cfg.listen.front,
            max_connections=MAX_CONNECTIONS,
            head_timeout=HEAD_SECONDS,
        )
        self._inner = web.HttpServer(
            app=_interfaces.Interfaces(
                served=self.served,
                discovery_max_age=self.node_cfg.discovery_max_age,
                metrics=self.metrics.page,
            ),
            address=cfg.listen.control,
            others=[cfg.listen.directory, cfg.listen.readiness],
            max_connections=MAX_CONNECTIONS,
        )
        self._reloader: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the node, then its interfaces."""
        self.log.start()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        await self.served.start()
        await self._inner.start()
        await self._front.start()
        self._reloader = telemetry.start_task(self._watch(), "settings")
        # What is there by now stays for good.
        gc.collect()
        gc.freeze()

    async def wait_failed(self) -> None:
        """Returns never, or raises when the node can't go on."""
        await self.served.wait_failed()

    async def drain(self) -> None:
        """Stops without cutting anything off."""
        allowed = self.node_cfg.shutdown_timeout
        self.served.begin_drain()
        await asyncio.sleep(allowed * LINGER_SHARE)
        left = allowed * (1.0 - LINGER_SHARE) - MARGIN_SECONDS
        try:
            async with asyncio.timeout(left):
                await self._front.close()
        except TimeoutError:
            self.log.write(
                "requests cut at the stop",
                in_flight=self.served.gateway.in_flight,
            )
        await self.served.close()
        self.log.close()

    def reload(self) -> None:
        """Reads the settings again; seeds may have changed."""
        try:
            cfg = _settings.read_settings(self.path)
        except _settings.SettingsError as exc:
            self.log.write("settings not reloaded", reason=str(exc))
            return
        changed = cfg != self.cfg
        self.cfg = cfg
        self.served.set_seeds(_settings.node_settings(cfg))
        self.log.write("settings reloaded", changed=changed)

    async def _watch(self) -> None:
        held = self._stamp()
        while True:
            await asyncio.sleep(RELOAD_SECONDS)
            stamp = self._stamp()
            if stamp != held:
                held = stamp
                self.reload()

    def _stamp(self) -> tuple[int, int]:
        try:
            status = self.path.stat()
        except OSError as exc:
            LOG.warning("settings file can't be looked at: {}", exc)
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)


async def _serve(cfg: _settings.Settings, path: pathlib.Path) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    program = Program(cfg=cfg, path=path)
    await program.start()
    stopped = asyncio.create_task(stop.wait())
    failed = asyncio.create_task(program.wait_failed())
    await asyncio.wait({stopped, failed}, return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        await failed
    failed.cancel()
    await program.drain()


def main() -> int:
    """Runs until SIGTERM; returns the exit code."""
    try:
        path = _settings.settings_path()
        cfg = _settings.read_settings(path)
    except _settings.SettingsError as exc:
        print(exc, file=sys.stderr)
        return 2
    telemetry.configure_logging(
        level="WARNING", format="json", instance=cfg.node_name
    )
    logging.getLogger("uvicorn").setLevel(logging.CRITICAL)
    logging.getLogger("uvicorn.error").setLevel(logging.CRITICAL)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_serve(cfg, path))
    return 0
