"""The sans-IO record of instances and targets.

An announcement is newer than another of the same name if its incarnation
started later, or if it is the same incarnation and its sequence number is
higher.  Only a newer announcement changes the record or renews a lease, so a
late copy of an old one can't bring back a target that has left.
"""

import typing

from galenashed.protocol import spread as wire

TOMBSTONE_LEASES = 20

Announcement = wire.Target | wire.Instance


class Held:
    """One announcement with the time it was heard and from whom."""

    __slots__ = ("announced", "direct", "heard", "joined")

    def __init__(self, *, announced, heard: float, direct: bool, joined):
        self.announced = announced
        self.heard = heard
        self.direct = direct
        self.joined = joined


class Directory:
    """Announcements of one kind, by name.

    Parameters
    ----------
    lease : float
        Seconds after which an announcement that is not renewed counts as
        silent death.

    Example::

        directory = Directory(lease=3.0)
        directory.merge(target, now=10.0, direct=True)
        assert directory.alive(now=11.0) == [target]
    """

    def __init__(self, *, lease: float):
        self.lease = lease
        self._held: dict[str, Held] = {}

    def merge(
        self, announced: Announcement, *, now: float, direct: bool
    ) -> bool:
        """Takes an announcement; returns whether it was news."""
        held = self._held.get(announced.name)
        if held is not None and not _is_newer(announced, held.announced):
            return False
        joined = now
        if held is not None and _same_life(announced, held.announced):
            joined = held.joined
            if held.announced.state in ("leaving", "left"):
                # Leaving is final for an incarnation.
                held.heard = now
                return False
        self._held[announced.name] = Held(
            announced=announced, heard=now, direct=direct, joined=joined
        )
        return True

    def get(self, name: str) -> Announcement | None:
        """Returns the latest announcement of a name, alive or not."""
        held = self._held.get(name)
        return None if held is None else held.announced

    def all(self) -> list[typing.Any]:
        """Returns every announcement that is remembered, alive or not."""
        return [held.announced for held in self._held.values()]

    def names(self) -> list[str]:
        """Returns all names that are remembered."""
        return list(self._held)

    def joined(self, name: str) -> float:
        """Returns when the present incarnation was first heard of."""
        return self._held[name].joined

    def alive(self, now: float) -> list[typing.Any]:
        """Returns the announcements whose lease runs."""
        return [
            held.announced
            for held in self._held.values()
            if now - held.heard < self.lease
        ]

    def first_hand(self, now: float) -> list[typing.Any]:
        """Returns what was heard directly and is worth telling others.

        Tombstones are told for longer than a lease, so that an entry that
        was cut off learns of them.
        """
        found = []
        for held in self._held.values():
            leaving = held.announced.state == "leaving"
            leases = TOMBSTONE_LEASES if leaving else 1
            if held.direct and now - held.heard < leases * self.lease:
                found.append(held.announced)
        return found

    def expire(self, now: float) -> None:
        """Forgets what has been silent for long."""
        horizon = now - TOMBSTONE_LEASES * self.lease
        for name, held in list(self._held.items()):
            if held.heard < horizon:
                del self._held[name]


def _same_life(first: Announcement, second: Announcement) -> bool:
    return first.incarnation == second.incarnation


def _is_newer(fresh: Announcement, held: Announcement) -> bool:
    if _same_life(fresh, held):
        return fresh.sequence > held.sequence
    # Ties between incarnations are broken the same way everywhere.
    return (fresh.started, fresh.incarnation) > (
        held.started,
        held.incarnation,
    )
