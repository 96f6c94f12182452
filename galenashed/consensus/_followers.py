"""What a leader knows of the other replicas."""


class Progress:
    """What a leader knows of one follower; ``contact`` in seconds.

    While ``probing``, it is sent no entries, until an empty append has
    shown where its log and the leader's agree.
    """

    __slots__ = ("contact", "match", "next", "offset", "probing")

    def __init__(self, *, next_index: int, contact: float):
        self.match = 0
        self.next = next_index
        self.probing = False
        self.contact = contact
        # Bytes of the current snapshot that the follower holds, or None
        # while it is served from the log.
        self.offset: int | None = None


class Followers:
    """The replicas that a leader sends to, by their names.

    Empty at a replica that does not lead.
    """

    __slots__ = ("_progress",)

    def __init__(self) -> None:
        self._progress: dict[str, Progress] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._progress

    def __getitem__(self, name: str) -> Progress:
        return self._progress[name]

    def clear(self) -> None:
        """Forgets all, as a leader that steps down."""
        self._progress = {}

    def keep(self, names: list[str], *, next_index: int, now: float) -> None:
        """Drops those that are not named, and takes new ones up."""
        held = self._progress
        self._progress = {
            name: held.get(name)
            or Progress(next_index=next_index, contact=now)
            for name in names
        }

    def match(self, name: str) -> int | None:
        """Returns the index up to which a replica surely holds the log."""
        progress = self._progress.get(name)
        return None if progress is None else progress.match

    def matches(self, names: set[str]) -> list[int]:
        """Returns those indexes of all that are named."""
        return [
            progress.match
            for name, progress in self._progress.items()
            if name in names
        ]

    def count_recent(self, names: set[str], since: float) -> int:
        """Counts those named that have answered after ``since``."""
        return sum(
            progress.contact > since
            for name, progress in self._progress.items()
            if name in names
        )

    def silence(self, name: str, now: float) -> float:
        """Returns the seconds since a follower answered; 0 if unknown."""
        progress = self._progress.get(name)
        return 0.0 if progress is None else now - progress.contact

    def probe_silent(self, since: float) -> None:
        """Has those that have not answered after ``since`` probed."""
        for progress in self._progress.values():
            if progress.contact < since:
                progress.probing = True
                progress.next = progress.match + 1

    def restart_snapshots(self) -> None:
        """Has unfinished snapshots start again, for there is a newer one."""
        for progress in self._progress.values():
            progress.offset = None
