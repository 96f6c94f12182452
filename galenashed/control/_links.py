"""Carries the log's messages between control replicas."""

from galenashed import consensus
from galenashed.protocol import consensus as wire
from galenashed.protocol import links
from galenashed.protocol import methods
from galenashed import telemetry

MAX_QUEUED_MESSAGES = 2048


class PeerLinks:
    """All outgoing links of a replica: its transport.

    Parameters
    ----------
    name : str
        This replica.
    addresses : dict
        Name to ``ip:port`` of replicas whose address is set here; that of
        others is taken from the membership.
    key : str
        The peers' key.
    """

    def __init__(self, *, name: str, addresses: dict[str, str], key: str):
        self.name = name
        self.addresses = addresses
        self.key = key
        self._links: dict[str, links.StreamLink] = {}
        self._heard: dict[str, str] = {}

    async def close(self) -> None:
        """Closes every link."""
        for link in self._links.values():
            await link.close()

    def set_members(self, members: consensus.Members) -> None:
        """Opens links to new replicas and closes those to removed ones."""
        wanted = {m.name: m.address for m in members if m.name != self.name}
        for name in list(self._links):
            if name not in wanted:
                link = self._links.pop(name)
                telemetry.start_task(link.close(), "link")
        for name, address in wanted.items():
            if name not in self._links:
                self._open(name, address)

    def hear(self, hello: wire.Hello) -> None:
        """Notes where a replica is that sends to this one.

        It may be one that this replica's log does not name yet, as when it
        has just joined or was down while others were replaced.
        """
        self._heard[hello.sender] = hello.address

    def _open(self, name: str, address: str) -> links.StreamLink:
        address = self.addresses.get(name, address)
        link = links.StreamLink(
            name=name,
            address=address,
            key=self.key,
            method=methods.DELIVER,
            max_queued=MAX_QUEUED_MESSAGES,
            greeting=wire.Hello(
                sender=self.name, address=self.addresses[self.name]
            ),
        )
        self._links[name] = link
        link.start()
        return link

    def send(self, peer: str, message: wire.Message) -> None:
        """Queues a message for a replica."""
        link = self._links.get(peer)
        if link is None and peer in self._heard:
            link = self._open(peer, self._heard[peer])
        if link is not None:
            link.send(message)
