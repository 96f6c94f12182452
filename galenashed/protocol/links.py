"""A long-lived stream to one peer, which carries messages one way."""

import asyncio
import typing

import loguru

from galenashed.protocol import rpc
from galenashed import telemetry

LOG = loguru.logger

RECONNECT_SECONDS = 0.1


class StreamLink:
    """Sends messages to a peer over one stream, in batches.

    Messages queue up to a bound and are dropped beyond it, or when the
    stream breaks: what is sent this way must bear losses.

    Parameters
    ----------
    name : str
        The peer, for the log.
    address : str
        Its ``ip:port``.
    key : str
        The peers' key.
    method : rpc.Method
        A ``client_stream`` method that takes lists of messages.
    max_queued : int
        Messages that may wait.
    greeting : object
        Sent first on each stream, if given.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        key: str,
        method: rpc.Method,
        max_queued: int,
        greeting: typing.Any = None,
    ):
        self.name = name
        self.method = method
        self.max_queued = max_queued
        self.greeting = greeting
        self._channel = rpc.Channel(address=address, key=key)
        self._queue: list[typing.Any] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Starts the task that owns the stream."""
        self._task = telemetry.start_task(self._run(), "link")

    async def close(self) -> None:
        """Ends the stream."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._channel.close()

    def send(self, message: typing.Any) -> None:
        """Queues a message; never waits."""
        if len(self._queue) < self.max_queued:
            self._queue.append(message)
            self._wake.set()

    def send_only(self, message: typing.Any) -> None:
        """Queues a message that makes those before it obsolete."""
        self._queue = [message]
        self._wake.set()

    async def _run(self) -> None:
        while True:
            try:
                await self._stream()
            except rpc.RpcError as exc:
                LOG.debug("link to {} broke: {}", self.name, exc.code())
            except asyncio.InvalidStateError:
                LOG.debug("link to {} was closed", self.name)
            self._queue.clear()
            await asyncio.sleep(RECONNECT_SECONDS)

    async def _stream(self) -> None:
        call = self._channel.open(self.method)
        try:
            if self.greeting is not None:
                await call.write([self.greeting])
            while True:
                await self._wake.wait()
                self._wake.clear()
                batch, self._queue = self._queue, []
                if batch:
                    await call.write(batch)
        finally:
            call.cancel()
