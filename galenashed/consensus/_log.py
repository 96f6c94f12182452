"""In-memory part of the replicated log."""

from galenashed.protocol import consensus as wire


class Log:
    """Log entries that follow a base position covered by a snapshot.

    Example::

        log = Log(base=wire.SnapshotMeta(index=10, term=2), entries=[])
        log.append([wire.Entry(11, 2, b"x")])
        assert log.last_index == 11
    """

    __slots__ = ("base", "entries")

    def __init__(self, *, base, entries):
        self.base = base
        self.entries = list(entries)

    @property
    def last_index(self) -> int:
        return self.base.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base.term

    def size(self) -> int:
        """Returns the bytes of data of the entries in memory."""
        return sum(len(entry.data) for entry in self.entries)

    def term_at(self, index: int) -> int | None:
        """Returns the term at ``index``, or None if it is not in memory."""
        if index == self.base.index:
            return self.base.term
        if index < self.base.index or index > self.last_index:
            return None
        return self.entries[index - self.base.index - 1].term

    def count_last(self, index: int, max_entries: int, max_bytes: int) -> int:
        """Returns how many of the last entries up to ``index`` fit."""
        count = size = 0
        for entry in reversed(self.entries[: index - self.base.index]):
            size += len(entry.data)
            if count >= max_entries or size > max_bytes:
                break
            count += 1
        return count

    def after(self, index: int, max_bytes: int) -> list[wire.Entry]:
        """Returns entries after ``index``, limited to ``max_bytes`` of data.

        The first entry is returned even if it exceeds the limit.
        """
        start = index - self.base.index
        selected: list[wire.Entry] = []
        size = 0
        for position in range(start, len(self.entries)):
            entry = self.entries[position]
            size += len(entry.data)
            if selected and size > max_bytes:
                break
            selected.append(entry)
        return selected

    def between(self, low: int, high: int) -> list[wire.Entry]:
        """Returns the entries with ``low < index <= high``."""
        base = self.base.index
        return self.entries[low - base : high - base]

    def append(self, entries: list[wire.Entry]) -> None:
        """Appends entries after truncating the log at the first index."""
        if not entries:
            return
        keep = entries[0].index - self.base.index - 1
        del self.entries[keep:]
        self.entries.extend(entries)

    def compact(self, index: int) -> None:
        """Discards the entries up to and including ``index``."""
        term = self.term_at(index)
        if term is None or index <= self.base.index:
            return
        del self.entries[: index - self.base.index]
        self.base = wire.SnapshotMeta(index=index, term=term)

    def reset(self, base: wire.SnapshotMeta) -> None:
        """Empties the log and sets its base to that of a snapshot."""
        self.base = base
        self.entries = []
