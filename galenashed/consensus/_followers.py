"""Replication progress of the followers, as tracked by the leader."""


class Progress:
    """Replication progress of one follower; ``last_contact`` in seconds.

    While ``probing`` is set, the follower is sent no entries; empty appends
    first determine up to which index its log matches the leader's.

    ``snapshot_offset`` is the number of bytes of the current snapshot that
    the follower has received, None while it is served from the log.  One
    chunk is in flight at a time; ``chunk_sent_by`` is a time by which it was
    sent, None until the next heartbeat, ``repeat_factor`` how many election
    timeouts it may take, and ``reported_offset`` the offset of the follower's
    last reply.
    """

    __slots__ = (
        "chunk_sent_by",
        "last_contact",
        "match_index",
        "next_index",
        "probing",
        "repeat_factor",
        "reported_offset",
        "snapshot_offset",
    )

    def __init__(self, *, next_index: int, last_contact: float):
        self.match_index = 0
        self.next_index = next_index
        self.probing = False
        self.last_contact = last_contact
        self.snapshot_offset: int | None = None
        self.chunk_sent_by: float | None = None
        self.repeat_factor = 1
        self.reported_offset = 0


class Followers:
    """Progress of the replicas that a leader sends to, by name.

    Empty on a replica that is not the leader.
    """

    __slots__ = ("_progress",)

    def __init__(self) -> None:
        self._progress: dict[str, Progress] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._progress

    def __getitem__(self, name: str) -> Progress:
        return self._progress[name]

    def clear(self) -> None:
        """Drops all progress when the leader steps down."""
        self._progress = {}

    def set_peers(
        self, names: list[str], *, next_index: int, now: float
    ) -> None:
        """Drops replicas not in ``names`` and starts to track new ones."""
        previous = self._progress
        self._progress = {
            name: previous.get(name)
            or Progress(next_index=next_index, last_contact=now)
            for name in names
        }

    def match_index(self, name: str) -> int | None:
        """Returns the last index known to match on a replica."""
        progress = self._progress.get(name)
        return None if progress is None else progress.match_index

    def match_indexes(self, names: set[str]) -> list[int]:
        """Returns the match indexes of the tracked replicas in ``names``."""
        return [
            progress.match_index
            for name, progress in self._progress.items()
            if name in names
        ]

    def count_responsive(self, names: set[str], since: float) -> int:
        """Counts replicas in ``names`` that replied after ``since``."""
        return sum(
            progress.last_contact > since
            for name, progress in self._progress.items()
            if name in names
        )

    def seconds_since_contact(self, name: str, now: float) -> float:
        """Returns the seconds since a follower replied; 0 if unknown."""
        progress = self._progress.get(name)
        return 0.0 if progress is None else now - progress.last_contact

    def probe_unresponsive(self, since: float) -> None:
        """Probes followers whose last reply is older than ``since``."""
        for progress in self._progress.values():
            if progress.last_contact < since:
                progress.probing = True
                progress.next_index = progress.match_index + 1

    def restart_snapshots(self) -> None:
        """Restarts unfinished transfers, as there is a newer snapshot."""
        for progress in self._progress.values():
            progress.snapshot_offset = None
