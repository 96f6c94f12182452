"""A long-lived one-way message stream to a peer."""

import asyncio
import typing

import loguru

from galenashed.protocol import rpc
from galenashed import telemetry

LOG = loguru.logger

RECONNECT_DELAY_SECONDS = 0.1


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
