"""Transport of consensus messages between control replicas."""

from galenashed import consensus
from galenashed.protocol import consensus as wire
from galenashed.protocol import links
from galenashed.protocol import methods
from galenashed import telemetry

MAX_QUEUED_MESSAGES = 2048


class PeerLinks:
    """The outgoing links of a replica, used as its consensus transport.

    Parameters
    ----------
    name : str
        Name of this replica.
    addresses : dict
        Name to ``ip:port`` of replicas whose address is configured; other
        addresses are taken from the membership.
    key : str
        Key that replicas present to each other.
    """

    def __init__(self, *, name: str, addresses: dict[str, str], key: str):
        self.name = name
        self.addresses = addresses
        self.key = key
        self._links: dict[str, links.StreamLink] = {}
        self._announced_addresses: dict[str, str] = {}

    async def close(self) -> None:
        """Closes every link."""
        for link in self._links.values():
            await link.close()

    def set_members(self, members: consensus.Members) -> None:
        """Opens links to new members and closes links to removed ones."""
        wanted = {m.name: m.address for m in members if m.name != self.name}
        for name in list(self._links):
            if name not in wanted:
                link = self._links.pop(name)
                telemetry.start_task(link.close(), "link")
        for name, address in wanted.items():
            if name not in self._links:
                self._open(name, address)

    def record_address(self, hello: wire.Hello) -> None:
        """Records the address of a replica that sends to this one.

        The log of this replica may not contain the sender yet, if this
        replica has just joined or was down while others were replaced.
        """
        self._announced_addresses[hello.sender] = hello.address

    def _open(self, name: str, address: str) -> links.StreamLink:
        address = self.addresses.get(name, address)
        link = links.StreamLink(
            name=name,
            address=address,
            key=self.key,
            method=methods.DELIVER,
            max_queued=MAX_QUEUED_MESSAGES,
            first_message=wire.Hello(
                sender=self.name, address=self.addresses[self.name]
            ),
        )
        self._links[name] = link
        link.start()
        return link

    def send(self, peer: str, message: wire.Message) -> None:
        """Queues a message to a replica; drops it if no address is known."""
        link = self._links.get(peer)
        if link is None and peer in self._announced_addresses:
            link = self._open(peer, self._announced_addresses[peer])
        if link is not None:
            link.send(message)
