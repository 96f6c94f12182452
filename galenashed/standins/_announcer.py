"""Periodic announcement of a target to an entry that accepts it."""

import asyncio

import aiohttp
import loguru
import msgspec

from galenashed import telemetry

LOG = loguru.logger

ANNOUNCE_INTERVAL_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 1.0


class Announcer:
    """Announces a target periodically until it is closed.

    Parameters
    ----------
    entries : list of str
        ``ip:port`` of entries; the next one is tried when one fails.
    key : str
        Key that authenticates targets.
    make_announcement : callable
        Returns the current announcement.
    """

    def __init__(self, *, entries: list[str], key: str, make_announcement):
        self.entries = entries
        self.key = key
        self.make_announcement = make_announcement
        self._entry_index = 0
        self._session: aiohttp.ClientSession
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the announcing task."""
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        self._session = aiohttp.ClientSession(timeout=timeout)
        self._task = telemetry.start_task(self._run(), "announcer")

    async def close(self) -> None:
        """Stops the announcing task and closes the HTTP session."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()

    async def announce(self) -> bool:
        """Announces once; returns whether an entry accepted it."""
        for _ in self.entries:
            address = self.entries[self._entry_index % len(self.entries)]
            if await self._send(address):
                return True
            self._entry_index += 1
        return False

    async def _send(self, address: str) -> bool:
        url = f"http://{address}/targets/announce"
        body = msgspec.json.encode(self.make_announcement())
        headers = {"Authorization": f"Bearer {self.key}"}
        try:
            async with self._session.post(
                url, data=body, headers=headers
            ) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            LOG.debug("announcement to entry {} failed", address)
            return False

    async def _run(self) -> None:
        while True:
            await self.announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_SECONDS)
