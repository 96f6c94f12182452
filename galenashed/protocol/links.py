"""A long-lived one-way message stream to a peer."""

import asyncio
import typing

import loguru

from galenashed.protocol import rpc
from galenashed import telemetry

LOG = loguru.logger

RECONNECT_DELAY_SECONDS = 0.1
LINK_IDLE_SECONDS = 10.0


class StreamLink:
    """Sends batches of messages to a peer over one gRPC stream.

    Delivery is best effort: messages are dropped when the queue is full or
    when the stream fails, so that senders must tolerate lost messages.

    Parameters
    ----------
    name : str
        Name of the peer, for log messages.
    address : str
        Address of the peer, ``ip:port``.
    key : str
        Shared key of the peers.
    method : rpc.Method
        A ``client_stream`` method that takes lists of messages.
    max_queued : int
        Maximum number of messages in the queue.
    first_message : object
        Message sent first on each new stream, if given.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        key: str,
        method: rpc.Method,
        max_queued: int,
        first_message: typing.Any = None,
    ):
        self.name = name
        self.method = method
        self.max_queued = max_queued
        self.first_message = first_message
        self._channel = rpc.Channel(address=address, key=key)
        self._queue: list[typing.Any] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the task that opens and reopens the stream."""
        self._task = telemetry.start_task(self._run(), "link")

    async def close(self) -> None:
        """Stops the task and closes the connection."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._channel.close()

    def send(self, message: typing.Any) -> None:
        """Queues a message without blocking; drops it if the queue is full."""
        if len(self._queue) < self.max_queued:
            self._queue.append(message)
            self._wake.set()

    def send_latest(self, message: typing.Any) -> None:
        """Replaces the queue by a message that supersedes those in it."""
        self._queue = [message]
        self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                await self._send_batches()
            except rpc.RpcError as exc:
                LOG.debug("stream to {} failed: {}", self.name, exc.code())
            except asyncio.InvalidStateError:
                LOG.debug("stream to {} was closed", self.name)
            self._queue.clear()
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)

    async def _send_batches(self) -> None:
        call = self._channel.open(self.method)
        try:
            if self.first_message is not None:
                await call.write([self.first_message])
            while True:
                await self._wake.wait()
                self._wake.clear()
                batch, self._queue = self._queue, []
                if batch:
                    await call.write(batch)
        finally:
            call.cancel()


class LinkPool:
    """Links to peers, opened when they are first used.

    Parameters
    ----------
    key : str
        Shared key of the peers.
    method : rpc.Method
        See :class:`StreamLink`.
    max_queued : int
        Maximum number of messages in the queue of each link.
    """

    def __init__(self, *, key: str, method: rpc.Method, max_queued: int):
        self.key = key
        self.method = method
        self.max_queued = max_queued
        self._links: dict[str, StreamLink] = {}
        self._last_used: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._links)

    def get(self, address: str, now: float) -> StreamLink:
        """Returns the link to an address."""
        self._last_used[address] = now
        link = self._links.get(address)
        if link is None:
            link = StreamLink(
                name=address,
                address=address,
                key=self.key,
                method=self.method,
                max_queued=self.max_queued,
            )
            self._links[address] = link
            link.start()
        return link

    async def close_idle(self, now: float) -> None:
        """Closes links that were not used for ``LINK_IDLE_SECONDS``."""
        for address, last_used in list(self._last_used.items()):
            if now - last_used > LINK_IDLE_SECONDS:
                del self._last_used[address]
                await self._links.pop(address).close()

    async def close(self) -> None:
        """Closes all links."""
        for link in self._links.values():
            await link.close()
