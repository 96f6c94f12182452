"""Load balancing policies."""

import random
import typing

from galenashed.routing import _group

# Extra load, as a share of a target's concurrency, that is accepted for a
# likely prefix cache hit.
AFFINITY_LOAD_MARGIN = 0.25


class Balancer(typing.Protocol):
    """Load balancing policy."""

    def choose(
        self,
        eligible: list[_group.TargetStats],
        homes: list[_group.TargetStats],
    ) -> _group.TargetStats:
        """Returns one of ``eligible``, which is not empty.

        ``homes`` are the targets most likely to have the prompt's prefix in
        their cache, likeliest first; they need not be eligible.
        """


class RandomBalancer:
    """Chooses a target uniformly at random."""

    def __init__(self, *, rng: random.Random):
        self.rng = rng

    def choose(self, eligible, homes):
        """See :class:`Balancer`."""
        return self.rng.choice(eligible)


class RoundRobinBalancer:
    """Cycles through the targets from a random start position."""

    def __init__(self, *, rng: random.Random):
        self._position = rng.randrange(1 << 16)

    def choose(self, eligible, homes):
        """See :class:`Balancer`."""
        self._position += 1
        return eligible[self._position % len(eligible)]


class LeastLoadedBalancer:
    """Chooses the target with the lowest estimated load."""

    def __init__(self, *, rng: random.Random):
        self.rng = rng

    def choose(self, eligible, homes):
        """See :class:`Balancer`."""
        lowest = min(stats.load_share for stats in eligible)
        best = [s for s in eligible if s.load_share <= lowest]
        return self.rng.choice(best)


class AffinityBalancer:
    """Prefers a home target unless its load is much above the lowest."""

    def __init__(self, *, rng: random.Random):
        self._least_loaded = LeastLoadedBalancer(rng=rng)

    def choose(self, eligible, homes):
        """See :class:`Balancer`."""
        fallback = self._least_loaded.choose(eligible, homes)
        allowed = fallback.load_share + AFFINITY_LOAD_MARGIN
        for home in homes:
            if home in eligible and home.load_share <= allowed:
                return home
        return fallback


class StrictAffinityBalancer:
    """Chooses the first eligible home target, whatever its load."""

    def __init__(self, *, rng: random.Random):
        self._least_loaded = LeastLoadedBalancer(rng=rng)

    def choose(self, eligible, homes):
        """See :class:`Balancer`."""
        for home in homes:
            if home in eligible:
                return home
        return self._least_loaded.choose(eligible, homes)


BALANCERS: dict[str, type] = {
    "affinity": AffinityBalancer,
    "home": StrictAffinityBalancer,
    "least-loaded": LeastLoadedBalancer,
    "random": RandomBalancer,
    "round-robin": RoundRobinBalancer,
}
