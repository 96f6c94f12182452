"""Clients of the control replicas, used by entries and operators."""

import asyncio
import math
import time
import typing

import loguru
import msgspec

from galenashed.protocol import control as wire
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed import telemetry

LOG = loguru.logger

CALL_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 0.05
# Time after which another replica is asked for its feed as well.
HEDGE_SECONDS = 0.3
# An order is repeated, maybe at another replica, if it is not committed by
# then: operators repeat their call for 5 s only.
EVACUATION_CALL_TIMEOUT_SECONDS = 0.8
MAX_BATCH_COMMANDS = 512
MAX_BATCHES_IN_FLIGHT = 4


class ControlUnavailableError(Exception):
    """No replica answered in time; the command may still be applied."""


class _PendingCommand:
    __slots__ = ("deadline", "encoded", "fut")

    def __init__(
        self, *, encoded: msgspec.Raw, deadline: float, fut: asyncio.Future
    ):
        self.encoded = encoded
        self.deadline = deadline
        self.fut = fut


class ControlClient:
    """Sends commands to the current leader.

    Commands that are pending at the same time are sent in one call.  A command
    whose answer is lost is sent again, because commands are idempotent.

    Parameters
    ----------
    replicas : dict
        Name to ``ip:port`` of each control replica; these addresses take
        precedence over those given to :meth:`set_replicas`.
    key : str
        Key of a peer or of an operator.

    Example::

        client = ControlClient(replicas=replicas, key=key)
        await client.start()
        reply = await client.propose(command, timeout=2.0)
        await client.close()
    """

    def __init__(self, *, replicas: dict[str, str], key: str):
        self.replicas = replicas
        self.key = key
        self._configured_addresses = dict(replicas)
        self._names = list(replicas)
        self._leader = self._names[0]
        self._channels: dict[str, rpc.Channel] = {}
        self._pending: list[_PendingCommand] = []
        self._has_pending = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._batch_slots = asyncio.Semaphore(MAX_BATCHES_IN_FLIGHT)
        self._send_tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts the task that sends the batches."""
        self._task = telemetry.start_task(self._run(), "control client")

    async def close(self) -> None:
        """Abandons pending commands and closes the channels."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for task in list(self._send_tasks):
            task.cancel()
        await asyncio.gather(*self._send_tasks, return_exceptions=True)
        for channel in self._channels.values():
            await channel.close()

    @property
    def pending_count(self) -> int:
        """The number of commands that wait to be sent."""
        return len(self._pending)

    @property
    def names(self) -> list[str]:
        """Names of the replicas that requests are sent to."""
        return self._names

    def set_replicas(self, replicas: dict[str, str]) -> None:
        """Replaces the known replicas by the current members."""
        if not replicas:
            return
        self.replicas = {
            name: self._configured_addresses.get(name, address)
            for name, address in replicas.items()
        }
        self._names = list(self.replicas)
        if self._leader not in self.replicas:
            self._leader = self._names[0]

    def add_replicas(self, replicas: dict[str, str]) -> None:
        """Adds replicas that may be members to those already known."""
        unknown = {n: a for n, a in replicas.items() if n not in self.replicas}
        if unknown:
            self.set_replicas({**self.replicas, **unknown})

    def channel(self, name: str) -> rpc.Channel:
        """Returns the channel to a replica, opening it if needed."""
        channel = self._channels.get(name)
        if channel is None:
            channel = rpc.Channel(address=self.replicas[name], key=self.key)
            self._channels[name] = channel
        return channel

    async def propose(
        self, command: wire.Command, *, timeout: float
    ) -> wire.Reply:
        """Proposes a command and returns its reply once it is committed.

        Raises ControlUnavailableError after ``timeout`` seconds.
        """
        fut = asyncio.get_running_loop().create_future()
        deadline = time.monotonic() + timeout
        # Encoded here, so that an invalid command fails only its caller and
        # not the whole batch.
        encoded = msgspec.Raw(msgspec.msgpack.encode(command))
        pending = _PendingCommand(encoded=encoded, deadline=deadline, fut=fut)
        self._pending.append(pending)
        self._has_pending.set()
        return await self._wait_with_timeout(fut, timeout)

    async def publish(
        self, command: wire.PublishNote, *, timeout: float
    ) -> wire.Reply:
        """Publishes a note, retrying until an answer arrives."""
        return await self._send_operator_command(
            methods.PUBLISH, command, timeout
        )

    async def change_replicas(
        self, command: wire.ChangeReplicas, *, timeout: float
    ) -> wire.Reply:
        """Changes the membership, retrying until an answer arrives."""
        return await self._send_operator_command(
            methods.REPLICAS, command, timeout
        )

    async def order_evacuation(
        self, order: wire.EvacuationOrder, *, timeout: float
    ) -> wire.Reply:
        """Orders or ends an evacuation, retrying until an answer arrives.

        A replica of a build that does not know evacuations rejects the call.
        """
        return await self._send_operator_command(
            methods.EVACUATE,
            order,
            timeout,
            call_timeout=EVACUATION_CALL_TIMEOUT_SECONDS,
        )

    async def _send_operator_command(
        self,
        method,
        command,
        timeout: float,
        *,
        call_timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> wire.Reply:
        async def attempt(name: str) -> wire.Outcome:
            return await self.channel(name).call(
                method, command, timeout=call_timeout
            )

        outcome = await self._wait_with_timeout(
            self._ask_leader(attempt), timeout
        )
        return outcome.reply

    async def query(
        self, query: wire.Query, *, timeout: float
    ) -> wire.QueryReply:
        """Queries the leader; the result is linearizable."""

        async def attempt(name: str) -> wire.QueryReply:
            return await self.channel(name).call(
                methods.QUERY, query, timeout=CALL_TIMEOUT_SECONDS
            )

        return await self._wait_with_timeout(
            self._ask_leader(attempt), timeout
        )

    async def statuses(
        self, *, timeout: float
    ) -> dict[str, wire.ReplicaStatus | None]:
        """Returns the status of each replica, None if it did not answer."""
        results = await asyncio.gather(
            *[self._fetch_status(name, timeout) for name in self._names]
        )
        return dict(zip(self._names, results, strict=True))

    async def _fetch_status(self, name: str, timeout: float):
        try:
            return await self.channel(name).call(
                methods.STATUS, True, timeout=timeout
            )
        except rpc.RpcError:
            return None

    async def _wait_with_timeout(self, waitable, timeout: float):
        try:
            async with asyncio.timeout(timeout):
                return await waitable
        except TimeoutError:
            raise ControlUnavailableError(
                f"no control replica answered within {timeout} s"
            ) from None

    async def _ask_leader(
        self, attempt: typing.Callable[[str], typing.Awaitable]
    ):
        while True:
            name = self._leader
            try:
                outcome = await attempt(name)
            except rpc.RpcError as exc:
                if exc.code().name in ("UNAUTHENTICATED", "PERMISSION_DENIED"):
                    raise
                self._try_next_replica(name)
            else:
                if outcome.leader is None:
                    return outcome
                if outcome.leader and outcome.leader not in self.replicas:
                    await self._add_members(name)
                self._update_leader(name, outcome.leader)
            await asyncio.sleep(RETRY_SECONDS)

    async def _add_members(self, name: str) -> None:
        """Adds the voters that a replica knows to the known replicas."""
        status = await self._fetch_status(name, CALL_TIMEOUT_SECONDS)
        if status is not None:
            self.add_replicas(
                {m.name: m.address for m in status.members if not m.learner}
            )

    def _update_leader(self, asked: str, leader: str) -> None:
        if leader in self.replicas and leader != asked:
            self._leader = leader
        else:
            self._try_next_replica(asked)

    def _try_next_replica(self, failed: str) -> None:
        if self._leader != failed:
            return
        position = self._names.index(failed) + 1
        self._leader = self._names[position % len(self._names)]

    async def _run(self) -> None:
        while True:
            await self._has_pending.wait()
            await self._batch_slots.acquire()
            batch = self._pending[:MAX_BATCH_COMMANDS]
            del self._pending[:MAX_BATCH_COMMANDS]
            if not self._pending:
                self._has_pending.clear()
            if not batch:
                self._batch_slots.release()
                continue
            task = asyncio.create_task(self._send(batch))
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)

    async def _send(self, batch: list[_PendingCommand]) -> None:
        try:
            unanswered = await self._send_once(batch)
        finally:
            self._batch_slots.release()
        if not unanswered:
            return
        await asyncio.sleep(RETRY_SECONDS)
        now = time.monotonic()
        unanswered = [
            p for p in unanswered if p.deadline > now and not p.fut.done()
        ]
        self._pending = unanswered + self._pending
        self._has_pending.set()

    async def _send_once(
        self, batch: list[_PendingCommand]
    ) -> list[_PendingCommand]:
        """Sends a batch once and returns the unanswered commands."""
        name = self._leader
        commands = [pending.encoded for pending in batch]
        try:
            outcomes = await self.channel(name).call(
                methods.PROPOSE, commands, timeout=CALL_TIMEOUT_SECONDS
            )
        except rpc.RpcError as exc:
            LOG.debug(
                "call to control replica {} failed: {}", name, exc.code()
            )
            self._try_next_replica(name)
            return batch
        unanswered = []
        for pending, outcome in zip(batch, outcomes, strict=True):
            if outcome.leader is not None:
                self._update_leader(name, outcome.leader)
                unanswered.append(pending)
            elif not pending.fut.done():
                pending.fut.set_result(outcome.reply)
        return unanswered


class _Feed:
    """An open stream of events from the replica ``name``."""

    __slots__ = ("call", "name", "opened_at")

    def __init__(self, *, name: str, call):
        self.name = name
        self.call = call
        self.opened_at = time.monotonic()

    def age(self) -> float:
        """Returns the seconds since the stream was opened."""
        return time.monotonic() - self.opened_at

    def close(self) -> None:
        self.call.cancel()


class FeedClient:
    """Receives the configuration feed of an entry.

    Parameters
    ----------
    client : ControlClient
        Provides the channels to the replicas.
    report : callable
        Returns the current :class:`wire.FollowReport`.
    on_event : callable
        Called with each :class:`wire.FollowEvent`.
    rng : random.Random
        Chooses replicas at random, to distribute entries over them.
    max_age : float
        Seconds; the client leaves a replica that is out of date for longer.
    """

    def __init__(self, *, client, report, on_event, rng, max_age: float):
        self.client = client
        self.report = report
        self.on_event = on_event
        self.max_age = max_age
        self.rng = rng
        self._report_changed = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that reads the stream."""
        self._task = telemetry.start_task(self._run(), "feed client")

    async def close(self) -> None:
        """Ends the stream."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def notify(self) -> None:
        """Sends the report again after it has changed."""
        self._report_changed.set()

    async def _run(self) -> None:
        while True:
            feed = await self._find_feed()
            try:
                await self._follow(feed)
            except (rpc.RpcError, TimeoutError, asyncio.InvalidStateError):
                LOG.info(
                    "configuration feed from {} was interrupted", feed.name
                )
            finally:
                feed.close()
            await asyncio.sleep(RETRY_SECONDS * 2)

    async def _find_feed(self) -> _Feed:
        """Returns the first feed that is up to date.

        Replicas that don't answer soon are asked side by side, so that some
        that hang don't hold the entry up.
        """
        attempts: dict[asyncio.Task[_Feed | None], str] = {}
        names = self._iter_names()
        try:
            while True:
                name = next(names)
                if name not in attempts.values():
                    attempt = self._try_feed(name)
                    attempts[asyncio.create_task(attempt, name="feed")] = name
                done, _ = await asyncio.wait(
                    attempts,
                    timeout=HEDGE_SECONDS,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for task in done:
                    del attempts[task]
                feeds = [feed for task in done if (feed := task.result())]
                for feed in feeds[1:]:
                    feed.close()
                if feeds:
                    return feeds[0]
                if done:
                    await asyncio.sleep(RETRY_SECONDS * 2)
        finally:
            for task in attempts:
                task.cancel()

    def _iter_names(self) -> typing.Iterator[str]:
        """Yields the names of replicas, in a new random order each time."""
        while True:
            names = list(self.client.names)
            self.rng.shuffle(names)
            yield from names

    async def _try_feed(self, name: str) -> _Feed | None:
        """Returns the feed of a replica once it is known to be up to date."""
        if name not in self.client.replicas:
            return None
        feed = _Feed(
            name=name, call=self.client.channel(name).open(methods.FOLLOW)
        )
        try:
            await self._send_report(feed.call)
            while (age := await self._read(feed)) is not None:
                if age <= self.max_age:
                    return feed
                if math.isfinite(age) or feed.age() > self.max_age:
                    # A replica that has just started gets time to catch up.
                    break
        except (rpc.RpcError, TimeoutError, asyncio.InvalidStateError):
            LOG.info("no configuration feed from {}", name)
        except BaseException:
            feed.close()
            raise
        feed.close()
        return None

    async def _read(self, feed: _Feed) -> float | None:
        """Applies the next event; returns its age, None at the end."""
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            event = await feed.call.read()
        if not isinstance(event, wire.FollowEvent):
            return None
        self.on_event(event)
        return event.age

    async def _follow(self, feed: _Feed) -> None:
        """Reads a feed until it ends or is out of date."""
        writer = asyncio.create_task(self._send_report_changes(feed.call))
        try:
            while (age := await self._read(feed)) is not None:
                if age > self.max_age:
                    return
        finally:
            writer.cancel()

    async def _send_report(self, call) -> None:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            await call.write(self.report())

    async def _send_report_changes(self, call) -> None:
        while True:
            await self._report_changed.wait()
            self._report_changed.clear()
            await call.write(self.report())
