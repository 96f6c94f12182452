"""Asks other entries whether they reach a target, and answers them.

An entry that can't connect to any target can't tell by itself whether these
have crashed or its own paths are lost.
"""

import asyncio
import random
import time

import loguru

from galenashed import engines
from galenashed import membership
from galenashed.protocol import methods
from galenashed.protocol import rpc

LOG = loguru.logger

MAX_ASKED = 8
PROBE_SECONDS = 0.2
TIMEOUT_SECONDS = 0.3


class ReachExchange:
    """Exchanges with other entries which targets can be connected to.

    Parameters
    ----------
    directory : Directory
        Lists the other entries.
    key : str
        Key that all entries share.
    prober : Prober
        Opens connections to targets for other entries.
    targets : KnownTargets
        The targets that others may ask about.
    rng : random.Random
        Samples the entries to ask.
    """

    def __init__(
        self,
        *,
        directory: membership.Directory,
        key: str,
        prober: engines.Prober,
        targets: engines.KnownTargets,
        rng: random.Random,
    ):
        self.directory = directory
        self.prober = prober
        self.targets = targets
        self.rng = rng
        self._channels = rpc.ChannelPool(key=key)

    async def close(self) -> None:
        """Closes the connections to other entries."""
        await self._channels.close()

    async def any_reaches(self, address: str) -> bool:
        """Whether some other entry can connect to a target."""
        entries = self.directory.alive(time.monotonic())
        asked = self.rng.sample(entries, min(MAX_ASKED, len(entries)))
        questions = [
            asyncio.create_task(
                self._ask(entry.peer_address, address), name="reach target"
            )
            for entry in asked
        ]
        try:
            for question in asyncio.as_completed(questions):
                if await question:
                    return True
        finally:
            for task in questions:
                task.cancel()
        return False

    async def _ask(self, peer_address: str, address: str) -> bool:
        try:
            return await self._channels.get(peer_address).call(
                methods.REACH_TARGET, address, timeout=TIMEOUT_SECONDS
            )
        except rpc.RpcError as exc:
            LOG.debug("no answer of {}: {}", peer_address, exc.code())
            return False

    async def answer(self, address: str, context) -> bool:
        """Answers another entry that can't reach a target."""
        known = self.targets.ready_addresses(with_evacuated=True)
        if not any(address in addresses for addresses in known.values()):
            return False
        try:
            async with asyncio.timeout(PROBE_SECONDS):
                return await self.prober.accepts_connections(address)
        except TimeoutError:
            return False
