"""The targets that can serve one model or plain service."""

import bisect
import random

import xxhash

from galenashed.protocol import spread as wire

RING_POINTS_PER_TARGET = 32
HOMES = 2
SAMPLE_SIZE = 8


class TargetStats:
    """One target as seen from this entry.

    ``in_flight`` counts this entry's own requests, ``since_report`` those
    sent since the last load report, which lags.
    """

    __slots__ = (
        "announced",
        "ejected_until",
        "failures",
        "in_flight",
        "joined",
        "limit",
        "name",
        "since_report",
        "suspects",
    )

    def __init__(self, *, announced: wire.Target, joined: float):
        self.name = announced.name
        self.announced = announced
        self.joined = joined
        self.limit = 1.0
        self.in_flight = 0
        self.since_report = 0
        self.failures = 0
        self.ejected_until = 0.0
        self.suspects = 0

    @property
    def load(self) -> int:
        """Requests at the target: reported, or known from here."""
        report = self.announced.load
        reported = report.running + report.waiting + self.since_report
        return max(self.in_flight, reported)

    @property
    def load_share(self) -> float:
        """Load as a share of what the target may take now."""
        return self.load / self.limit


class Group:
    """Equal targets, with a consistent hash ring over them.

    Parameters
    ----------
    members : list of TargetStats
        The targets, all ready and alive.
    """

    __slots__ = ("_owners", "_points", "members")

    def __init__(self, *, members: list[TargetStats]):
        self.members = members
        ring = sorted(
            (xxhash.xxh64_intdigest(f"{stats.name}#{n}".encode()), position)
            for position, stats in enumerate(members)
            for n in range(RING_POINTS_PER_TARGET)
        )
        self._points = [point for point, _ in ring]
        self._owners = [position for _, position in ring]

    def homes(self, prefix: bytes) -> list[TargetStats]:
        """Returns the targets that a prefix is at home at, first first."""
        wanted = min(HOMES, len(self.members))
        found: list[TargetStats] = []
        start = bisect.bisect(self._points, xxhash.xxh64_intdigest(prefix))
        for step in range(len(self._owners)):
            owner = self._owners[(start + step) % len(self._owners)]
            stats = self.members[owner]
            if stats not in found:
                found.append(stats)
                if len(found) == wanted:
                    break
        return found

    def sample(self, rng: random.Random) -> list[TargetStats]:
        """Returns some members at random, or all if they are few."""
        if len(self.members) <= SAMPLE_SIZE:
            return self.members
        return rng.sample(self.members, SAMPLE_SIZE)

    def count_ejected(self, now: float) -> int:
        """Returns how many members are ejected."""
        return sum(stats.ejected_until > now for stats in self.members)
