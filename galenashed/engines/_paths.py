"""Whether this entry has lost its paths to the targets of a service.

An entry that can't connect to any target of a service may itself be cut off
from them, while other entries serve their callers well.  One failing target
proves nothing: it may have crashed, be full, or be silent for a moment.  So
targets of every service are probed with new connections once several have
failed without a success in between, or once nothing at all has arrived from
any target for a time in which requests waited.  Open connections prove
nothing if new ones are refused, as they may live on.  But if a new connection
is neither accepted nor refused while targets are heard on others, it is this
entry or the target that is slow.
"""

import asyncio
import contextlib
import random
import time
import typing

from galenashed import telemetry

# Targets that fail one after the other before the paths are checked.
MIN_FAILED_TARGETS = 2
# Targets of a service that are probed first, and the most that are probed if
# none of these is reached: a few may have crashed together.
FIRST_PROBED_TARGETS = 3
MAX_PROBED_TARGETS = 16
PROBE_SECONDS = 0.3
# Time between two checks, and between those while a path is lost.
MIN_CHECK_INTERVAL_SECONDS = 0.3
LOST_CHECK_INTERVAL_SECONDS = 0.5
# A sound target may be silent for about a second, but not all of them.
MAX_SILENCE_SECONDS = 0.6
SILENCE_CHECK_INTERVAL_SECONDS = 1.0


class Prober(typing.Protocol):
    """Opens connections to targets.

    ``received_at`` is the monotonic time at which bytes last arrived from any
    of them.
    """

    received_at: float

    async def accepts_connections(self, address: str) -> bool:
        """Returns whether an address accepts a new connection."""


class Log(typing.Protocol):
    """Receives a line for each decision."""

    def write(self, event: str, **fields) -> None:
        """Writes a line."""


class KnownTargets(typing.Protocol):
    """Lists the targets."""

    def ready_addresses(
        self, *, with_evacuated: bool = False
    ) -> dict[str, list[str]]:
        """Returns the addresses of the ready targets of each service.

        Those of evacuated failure domains, which get no requests but may
        still run some, are included only on demand.
        """


class Paths:
    """Checks the paths to the targets of each service.

    Parameters
    ----------
    pool : Prober
        Opens the probing connections, and knows when targets were heard.
    targets : KnownTargets
        The targets that may receive requests.
    log : DecisionLog
        Receives a line for each path that is lost or regained.
    metrics : Metrics
        Counts the checks.
    rng : random.Random
        Samples the targets to probe.

    Example::

        paths = Paths(pool=pool, targets=targets, log=log, metrics=metrics,
                      rng=rng)
        await paths.start()
        paths.on_connect_failed("engine-1")
        paths.on_connect_failed("engine-2")
        await paths.check()
        assert "engines" in paths.lost
    """

    def __init__(
        self,
        *,
        pool: Prober,
        targets: KnownTargets,
        log: Log,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ):
        self.pool = pool
        self.targets = targets
        self.log = log
        self.metrics = metrics
        self.rng = rng
        # Services of which no target can be reached.
        self.lost: frozenset[str] = frozenset()
        # Whether that holds for all services, and for several targets.
        self.isolated = False
        # Called after :attr:`lost` has changed.
        self.on_change: typing.Callable[[], None] = lambda: None
        self._failed: set[str] = set()
        self._check: asyncio.Task | None = None
        self._checked_at = float("-inf")
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that checks paths when there is a reason."""
        self._task = telemetry.start_task(self._run(), "paths")

    async def close(self) -> None:
        """Stops the task."""
        for task in (self._task, self._check):
            if task is not None:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

    def on_connected(self) -> None:
        """Notes that a new connection to a target was opened."""
        self._failed.clear()

    def on_connect_failed(self, target: str) -> None:
        """Notes that a target could not be connected to."""
        self._failed.add(target)
        if len(self._failed) >= MIN_FAILED_TARGETS:
            self._wake.set()

    def check_silence(self, waiting_since: float | None, now: float) -> None:
        """Has the paths checked if no target is heard although one should be.

        ``waiting_since`` is when the oldest request under way was sent.
        """
        if waiting_since is None:
            return
        quiet_since = max(waiting_since, self.pool.received_at)
        if (
            now - quiet_since > MAX_SILENCE_SECONDS
            and now - self._checked_at > SILENCE_CHECK_INTERVAL_SECONDS
        ):
            self._wake.set()

    async def check(
        self, *, max_age: float = MIN_CHECK_INTERVAL_SECONDS
    ) -> None:
        """Checks all paths, unless that was done ``max_age`` seconds ago."""
        if self._check is None or self._check.done():
            if time.monotonic() - self._checked_at < max_age:
                return
            self._check = asyncio.create_task(
                self._check_all(), name="path check"
            )
        await asyncio.shield(self._check)

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(
                    LOST_CHECK_INTERVAL_SECONDS if self.lost else None
                ):
                    await self._wake.wait()
            self._wake.clear()
            await self.check()
            await asyncio.sleep(MIN_CHECK_INTERVAL_SECONDS)

    async def _check_all(self) -> None:
        self.metrics.count("paths.checks")
        services = self.targets.ready_addresses()
        reached = await asyncio.gather(
            *[self._reaches_any(addresses) for addresses in services.values()]
        )
        lost = frozenset(
            service
            for service, reaches in zip(services, reached, strict=True)
            if not reaches
        )
        self._checked_at = time.monotonic()
        self._failed.clear()
        target_count = sum(map(len, services.values()))
        self.isolated = len(lost) == len(services) and target_count > 1
        if lost == self.lost:
            return
        self.log.write(
            "paths changed",
            lost=sorted(lost),
            before=sorted(self.lost),
            services=len(services),
            heard=round(self._checked_at - self.pool.received_at, 3),
        )
        self.lost = lost
        # The task may be waiting without a timeout.
        self._wake.set()
        self.on_change()

    async def _reaches_any(self, addresses: list[str]) -> bool:
        """Returns whether targets at a sample of addresses are in reach."""
        sample = self.rng.sample(
            addresses, min(MAX_PROBED_TARGETS, len(addresses))
        )
        first = sample[:FIRST_PROBED_TARGETS]
        others = sample[FIRST_PROBED_TARGETS:]
        return await self._probe(first) or await self._probe(others)

    async def _probe(self, addresses: list[str]) -> bool:
        """Returns whether targets at the addresses are in reach.

        One accepts a connection, or does not answer although bytes have
        arrived from targets since.
        """
        started = time.monotonic()
        probes = [
            asyncio.create_task(self.pool.accepts_connections(address))
            for address in addresses
        ]
        try:
            for probe in asyncio.as_completed(probes, timeout=PROBE_SECONDS):
                if await probe:
                    return True
        except TimeoutError:
            return self.pool.received_at >= started
        finally:
            for probe_task in probes:
                probe_task.cancel()
        return False
