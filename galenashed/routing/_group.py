"""Groups of interchangeable targets: one per model or plain service."""

import bisect
import random

import xxhash

from galenashed.protocol import gossip as wire

RING_POINTS_PER_TARGET = 32
HOMES_PER_PREFIX = 2
SAMPLE_SIZE = 8


class TargetStats:
    """Load and health of one target, as seen by this entry.

    ``in_flight`` counts the requests of this entry that are running at the
    target.  ``sent_since_report`` counts those sent after the latest load
    report, which does not include them yet.  ``suspects`` counts those in
    flight that are suspected of crashing engines.
    """

    __slots__ = (
        "announced",
        "consecutive_failures",
        "ejected_until",
        "in_flight",
        "joined",
        "limit",
        "name",
        "sent_since_report",
        "suspects",
    )

    def __init__(self, *, announced: wire.Target, joined: float):
        self.name = announced.name
        self.announced = announced
        self.joined = joined
        self.limit = 1.0
        self.in_flight = 0
        self.sent_since_report = 0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.suspects = 0

    @property
    def incarnation_name(self) -> str:
        return f"{self.name}/{self.announced.incarnation}"

    @property
    def load(self) -> int:
        """Estimated requests at the target, at least this entry's own."""
        report = self.announced.load
        reported = report.running + report.waiting + self.sent_since_report
        return max(self.in_flight, reported)

    @property
    def load_share(self) -> float:
        """Load as a share of the target's current concurrency limit."""
        return self.load / self.limit


class Group:
    """Interchangeable targets with a consistent hash ring over them.

    Parameters
    ----------
    members : list of TargetStats
        The targets; all are ready and alive.
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
        """Returns the home targets of a prefix in ring order."""
        count = min(HOMES_PER_PREFIX, len(self.members))
        homes: list[TargetStats] = []
        start = bisect.bisect(self._points, xxhash.xxh64_intdigest(prefix))
        for step in range(len(self._owners)):
            owner = self._owners[(start + step) % len(self._owners)]
            stats = self.members[owner]
            if stats not in homes:
                homes.append(stats)
                if len(homes) == count:
                    break
        return homes

    def sample(self, rng: random.Random) -> list[TargetStats]:
        """Returns a random sample of the members, or all if there are few."""
        if len(self.members) <= SAMPLE_SIZE:
            return self.members
        return rng.sample(self.members, SAMPLE_SIZE)

    def count_ejected(self, now: float) -> int:
        """Returns the number of members that are ejected."""
        return sum(stats.ejected_until > now for stats in self.members)
