"""Carries the log's messages between control replicas."""

from galenashed.protocol import consensus as wire
from galenashed.protocol import links
from galenashed.protocol import methods

MAX_QUEUED_MESSAGES = 2048


class PeerLinks:
    """All outgoing links of a replica: its transport."""

    def __init__(self, *, addresses: dict[str, str], key: str):
        self._links = {
            name: links.StreamLink(
                name=name,
                address=address,
                key=key,
                method=methods.DELIVER,
                max_queued=MAX_QUEUED_MESSAGES,
            )
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
