"""Hands requests to targets as these have room."""

import asyncio
import contextlib
import time
import typing

from galenashed import engines
from galenashed.entry import _configuration
from galenashed import membership
from galenashed.protocol import control as control_wire
from galenashed.protocol import spread as wire
from galenashed import routing
from galenashed import telemetry
from galenashed import web

RETRY_SECONDS = 1.0
EXPIRE_SECONDS = 0.5
PAUSE_SECONDS = 0.5


class Slot:
    """The right to run one request at one target; ends exactly once."""

    __slots__ = ("_dispatcher", "_done", "on_silent", "stats", "suspect")

    def __init__(self, *, dispatcher, stats, suspect: bool):
        self._dispatcher = dispatcher
        self._done = False
        self.stats = stats
        self.suspect = suspect
        # Called now and then while the target's lease has run out.
        self.on_silent: typing.Callable[[], None] | None = None

    @property
    def target(self) -> wire.Target:
        return self.stats.announced

    def end(self, *, failed: bool = False) -> None:
        """Gives the place back; a second call does nothing."""
        if not self._done:
            self._done = True
            self._dispatcher.on_end(self, failed)


class Demand:
    """A request that wants a place, and for whom.

    Lower ``priority`` goes first.
    """

    __slots__ = ("priority", "requirements", "team")

    def __init__(
        self,
        *,
        requirements: routing.TargetRequirements,
        team: control_wire.Team,
        priority: int,
    ):
        self.requirements = requirements
        self.team = team
        self.priority = priority


class _Waiting:
    __slots__ = ("demand", "fut")

    def __init__(self, *, demand: Demand, fut: asyncio.Future):
        self.demand = demand
        self.fut = fut


class Dispatcher:
    """Chooses targets, and queues requests while none has room.

    Parameters
    ----------
    router : galenashed.routing.Router
        Owned by the dispatcher.
    targets : galenashed.membership.Directory
        Which targets are alive.
    configuration : Configuration
        Which targets are withdrawn.
    max_queue : int
        Requests that may wait for one model or service.
    max_wait : float
        Seconds that a request may wait.
    """

    def __init__(
        self,
        *,
        router: routing.Router,
        targets: membership.Directory,
        configuration: _configuration.Configuration,
        max_queue: int,
        max_wait: float,
    ):
        self.router = router
        self.targets = targets
        self.configuration = configuration
        self.max_queue = max_queue
        self.max_wait = max_wait
        self.retries = routing.RetryBudget()
        self.in_flight = 0
        self._queues: dict[tuple[str, str], routing.FairQueue] = {}
        self._slots: set[Slot] = set()
        self._silence_counts_from = 0.0
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that notices targets that fall silent."""
        self._task = telemetry.start_task(self._run(), "dispatcher")

    async def close(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        due = time.monotonic() + EXPIRE_SECONDS
        while True:
            await asyncio.sleep(EXPIRE_SECONDS)
            now = time.monotonic()
            if now - due > PAUSE_SECONDS:
                # This process did not run: it was not the targets that were
                # silent.  They get a lease to be heard of again before
                # their requests are given up; new ones wait until then.
                self._silence_counts_from = now + self.targets.lease
            due = now + EXPIRE_SECONDS
            self.router.set_alive(t.name for t in self.targets.alive(now))
            self.router.set_withdrawn(
                self.configuration.release.withdrawn_targets
            )
            if now >= self._silence_counts_from:
                self._tell_silent()
            for key in list(self._queues):
                self._pump(key)

    def _tell_silent(self) -> None:
        for slot in list(self._slots):
            silent = not self.router.is_alive(slot.stats.name)
            if silent and slot.on_silent is not None:
                slot.on_silent()

    @contextlib.asynccontextmanager
    async def watch(self, slot: Slot, seconds: float):
        """Bounds what is awaited inside.

        Raises TargetLostError when the time is up or the target's lease
        runs out.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds) as scope:
                slot.on_silent = lambda: scope.reschedule(loop.time())
                yield
        except TimeoutError:
            raise engines.TargetLostError(
                f"{slot.stats.name} fell silent or took over {seconds} s"
            ) from None
        finally:
            slot.on_silent = None

    def on_target(self, target: wire.Target) -> None:
        """Takes a newer announcement of a target."""
        joined = self.targets.joined(target.name)
        self.router.update(target, joined=joined)
        for key in list(self._queues):
            if key[0] == target.service:
                self._pump(key)

    async def acquire(self, demand: Demand) -> Slot:
        """Returns a place at a target, waiting for one if need be.

        Raises ApiError, at once if no target could serve the request.
        """
        key = (demand.requirements.service.name, demand.requirements.model)
        queue = self._queues.get(key)
        if queue is None or not len(queue):
            slot = self._try(demand)
            if slot is not None:
                return slot
        self._check_served(demand)
        return await self._wait(key, demand)

    def _try(self, demand: Demand) -> Slot | None:
        stats = self.router.choose(demand.requirements, now=time.monotonic())
        if stats is None:
            return None
        suspect = demand.requirements.exclusive
        self.router.begin(stats, suspect=suspect)
        self.in_flight += 1
        slot = Slot(dispatcher=self, stats=stats, suspect=suspect)
        self._slots.add(slot)
        return slot

    def _check_served(self, demand: Demand) -> None:
        if not self.router.serves(demand.requirements):
            service = demand.requirements.service.name
            raise web.ApiError(
                status=503,
                code="no_target",
                message=f"no target of {service!r} is ready",
                retry_after=RETRY_SECONDS,
            )

    async def _wait(self, key: tuple[str, str], demand: Demand) -> Slot:
        queue = self._queues.get(key)
        if queue is None:
            queue = routing.FairQueue(capacity=self.max_queue)
            self._queues[key] = queue
        fut = asyncio.get_running_loop().create_future()
        waiting = _Waiting(demand=demand, fut=fut)
        try:
            queue.push(
                waiting,
                team=demand.team.name,
                weight=demand.team.weight,
                priority=demand.priority,
            )
        except routing.QueueFullError as exc:
            raise _overloaded(str(exc)) from None
        try:
            async with asyncio.timeout(self.max_wait):
                return await fut
        except TimeoutError:
            self._abandon(fut)
            raise _overloaded("no target had room in time") from None
        except asyncio.CancelledError:
            self._abandon(fut)
            raise
        finally:
            queue.remove(waiting)

    def _abandon(self, fut: asyncio.Future) -> None:
        """Gives back a place that came at the last moment."""
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            fut.result().end()

    def _pump(self, key: tuple[str, str]) -> None:
        """Serves waiting requests while there is room."""
        queue = self._queues[key]
        while (waiting := queue.peek()) is not None:
            if waiting.fut.done():
                queue.pop()
                continue
            slot = self._try(waiting.demand)
            if slot is None:
                break
            queue.pop()
            waiting.fut.set_result(slot)
        if not len(queue):
            del self._queues[key]

    def on_end(self, slot: Slot, failed: bool) -> None:
        """Takes a place back; called by the slot."""
        self.in_flight -= 1
        self._slots.discard(slot)
        self.router.end(
            slot.stats,
            failed=failed,
            now=time.monotonic(),
            suspect=slot.suspect,
        )
        for key in list(self._queues):
            if key[0] == slot.target.service:
                self._pump(key)


def _overloaded(message: str) -> web.ApiError:
    return web.ApiError(
        status=503,
        code="overloaded",
        message=message,
        retry_after=RETRY_SECONDS,
    )
