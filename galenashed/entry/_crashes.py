"""Tells targets that have crashed from those out of reach."""

import loguru

from galenashed import clients
from galenashed import engines
from galenashed import gossip

LOG = loguru.logger


class CrashDetector:
    """Tells targets that have crashed from those out of reach of this entry.

    Parameters
    ----------
    client : TargetClient
        Opens connections to targets.
    paths : Paths
        Tells whether this entry reaches any target.
    reach : ReachExchange
        Asks other entries.
    """

    def __init__(
        self,
        *,
        client: clients.TargetClient,
        paths: engines.Paths,
        reach: gossip.ReachExchange,
    ):
        self.client = client
        self.paths = paths
        self.reach = reach

    async def has_crashed(self, address: str) -> bool:
        """Returns whether the target at an address is down."""
        if not await self.client.refuses_connections(address):
            return False
        await self.paths.check(max_age=0.0)
        if not self.paths.isolated:
            return True
        reached = await self.reach.any_reaches(address)
        if reached:
            LOG.info("target {} is out of reach, but has not crashed", address)
        return not reached
