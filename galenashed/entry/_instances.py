"""Which instances callers are told to use."""

import random
import time

from galenashed import membership
from galenashed.protocol import spread as wire

# Requests in flight that count as the same load, so that callers spread.
LOAD_STEP = 8


class Instances:
    """Ranks the entries for callers.

    Parameters
    ----------
    directory : galenashed.membership.Directory
        The other entries.
    describe : callable
        Returns this entry's own announcement.
    max_age : float
        Seconds that callers may keep an answer.
    target_lease : float
        Seconds within which targets must announce themselves again.
    rng : random.Random
        Spreads callers over equal instances.
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

        Instances of the caller's failure domain, if named, come first, then
        the less loaded ones.  A draining instance is left out.
        """
        known = [self.describe(), *self.directory.alive(time.monotonic())]
        serving = [peer for peer in known if peer.state == "serving"]

        def rank(peer: wire.Instance):
            return (
                peer.failure_domain != failure_domain,
                peer.in_flight // LOAD_STEP,
                self.rng.random(),
            )

        return [
            {
                "name": peer.name,
                "address": peer.address,
                "failure_domain": peer.failure_domain,
            }
            for peer in sorted(serving, key=rank)
        ]
