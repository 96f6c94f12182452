"""Splitting a stream of server-sent events into complete events."""

import re

SEPARATOR = b"\n\n"
_ID_FIELD = re.compile(rb"(?:^|\n)id: ?([^\n]*)")


class EventSplitter:
    """Passes only complete events, and tracks the id of the last one.

    Example::

        splitter = EventSplitter()
        assert splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2") == (
            b"id: 1\\ndata: a\\n\\n"
        )
        assert splitter.last_event_id == "1"
    """

    __slots__ = ("_partial", "count", "last_event_id")

    def __init__(self) -> None:
        self._partial = b""
        self.count = 0
        self.last_event_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the events that are now complete."""
        if self._partial:
            data = self._partial + data
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._partial = data
            return b""
        end += len(SEPARATOR)
        self._partial = data[end:]
        complete = data[:end]
        self.count += complete.count(SEPARATOR)
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_event_id = ids[-1].strip().decode("latin-1")
        return complete

    def partial(self) -> bytes:
        """Returns the bytes of an event that is not complete yet."""
        return self._partial

    def discard_partial(self) -> None:
        """Discards a partial event; another target continues the stream."""
        self._partial = b""
