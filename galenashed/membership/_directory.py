"""Sans-IO directory of instances and targets.

An announcement is newer than another of the same name if its incarnation
started later, or if the incarnation is the same and its sequence number is
higher.  Only a newer announcement updates a record or renews its lease, so a
delayed copy of an old one cannot bring back a target that has left.
"""

import typing

from galenashed.protocol import gossip as wire

# Tombstones and expired records are kept for this many leases.
TOMBSTONE_LEASES = 20

Announcement = wire.Target | wire.Instance


class Record:
    """The latest announcement of a name and how it was received.

    ``heard_at`` is when the announcer was heard last, by this entry or by
    those from which the announcement came; ``renewed_at`` is when its lease
    began.  ``from_announcer`` tells whether it came from the announcer itself;
    ``joined`` is when its incarnation was first received.
    """

    __slots__ = (
        "announced",
        "from_announcer",
        "heard_at",
        "joined",
        "renewed_at",
    )

    def __init__(
        self,
        *,
        announced,
        heard_at: float,
        renewed_at: float,
        from_announcer: bool,
        joined: float,
    ):
        self.announced = announced
        self.heard_at = heard_at
        self.renewed_at = renewed_at
        self.from_announcer = from_announcer
        self.joined = joined


class Directory:
    """The latest announcements of instances or of targets, by name.

    Parameters
    ----------
    lease : float
        Seconds after which an instance or target whose announcement is not
        renewed is considered dead.

    Example::

        directory = Directory(lease=3.0)
        directory.merge(target, now=10.0, from_announcer=True)
        assert directory.alive(now=11.0) == [target]
    """

    def __init__(self, *, lease: float):
        self.lease = lease
        self._records: dict[str, Record] = {}

    def merge(
        self,
        announced: Announcement,
        *,
        now: float,
        from_announcer: bool,
        age: float = 0.0,
    ) -> bool:
        """Merges an announcement; returns whether it replaced the record.

        ``age`` is the time since its announcer was heard by those who forward
        it.  A lease begins with the receipt, as leases allow for delays, but
        not for an announcer that was not heard within a lease: what is
        forwarded again and again must expire.  A newer announcement of an
        incarnation that is leaving only keeps its tombstone for longer.
        """
        heard_at = now - max(0.0, age)
        if now - heard_at >= TOMBSTONE_LEASES * self.lease:
            return False
        record = self._records.get(announced.name)
        if record is not None and not _is_newer(announced, record.announced):
            return False
        joined = now
        renewed_at = now if now - heard_at < self.lease else heard_at
        if record is not None and _same_incarnation(
            announced, record.announced
        ):
            joined = record.joined
            heard_at = max(record.heard_at, heard_at)
            renewed_at = max(record.renewed_at, renewed_at)
            if record.announced.state in ("leaving", "left"):
                # An incarnation that is leaving cannot become ready again.
                record.heard_at = heard_at
                record.renewed_at = renewed_at
                return False
        self._records[announced.name] = Record(
            announced=announced,
            heard_at=heard_at,
            renewed_at=renewed_at,
            from_announcer=from_announcer,
            joined=joined,
        )
        return True

    def renew(
        self, announced: Announcement, *, now: float, age: float
    ) -> bool:
        """Merges a newer announcement of an incarnation that is known.

        The caller has checked that it is both, and that another entry has
        forwarded it.  Does the same as :meth:`merge` at less cost.
        """
        record = self._records[announced.name]
        if age >= TOMBSTONE_LEASES * self.lease:
            return False
        heard_at = now - age
        renewed_at = now if age < self.lease else heard_at
        if heard_at > record.heard_at:
            record.heard_at = heard_at
        if renewed_at > record.renewed_at:
            record.renewed_at = renewed_at
        if record.announced.state in ("leaving", "left"):
            return False
        record.announced = announced
        record.from_announcer = False
        return True

    def get(self, name: str) -> Announcement | None:
        """Returns the latest announcement of a name, alive or not."""
        record = self._records.get(name)
        return None if record is None else record.announced

    def all(self) -> list[typing.Any]:
        """Returns all stored announcements, alive or not."""
        return [record.announced for record in self._records.values()]

    def names(self) -> list[str]:
        """Returns the names of all stored announcements."""
        return list(self._records)

    def age(self, name: str, now: float) -> float:
        """Returns the seconds since an announcer was heard."""
        return now - self._records[name].heard_at

    def heard_within(self, seconds: float, now: float) -> list[typing.Any]:
        """Returns the announcements of those heard not longer ago."""
        return [
            record.announced
            for record in self._records.values()
            if now - record.heard_at < seconds
        ]

    def joined_at(self, name: str) -> float:
        """Returns when the current incarnation was first received."""
        return self._records[name].joined

    def alive(self, now: float) -> list[typing.Any]:
        """Returns the announcements whose lease has not expired."""
        return [
            record.announced
            for record in self._records.values()
            if now - record.renewed_at < self.lease
        ]

    def received_directly(self, now: float) -> list[typing.Any]:
        """Returns the announcements received from the announcers themselves.

        Tombstones are included for ``TOMBSTONE_LEASES`` leases, so that an
        entry that was partitioned learns of them, others for one lease.
        """
        announcements = []
        for record in self._records.values():
            leaving = record.announced.state == "leaving"
            leases = TOMBSTONE_LEASES if leaving else 1
            if (
                record.from_announcer
                and now - record.heard_at < leases * self.lease
            ):
                announcements.append(record.announced)
        return announcements

    def expire(self, now: float) -> None:
        """Deletes records that were not renewed for ``TOMBSTONE_LEASES``."""
        oldest = now - TOMBSTONE_LEASES * self.lease
        for name, record in list(self._records.items()):
            if record.heard_at < oldest:
                del self._records[name]


def _same_incarnation(first: Announcement, second: Announcement) -> bool:
    return first.incarnation == second.incarnation


def _is_newer(candidate: Announcement, current: Announcement) -> bool:
    if _same_incarnation(candidate, current):
        return candidate.sequence > current.sequence
    # Breaks ties between incarnations, in the same way on every entry.
    return (candidate.started, candidate.incarnation) > (
        current.started,
        current.incarnation,
    )
