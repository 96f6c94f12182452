"""Cutting a stream of numbered events into whole events."""

import re

SEPARATOR = b"\n\n"
_ID = re.compile(rb"(?:^|\n)id: ?([^\n]*)")


class EventCutter:
    """Lets only whole events through, and remembers the last one's number.

    Example::

        cutter = EventCutter()
        assert cutter.feed(b"id: 1\\ndata: a\\n\\nid: 2") == (
            b"id: 1\\ndata: a\\n\\n"
        )
        assert cutter.last_id == "1"
    """

    __slots__ = ("_tail", "count", "last_id")

    def __init__(self) -> None:
        self._tail = b""
        self.count = 0
        self.last_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Takes bytes and returns the whole events among them."""
        if self._tail:
            data = self._tail + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._tail = data
            return b""
        end += len(SEPARATOR)
        self._tail = data[end:]
        block = data[:end]
        self.count += block.count(SEPARATOR)
        numbers = _ID.findall(block)
        if numbers:
            self.last_id = numbers[-1].strip().decode("latin-1")
        return block

    def rest(self) -> bytes:
        """Returns what has come of an event that has not ended."""
        return self._tail

    def drop_rest(self) -> None:
        """Forgets it; the stream goes on from another target."""
        self._tail = b""
