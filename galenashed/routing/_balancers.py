"""Policies that choose among eligible targets."""

import random
import typing

import xxhash

if typing.TYPE_CHECKING:
    from galenashed.routing import _router

# Load, as a share of a target's concurrency, that a cached prefix is worth.
AFFINITY_SHARE = 0.25


class Balancer(typing.Protocol):
    """Chooses one of some eligible targets."""

    def choose(
        self, eligible: list["_router.TargetStats"], prefix: bytes
    ) -> "_router.TargetStats":
        """Returns one of ``eligible``, which is not empty.

        ``prefix`` is the leading part of the prompt, empty if there is
        none.
        """


class RandomBalancer:
    """Chooses at random."""

    def __init__(self, *, rng: random.Random):
        self.rng = rng

    def choose(self, eligible, prefix):
        """See :class:`Balancer`."""
        return self.rng.choice(eligible)


class RoundRobinBalancer:
    """Chooses in turn."""

    def __init__(self, *, rng: random.Random):
        self._turn = rng.randrange(1 << 16)

    def choose(self, eligible, prefix):
        """See :class:`Balancer`."""
        self._turn += 1
        return eligible[self._turn % len(eligible)]


class LeastLoadedBalancer:
    """Chooses the target with the lowest estimated load."""

    def __init__(self, *, rng: random.Random):
        self.rng = rng

    def choose(self, eligible, prefix):
        """See :class:`Balancer`."""
        lowest = min(stats.load_share for stats in eligible)
        best = [s for s in eligible if s.load_share <= lowest]
        return self.rng.choice(best)


class AffinityBalancer:
    """Weighs estimated load against the chance of a cached prefix.

    A prefix has a first and a second home by rendezvous hashing, which
    moves few prefixes when targets come and go.
    """

    def __init__(self, *, rng: random.Random):
        self.rng = rng
        self._least_loaded = LeastLoadedBalancer(rng=rng)

    def choose(self, eligible, prefix):
        """See :class:`Balancer`."""
        fallback = self._least_loaded.choose(eligible, prefix)
        if not prefix or len(eligible) == 1:
            return fallback
        seed = xxhash.xxh64_intdigest(prefix)
        home = max(
            eligible,
            key=lambda s: xxhash.xxh64_intdigest(s.name.encode(), seed),
        )
        if home.load_share <= fallback.load_share + AFFINITY_SHARE:
            return home
        return fallback


BALANCERS: dict[str, type] = {
    "affinity": AffinityBalancer,
    "least-loaded": LeastLoadedBalancer,
    "random": RandomBalancer,
    "round-robin": RoundRobinBalancer,
}
