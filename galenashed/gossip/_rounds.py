"""What the ways of gossip have in common: rounds, addresses and messages."""

import random
import typing

from galenashed import membership
from galenashed.protocol import gossip as wire

Message = wire.GossipMessage | wire.CompactMessage
Addressed = tuple[str, Message]


class Rounds(typing.Protocol):
    """Decides what an entry sends in each round, and to whom."""

    @property
    def round_seconds(self) -> float:
        """Time between two rounds without urgent updates."""

    def on_instance(
        self, name: str, now: float, *, changed: bool, local: bool
    ) -> None:
        """Notes a newer announcement of an instance.

        ``local`` tells whether it came from the own failure domain.
        """

    def on_target(
        self,
        name: str,
        now: float,
        *,
        changed: bool,
        local: bool,
        first_hand: bool,
    ) -> None:
        """Notes a newer announcement of a target; see above.

        ``first_hand`` tells whether the target itself sent it.
        """

    def next_messages(self, own: wire.Instance, now: float) -> list[Addressed]:
        """Returns the messages of one round, with their addresses."""

    def retain(self, instances: set[str], targets: set[str]) -> None:
        """Forgets all names that are in neither set."""


class Contacts:
    """The addresses of entries, alive and not.

    Parameters
    ----------
    seeds : list of str
        ``ip:port`` of the entries to contact first.
    instances : Directory
        Known instances.
    rng : random.Random
        Draws addresses.
    """

    __slots__ = ("instances", "rng", "seeds")

    def __init__(
        self,
        *,
        seeds: list[str],
        instances: membership.Directory,
        rng: random.Random,
    ):
        self.seeds = seeds
        self.instances = instances
        self.rng = rng

    def alive(self, own_address: str, now: float) -> set[str]:
        """Returns the addresses of the other entries that are alive."""
        found = {peer.peer_address for peer in self.instances.alive(now)}
        found.discard(own_address)
        return found

    def unreachable(self, own_address: str, alive: set[str]) -> str | None:
        """Draws a seed or an entry whose lease has expired.

        The sides of a network partition find each other again through it.
        """
        known = {peer.peer_address for peer in self.instances.all()}
        candidates = {*self.seeds, *known} - {own_address, *alive}
        if not candidates:
            return None
        return self.rng.choice(sorted(candidates))


def get_all(
    directory: membership.Directory, names: typing.Iterable[str]
) -> list[typing.Any]:
    """Returns the announcements of those names that are known."""
    found = (directory.get(name) for name in names)
    return [announced for announced in found if announced is not None]


def ages(
    directory: membership.Directory, announcements: list, now: float
) -> list[float]:
    """Returns the seconds since each announcer was heard."""
    return [round(directory.age(item.name, now), 3) for item in announcements]
