"""Announces a target to whichever entry answers."""

import asyncio

import aiohttp
import loguru
import msgspec

from galenashed import telemetry

LOG = loguru.logger

ANNOUNCE_SECONDS = 0.5
TIMEOUT_SECONDS = 1.0


class Announcer:
    """Sends a target's announcements.

    Parameters
    ----------
    entries : list of str
        ``ip:port`` of entries; the next one is tried when one fails.
    key : str
        The targets' key.
    describe : callable
        Returns the announcement of the moment.
    """

    def __init__(self, *, entries: list[str], key: str, describe):
        self.entries = entries
        self.key = key
        self.describe = describe
        self._position = 0
        self._session: aiohttp.ClientSession
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._task = telemetry.start_task(self._run(), "announcer")

    async def close(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()

    async def announce(self) -> bool:
        """Announces once; returns whether an entry took it."""
        for _ in self.entries:
            address = self.entries[self._position % len(self.entries)]
            if await self._send(address):
                return True
            self._position += 1
        return False

    async def _send(self, address: str) -> bool:
        url = f"http://{address}/targets/announce"
        body = msgspec.json.encode(self.describe())
        headers = {"Authorization": f"Bearer {self.key}"}
        try:
            async with self._session.post(
                url, data=body, headers=headers
            ) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            LOG.debug("entry {} took no announcement", address)
            return False

    async def _run(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_SECONDS)
