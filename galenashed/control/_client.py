"""How entries and operators reach the control replicas."""

import asyncio
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
MAX_BATCH_COMMANDS = 512
MAX_BATCHES_IN_FLIGHT = 4


class ControlUnavailableError(Exception):
    """No replica answered in time; the command may still take effect."""


class _Pending:
    __slots__ = ("deadline", "encoded", "fut")

    def __init__(
        self, *, encoded: msgspec.Raw, deadline: float, fut: asyncio.Future
    ):
        self.encoded = encoded
        self.deadline = deadline
        self.fut = fut


class ControlClient:
    """Sends commands to whichever replica leads.

    Commands that wait at the same time travel in one call.  A command whose
    answer is lost is sent again: commands are idempotent.

    Parameters
    ----------
    replicas : dict
        Name to ``ip:port`` of each control replica; these addresses go
        before those that :meth:`set_replicas` brings.
    key : str
        The peers' or an operator's key.

    Example::

        client = ControlClient(replicas=replicas, key=key)
        await client.start()
        reply = await client.propose(command, timeout=2.0)
        await client.close()
    """

    def __init__(self, *, replicas: dict[str, str], key: str):
        self.replicas = replicas
        self.key = key
        self._given = dict(replicas)
        self._names = list(replicas)
        self._leader = self._names[0]
        self._channels: dict[str, rpc.Channel] = {}
        self._pending: list[_Pending] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._slots = asyncio.Semaphore(MAX_BATCHES_IN_FLIGHT)
        self._sending: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts the task that sends the batches."""
        self._task = telemetry.start_task(self._run(), "control client")

    async def close(self) -> None:
        """Gives up what is pending and closes the channels."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        for task in list(self._sending):
            task.cancel()
        await asyncio.gather(*self._sending, return_exceptions=True)
        for channel in self._channels.values():
            await channel.close()

    @property
    def names(self) -> list[str]:
        """The replicas that are asked."""
        return self._names

    def set_replicas(self, replicas: dict[str, str]) -> None:
        """Takes the names and addresses of those that take part now."""
        if not replicas:
            return
        self.replicas = {
            name: self._given.get(name, address)
            for name, address in replicas.items()
        }
        self._names = list(self.replicas)
        if self._leader not in self.replicas:
            self._leader = self._names[0]

    def add_replicas(self, replicas: dict[str, str]) -> None:
        """Takes replicas that may take part, beside those known."""
        unknown = {n: a for n, a in replicas.items() if n not in self.replicas}
        if unknown:
            self.set_replicas({**self.replicas, **unknown})

    def channel(self, name: str) -> rpc.Channel:
        """Returns the channel to a replica."""
        held = self._channels.get(name)
        if held is None:
            held = rpc.Channel(address=self.replicas[name], key=self.key)
            self._channels[name] = held
        return held

    async def propose(
        self, command: wire.Command, *, timeout: float
    ) -> wire.Reply:
        """Returns the committed reply.

        Raises ControlUnavailableError after ``timeout`` seconds.
        """
        fut = asyncio.get_running_loop().create_future()
        deadline = time.monotonic() + timeout
        # Encoded here, so that a faulty command fails its sender alone and
        # not all that would travel with it.
        encoded = msgspec.Raw(msgspec.msgpack.encode(command))
        pending = _Pending(encoded=encoded, deadline=deadline, fut=fut)
        self._pending.append(pending)
        self._wake.set()
        return await self._bounded(fut, timeout)

    async def publish(
        self, command: wire.PublishNote, *, timeout: float
    ) -> wire.Reply:
        """Publishes a note, asking again until an answer arrives."""
        return await self._operate(methods.PUBLISH, command, timeout)

    async def change_replicas(
        self, command: wire.ChangeReplicas, *, timeout: float
    ) -> wire.Reply:
        """Changes which replicas take part; asks again as publish does."""
        return await self._operate(methods.REPLICAS, command, timeout)

    async def _operate(self, method, command, timeout: float) -> wire.Reply:
        async def attempt(name: str) -> wire.Outcome:
            return await self.channel(name).call(
                method, command, timeout=CALL_TIMEOUT_SECONDS
            )

        outcome = await self._bounded(self._ask_leader(attempt), timeout)
        return outcome.reply

    async def query(
        self, query: wire.Query, *, timeout: float
    ) -> wire.QueryReply:
        """Asks the leader; the answer is linearizable."""

        async def attempt(name: str) -> wire.QueryReply:
            return await self.channel(name).call(
                methods.QUERY, query, timeout=CALL_TIMEOUT_SECONDS
            )

        return await self._bounded(self._ask_leader(attempt), timeout)

    async def statuses(
        self, *, timeout: float
    ) -> dict[str, wire.ReplicaStatus | None]:
        """Returns each replica's status, None where it did not answer."""
        results = await asyncio.gather(
            *[self._status_of(name, timeout) for name in self._names]
        )
        return dict(zip(self._names, results, strict=True))

    async def _status_of(self, name: str, timeout: float):
        try:
            return await self.channel(name).call(
                methods.STATUS, True, timeout=timeout
            )
        except rpc.RpcError:
            return None

    async def _bounded(self, waitable, timeout: float):
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
                self._try_next(name)
            else:
                if outcome.leader is None:
                    return outcome
                self._note_leader(name, outcome.leader)
            await asyncio.sleep(RETRY_SECONDS)

    def _note_leader(self, asked: str, leader: str) -> None:
        if leader in self.replicas and leader != asked:
            self._leader = leader
        else:
            self._try_next(asked)

    def _try_next(self, failed: str) -> None:
        if self._leader != failed:
            return
        position = self._names.index(failed) + 1
        self._leader = self._names[position % len(self._names)]

    async def _run(self) -> None:
        while True:
            await self._wake.wait()
            await self._slots.acquire()
            batch = self._pending[:MAX_BATCH_COMMANDS]
            del self._pending[:MAX_BATCH_COMMANDS]
            if not self._pending:
                self._wake.clear()
            if not batch:
                self._slots.release()
                continue
            task = asyncio.create_task(self._send(batch))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    async def _send(self, batch: list[_Pending]) -> None:
        try:
            left = await self._attempt(batch)
        finally:
            self._slots.release()
        if not left:
            return
        await asyncio.sleep(RETRY_SECONDS)
        now = time.monotonic()
        left = [p for p in left if p.deadline > now and not p.fut.done()]
        self._pending = left + self._pending
        self._wake.set()

    async def _attempt(self, batch: list[_Pending]) -> list[_Pending]:
        """Sends a batch once and returns what has no answer yet."""
        name = self._leader
        commands = [pending.encoded for pending in batch]
        try:
            outcomes = await self.channel(name).call(
                methods.PROPOSE, commands, timeout=CALL_TIMEOUT_SECONDS
            )
        except rpc.RpcError as exc:
            LOG.debug("control replica {} failed: {}", name, exc.code())
            self._try_next(name)
            return batch
        left = []
        for pending, outcome in zip(batch, outcomes, strict=True):
            if outcome.leader is not None:
                self._note_leader(name, outcome.leader)
                left.append(pending)
            elif not pending.fut.done():
                pending.fut.set_result(outcome.reply)
        return left


class FeedClient:
    """An entry's configuration feed.

    Parameters
    ----------
    client : ControlClient
        Its channels are used.
    report : callable
        Returns the :class:`wire.FollowReport` of the moment.
    on_event : callable
        Takes each :class:`wire.FollowEvent`.
    rng : random.Random
        Spreads the entries over the replicas.
    max_age : float
        Seconds; a replica that is out of date for longer is left.
    """

    def __init__(self, *, client, report, on_event, rng, max_age: float):
        self.client = client
        self.report = report
        self.on_event = on_event
        self.max_age = max_age
        self.rng = rng
        self._changed = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that owns the stream."""
        self._task = telemetry.start_task(self._run(), "control client")

    async def close(self) -> None:
        """Ends the stream."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def notify(self) -> None:
        """Has the report sent again, for it has changed."""
        self._changed.set()

    async def _run(self) -> None:
        names: list[str] = []
        while True:
            if not names:
                names = list(self.client.names)
                self.rng.shuffle(names)
            name = names.pop()
            if name not in self.client.replicas:
                continue
            try:
                await self._follow(name)
            except (rpc.RpcError, TimeoutError, asyncio.InvalidStateError):
                LOG.info("configuration feed from {} broke", name)
            await asyncio.sleep(RETRY_SECONDS * 2)

    async def _follow(self, name: str) -> None:
        call = self.client.channel(name).open(methods.FOLLOW)
        await self._write(call)
        writer = asyncio.create_task(self._keep_reporting(call))
        try:
            while True:
                async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                    event = await call.read()
                if not isinstance(event, wire.FollowEvent):
                    return
                self.on_event(event)
                if event.age > self.max_age:
                    return
        finally:
            writer.cancel()
            call.cancel()

    async def _write(self, call) -> None:
        async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
            await call.write(self.report())

    async def _keep_reporting(self, call) -> None:
        while True:
            await self._changed.wait()
            self._changed.clear()
            await call.write(self.report())
