"""Assigns requests to targets and queues them for free capacity."""

import asyncio
import contextlib
import time
import typing

import loguru

from galenashed import engines
from galenashed.entry import _configuration
from galenashed import membership
from galenashed.protocol import control as control_wire
from galenashed.protocol import gossip as wire
from galenashed import routing
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

RETRY_AFTER_SECONDS = 1.0
MIN_RETRY_AFTER_SECONDS = 0.05
# The time over which requests a second are averaged.
RATE_SECONDS = 5.0
# Response header in which a target names its limit, in requests a second.
LIMIT_HEADER = "X-Request-Limit"
BUSY_STATUSES = (429, 503)
LEASE_CHECK_SECONDS = 0.5
PAUSE_THRESHOLD_SECONDS = 0.5

# Service, model and required version of the requests in a queue.
_QueueKey = tuple[str, str, str | None]


class Slot:
    """One unit of a target's concurrency; released exactly once.

    ``suspect`` is set if the slot is for a suspected request; the dispatcher
    gives a target at most one of these at a time.
    """

    __slots__ = (
        "_dispatcher",
        "_done",
        "on_lease_expired",
        "stats",
        "suspect",
        "waiting_since",
    )

    def __init__(self, *, dispatcher, stats, suspect: bool):
        self._dispatcher = dispatcher
        self._done = False
        self.stats = stats
        self.suspect = suspect
        # Monotonic time, None once the target has responded.
        self.waiting_since: float | None = time.monotonic()
        # Called at each lease check while the target's lease is expired.
        self.on_lease_expired: typing.Callable[[], None] | None = None

    @property
    def target(self) -> wire.Target:
        return self.stats.announced

    def check_domain(self) -> None:
        """Raises NotSentError if the target's domain has been evacuated.

        Called right before a request is sent: an order may arrive while a
        connection is being opened.
        """
        if self._dispatcher.router.is_evacuated(self.target):
            raise engines.NotSentError(
                f"{self.target.name}: the failure domain"
                f" {self.target.failure_domain!r} was evacuated"
            )

    def end(self, *, failed: bool = False) -> None:
        """Releases the slot; a second call does nothing."""
        if not self._done:
            self._done = True
            self._dispatcher.on_slot_end(self, failed)


class SlotRequest:
    """A request for a slot on behalf of a team.

    A lower ``priority`` is served first.
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


class _Waiter:
    __slots__ = ("fut", "request")

    def __init__(self, *, request: SlotRequest, fut: asyncio.Future):
        self.request = request
        self.fut = fut


class Dispatcher:
    """Chooses targets, and queues requests while none has a free slot.

    Parameters
    ----------
    router : galenashed.routing.Router
        Owned by the dispatcher.
    targets : galenashed.membership.Directory
        The known targets, alive or not.
    configuration : Configuration
        Lists the withdrawn targets.
    max_queue : int
        Maximum length of the queue of one model, version or service.
    max_wait : float
        Seconds that a request may wait in the queue.
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
        self.retry_budget = routing.RetryBudget()
        self.in_flight = 0
        self.request_rate = telemetry.RateMeter(seconds=RATE_SECONDS)
        # A request that waits for one version must not hold up others.
        self._queues: dict[_QueueKey, routing.FairQueue] = {}
        self._slots: set[Slot] = set()
        self._ignore_expiry_until = 0.0
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that detects expired target leases."""
        self._task = telemetry.start_task(self._run(), "dispatcher")

    async def close(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        expected_at = time.monotonic() + LEASE_CHECK_SECONDS
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            now = time.monotonic()
            if now - expected_at > PAUSE_THRESHOLD_SECONDS:
                # This process was paused and missed announcements.  Targets
                # get one more lease to announce themselves before their
                # requests are aborted; new requests wait until then.
                self._ignore_expiry_until = now + self.targets.lease
            expected_at = now + LEASE_CHECK_SECONDS
            self.router.set_alive(t.name for t in self.targets.alive(now))
            self.router.set_withdrawn(
                self.configuration.release.withdrawn_targets
            )
            if now >= self._ignore_expiry_until:
                self._notify_expired_leases()
            for key in list(self._queues):
                self._dispatch_queued(key)

    def _notify_expired_leases(self) -> None:
        for slot in list(self._slots):
            expired = not self.router.is_alive(slot.stats.name)
            if expired and slot.on_lease_expired is not None:
                slot.on_lease_expired()

    @contextlib.asynccontextmanager
    async def watch(self, slot: Slot, seconds: float):
        """Limits how long the body of the context may wait.

        Raises TargetLostError after ``seconds`` or when the target's lease
        expires.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(seconds) as scope:
                slot.on_lease_expired = lambda: scope.reschedule(loop.time())
                yield
        except TimeoutError:
            raise engines.TargetLostError(
                f"{slot.stats.name}: lease expired or no response within"
                f" {seconds} s"
            ) from None
        finally:
            slot.on_lease_expired = None

    def on_target_update(self, target: wire.Target) -> None:
        """Applies a newer announcement of a target."""
        joined = self.targets.joined_at(target.name)
        self.router.update(target, joined=joined)
        for key in list(self._queues):
            if key[0] == target.service:
                self._dispatch_queued(key)

    def set_evacuated(self, domains: typing.Collection[str]) -> None:
        """Sets the failure domains whose targets get no requests.

        Queued requests that no other target can serve are refused.
        """
        self.router.set_evacuated(domains)
        for key in list(self._queues):
            self._dispatch_queued(key)

    def waiting_since(self) -> float | None:
        """Returns since when a target has had a request without a response."""
        return min(
            (
                slot.waiting_since
                for slot in self._slots
                if slot.waiting_since is not None
            ),
            default=None,
        )

    def ready_addresses(
        self, *, with_evacuated: bool = False
    ) -> dict[str, list[str]]:
        """See :class:`galenashed.engines.KnownTargets`."""
        found: dict[str, list[str]] = {}
        for target in self.targets.alive(time.monotonic()):
            if target.state == "ready" and (
                with_evacuated or not self.router.is_evacuated(target)
            ):
                found.setdefault(target.service, []).append(target.address)
        return found

    async def acquire(self, request: SlotRequest) -> Slot:
        """Returns a slot of a target, waiting in the queue if necessary.

        Raises ApiError: immediately if no target can serve the request,
        otherwise if the queue is full or the wait times out.
        """
        self.request_rate.add(time.monotonic())
        requirements = request.requirements
        key = (
            requirements.service.name,
            requirements.model,
            requirements.version,
        )
        queue = self._queues.get(key)
        if queue is None or not len(queue):
            slot = self._try_acquire(request)
            if slot is not None:
                return slot
        self._check_target_exists(request)
        self._check_limits(request)
        return await self._wait(key, request)

    def _try_acquire(self, request: SlotRequest) -> Slot | None:
        now = time.monotonic()
        stats = self.router.choose(request.requirements, now=now)
        if stats is None:
            return None
        suspect = request.requirements.exclusive
        self.router.on_request_start(stats, suspect=suspect, now=now)
        self.in_flight += 1
        slot = Slot(dispatcher=self, stats=stats, suspect=suspect)
        self._slots.add(slot)
        return slot

    def _check_target_exists(self, request: SlotRequest) -> None:
        if not self.router.has_target(request.requirements):
            raise _no_target(request)

    def _check_limits(self, request: SlotRequest) -> None:
        """Raises ApiError if every target is at the limit that it named."""
        wait = self.router.seconds_until_limits_allow(
            request.requirements, time.monotonic()
        )
        if wait is None:
            return
        service = request.requirements.service.name
        raise web.ApiError(
            status=503,
            code="targets_limited",
            message=f"the targets of service {service!r} are at their limits",
            # Spreads the callers that come back.
            retry_after=max(
                MIN_RETRY_AFTER_SECONDS,
                wait * (1.0 + self.router.rng.random()),
            ),
        )

    def on_response(
        self, slot: Slot, status: int, headers: typing.Mapping[str, str]
    ) -> None:
        """Applies the limit that a target's response names, or none."""
        slot.waiting_since = None
        if self.router.limits is None:
            return
        name = slot.stats.incarnation_name
        limit = engines.parse_decimal(headers.get(LIMIT_HEADER))
        if limit is None and status in BUSY_STATUSES:
            # A rejection need not come from what limits the target.
            return
        if self.router.limits.observe(name, limit, time.monotonic()):
            LOG.info("target {} names a limit of {} requests/s", name, limit)

    async def _wait(self, key: _QueueKey, request: SlotRequest) -> Slot:
        queue = self._queues.get(key)
        if queue is None:
            queue = routing.FairQueue(capacity=self.max_queue)
            self._queues[key] = queue
        fut = asyncio.get_running_loop().create_future()
        waiter = _Waiter(request=request, fut=fut)
        try:
            queue.push(
                waiter,
                team=request.team.name,
                weight=request.team.weight,
                priority=request.priority,
            )
        except routing.QueueFullError as exc:
            raise _overloaded(str(exc)) from None
        try:
            async with asyncio.timeout(self.max_wait):
                return await fut
        except TimeoutError:
            self._release_unclaimed_slot(fut)
            raise _overloaded("no target had a free slot in time") from None
        except asyncio.CancelledError:
            self._release_unclaimed_slot(fut)
            raise
        finally:
            queue.remove(waiter)

    def _release_unclaimed_slot(self, fut: asyncio.Future) -> None:
        """Releases a slot that was assigned just as the wait ended."""
        if fut.done() and not fut.cancelled() and fut.exception() is None:
            fut.result().end()

    def _dispatch_queued(self, key: _QueueKey) -> None:
        """Assigns slots to queued requests while targets have any."""
        queue = self._queues[key]
        while (waiter := queue.peek()) is not None:
            if waiter.fut.done():
                queue.pop()
                continue
            slot = self._try_acquire(waiter.request)
            if slot is None:
                if self.router.has_evacuated and not self.router.has_target(
                    waiter.request.requirements
                ):
                    queue.pop()
                    waiter.fut.set_exception(_no_target(waiter.request))
                    continue
                break
            queue.pop()
            waiter.fut.set_result(slot)
        if not len(queue):
            del self._queues[key]

    def on_slot_end(self, slot: Slot, failed: bool) -> None:
        """Returns a slot to its target; called by :meth:`Slot.end`."""
        self.in_flight -= 1
        self._slots.discard(slot)
        self.router.on_request_end(
            slot.stats,
            failed=failed,
            now=time.monotonic(),
            suspect=slot.suspect,
        )
        for key in list(self._queues):
            if key[0] == slot.target.service:
                self._dispatch_queued(key)


def _no_target(request: SlotRequest) -> web.ApiError:
    service = request.requirements.service.name
    return web.ApiError(
        status=503,
        code="no_target",
        message=f"service {service!r} has no ready target",
        retry_after=RETRY_AFTER_SECONDS,
    )


def _overloaded(message: str) -> web.ApiError:
    return web.ApiError(
        status=503,
        code="overloaded",
        message=message,
        retry_after=RETRY_AFTER_SECONDS,
    )
