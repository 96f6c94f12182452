"""The list of instances that callers can use."""

import random
import time

from galenashed import membership
from galenashed.protocol import gossip as wire

# Loads are compared in steps of this many in-flight requests, so that callers
# spread over instances with similar load.
LOAD_BUCKET_SIZE = 8


class Instances:
    """Ranks the entries for callers.

    Parameters
    ----------
    directory : galenashed.membership.Directory
        The announcements of the other entries.
    describe : callable
        Returns this entry's own announcement.
    max_age : float
        Seconds for which callers may cache the list.
    target_lease : float
        Seconds within which targets must renew their announcement.
    rng : random.Random
        Breaks ties between instances at random.
    """

    def __init__(
        self,
        *,
        directory: membership.Directory,
        describe,
        max_age: float,
        target_lease: float,
        rng: random.Random,
    ):
        self.directory = directory
        self.describe = describe
        self.max_age = max_age
        self.target_lease = target_lease
        self.rng = rng

    def ranked(self, failure_domain: str) -> list[dict[str, str]]:
        """Returns the serving instances, best first.

        Instances in the given failure domain come first; within each group
        they are ordered by load.  Draining, starting and cut-off instances
        are left out, and those that reach no target unless none does.
        """
        known = [self.describe(), *self.directory.alive(time.monotonic())]
        serving = [peer for peer in known if peer.state == "serving"]
        reaching = [peer for peer in serving if not peer.isolated]
        return [
            {
                "name": peer.name,
                "address": peer.address,
                "failure_domain": peer.failure_domain,
            }
            for peer in self._sort(reaching or serving, failure_domain)
        ]

    def with_path(self, service: str) -> list[wire.Instance]:
        """Returns the other instances that reach a service, best first."""
        own = self.describe()
        peers = [
            peer
            for peer in self.directory.alive(time.monotonic())
            if peer.name != own.name
            and peer.state == "serving"
            and service not in peer.unreachable
        ]
        return self._sort(peers, own.failure_domain)

    def _sort(
        self, peers: list[wire.Instance], failure_domain: str
    ) -> list[wire.Instance]:
        def rank(peer: wire.Instance):
            return (
                peer.failure_domain != failure_domain,
                peer.in_flight // LOAD_BUCKET_SIZE,
                self.rng.random(),
            )

        return sorted(peers, key=rank)
