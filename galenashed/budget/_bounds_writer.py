"""Keeps the bounds on the disk of an entry ahead of its spending."""

import asyncio
import time
import typing

import loguru

from galenashed.budget import _escrow
from galenashed.budget import _ports
from galenashed import telemetry

LOG = loguru.logger

# Bounds are renewed at least this often, which lowers those of grants whose
# reservations were larger than their use.
INTERVAL_SECONDS = 0.5
# A disk that takes longer counts as slow: requests don't wait for it.
SLOW_WRITE_SECONDS = 0.1
# A disk that is slow for this long has stalled.
STALL_SECONDS = 0.4
# Time until the next write after one that has failed.
RETRY_SECONDS = 1.0


class BoundsWriter:
    """Writes the bounds of an escrow's grants, one write at a time.

    While the disk is slow or failing, no further grant becomes bounded by it.
    A slow write may still end soon, but requests should not depend on it, so
    ``on_slow`` is called.  If the disk remains slow, ``on_stalled`` is called
    repeatedly, so that the grants that it bounds can be replaced by others.

    Parameters
    ----------
    escrow : Escrow
        Escrow whose grants are bounded.
    store : BoundsStore
        Disk of this entry.
    waiting : callable
        Returns the tokens that waiting requests need, by budget.
    on_stored : callable
        Called after each write: requests may go on.
    on_slow : callable
        Called once writes take too long or fail.
    on_stalled : callable
        Called while they still do after that.
    """

    __slots__ = (
        "_due",
        "_needs",
        "_on_slow",
        "_on_stalled",
        "_on_stored",
        "_slow_since",
        "_store",
        "_stored",
        "_task",
        "_waiters",
        "_waiting",
        "escrow",
        "is_slow",
    )

    def __init__(
        self,
        *,
        escrow: _escrow.Escrow,
        store: _ports.BoundsStore,
        waiting: typing.Callable[[], dict[str, int]],
        on_stored: typing.Callable[[], None],
        on_slow: typing.Callable[[], None],
        on_stalled: typing.Callable[[], None],
    ):
        self.escrow = escrow
        self.is_slow = False
        self._slow_since = 0.0
        self._store = store
        self._waiting = waiting
        self._on_stored = on_stored
        self._on_slow = on_slow
        self._on_stalled = on_stalled
        self._due = asyncio.Event()
        self._needs: dict[str, int] = {}
        self._stored: dict[str, int] = {}
        self._waiters: list[asyncio.Future] = []
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that writes."""
        self._task = telemetry.start_task(self._run(), "spending bounds")

    async def close(self) -> None:
        """Stops writing; what is stored remains."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def request(self, budget: str, tokens: int = 0) -> None:
        """Asks for bounds that allow so many more tokens to be reserved."""
        self._needs[budget] = max(self._needs.get(budget, 0), tokens)
        self._due.set()

    async def wait(self, timeout: float) -> None:
        """Waits until bounds that were requested before are stored."""
        fut = asyncio.get_running_loop().create_future()
        self._waiters.append(fut)
        await asyncio.wait([fut], timeout=timeout)

    async def _run(self) -> None:
        while True:
            try:
                async with asyncio.timeout(INTERVAL_SECONDS):
                    await self._due.wait()
            except TimeoutError:
                pass
            self._due.clear()
            self._check_stall()
            waiters, self._waiters = self._waiters, []
            bounds = self._plan()
            # A slow disk is tried again even if there is nothing to write.
            if bounds != self._stored or self.is_slow:
                await self._store_bounds(bounds)
            for fut in waiters:
                if not fut.done():
                    fut.set_result(None)
            self._on_stored()

    def _plan(self) -> dict[str, int]:
        needs, self._needs = self._needs, {}
        for budget, tokens in self._waiting().items():
            needs[budget] = needs.get(budget, 0) + tokens
        return self.escrow.plan_bounds(
            needs, time.monotonic(), add=not self.is_slow
        )

    async def _store_bounds(self, bounds: dict[str, int]) -> None:
        started = time.monotonic()
        self.escrow.on_bounds_sent(bounds)
        fut = asyncio.get_running_loop().run_in_executor(
            None, self._store.write, bounds
        )
        done, _ = await asyncio.wait([fut], timeout=SLOW_WRITE_SECONDS)
        if not done:
            self._set_slow(True)
            await asyncio.wait([fut], timeout=STALL_SECONDS)
            self._check_stall()
        try:
            await fut
        except OSError as exc:
            LOG.error("spending bounds can't be written: {}", exc)
            self._set_slow(True)
            await asyncio.sleep(RETRY_SECONDS)
            return
        self._stored = bounds
        self.escrow.on_bounds_stored(bounds)
        self._set_slow(time.monotonic() - started > SLOW_WRITE_SECONDS)

    def _set_slow(self, is_slow: bool) -> None:
        was_slow, self.is_slow = self.is_slow, is_slow
        if is_slow and not was_slow:
            LOG.warning("the disk is slow: spending is not bounded by it")
            self._slow_since = time.monotonic()
            self._on_slow()

    def _check_stall(self) -> None:
        """Reports a disk that has been slow or failing for long."""
        if (
            self.is_slow
            and time.monotonic() - self._slow_since >= STALL_SECONDS
        ):
            self._on_stalled()
