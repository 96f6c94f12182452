"""Carries the log's messages between control replicas."""

import asyncio

import loguru

from galenashed.protocol import consensus as wire
from galenashed.protocol import methods
from galenashed.protocol import rpc

LOG = loguru.logger

MAX_QUEUED_MESSAGES = 2048
RECONNECT_SECONDS = 0.1


class PeerLink:
    """One replica's outgoing stream to another.

    Messages queue up to a bound and are dropped beyond it, or when the
    stream breaks; the log repairs itself.
    """

    def __init__(self, *, name: str, address: str, key: str):
        self.name = name
        self._channel = rpc.Channel(address=address, key=key)
        self._queue: list[wire.Message] = []
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that owns the stream."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Ends the stream."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._channel.close()

    def send(self, message: wire.Message) -> None:
        """Queues a message; never waits."""
        if len(self._queue) < MAX_QUEUED_MESSAGES:
            self._queue.append(message)
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
        call = self._channel.open(methods.DELIVER)
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                batch, self._queue = self._queue, []
                if batch:
                    await call.write(batch)
        finally:
            call.cancel()


class PeerLinks:
    """All outgoing links of a replica: its transport."""

    def __init__(self, *, addresses: dict[str, str], key: str):
        self._links = {
            name: PeerLink(name=name, address=address, key=key)
            for name, address in addresses.items()
        }

    async def start(self) -> None:
        """Starts every link."""
        for link in self._links.values():
            await link.start()

    async def close(self) -> None:
        """Closes every link."""
        for link in self._links.values():
            await link.close()

    def send(self, peer: str, message: wire.Message) -> None:
        """Queues a message for a replica."""
        self._links[peer].send(message)
