"""Policies that choose among eligible targets."""

import random
import typing

from galenashed.routing import _group

# Load, as a share of a target's concurrency, that a cached prefix is worth.
AFFINITY_SHARE = 0.25


class Balancer(typing.Protocol):
    """Chooses one of some eligible targets."""

    def choose(
        self,
        eligible: list[_group.TargetStats],
        homes: list[_group.TargetStats],
    ) -> _group.TargetStats:
        """Returns one of ``eligible``, which is not empty.

        ``homes`` are the targets that may hold the prompt's prefix, the
        likeliest first; they need not be eligible.
        """


class RandomBalancer:
    """Chooses at random."""

    def __init__(self, *, rng: random.Random):
        self.rng = rng

    def choose(self, eligible, homes):
        """See :class:`Balancer`."""
        return self.rng.choice(eligible)


class RoundRobinBalancer:
    """Chooses in turn."""

    def __init__(self, *, rng: random.Random):
        self._turn = rng.randrange(1 << 16)

    def choose(self, eligible, homes):
        """See :class:`Balancer`."""
        self._turn += 1
        return eligible[self._turn % len(eligible)]


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
    """Weighs estimated load against the chance of a cached prefix."""

    def __init__(self, *, rng: random.Random):
        self._least_loaded = LeastLoadedBalancer(rng=rng)

    def choose(self, eligible, homes):
        """See :class:`Balancer`."""
        fallback = self._least_loaded.choose(eligible, homes)
        allowed = fallback.load_share + AFFINITY_SHARE
        for home in homes:
            if home in eligible and home.load_share <= allowed:
                return home
        return fallback


class StrictAffinityBalancer:
    """Chooses the prefix's home whatever its load, while it has room."""

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
