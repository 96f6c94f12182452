"""The in-memory part of the replicated log."""

from galenashed.protocol import consensus as wire


class Log:
    """Entries after a base position, which a snapshot covers.

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

    def term_at(self, index: int) -> int | None:
        """Returns the term at ``index``, or None if it is not held."""
        if index == self.base.index:
            return self.base.term
        if index < self.base.index or index > self.last_index:
            return None
        return self.entries[index - self.base.index - 1].term

    def after(self, index: int, max_bytes: int) -> list[wire.Entry]:
        """Returns entries that follow ``index``, at least one if any."""
        start = index - self.base.index
        found: list[wire.Entry] = []
        size = 0
        for position in range(start, len(self.entries)):
            entry = self.entries[position]
            size += len(entry.data)
            if found and size > max_bytes:
                break
            found.append(entry)
        return found

    def between(self, low: int, high: int) -> list[wire.Entry]:
        """Returns the entries with ``low < index <= high``."""
        base = self.base.index
        return self.entries[low - base : high - base]

    def append(self, entries: list[wire.Entry]) -> None:
        """Appends entries, dropping held ones from the first index on."""
        if not entries:
            return
        keep = entries[0].index - self.base.index - 1
        del self.entries[keep:]
        self.entries.extend(entries)

    def compact(self, index: int) -> None:
        """Forgets the entries up to ``index``."""
        term = self.term_at(index)
        if term is None or index <= self.base.index:
            return
        del self.entries[: index - self.base.index]
        self.base = wire.SnapshotMeta(index=index, term=term)

    def reset(self, base: wire.SnapshotMeta) -> None:
        """Replaces the whole log by the position of a snapshot."""
        self.base = base
        self.entries = []
