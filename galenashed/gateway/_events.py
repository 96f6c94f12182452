"""Splitting a stream of server-sent events into complete events."""

import re

# An empty line ends an event; lines end with LF or CR LF.
SEPARATORS = (b"\n\n", b"\n\r\n")
MAX_SEPARATOR_BYTES = 3
# Limit of one event.  It exceeds the whole output of a long response, of
# which an event usually carries a few tokens.
MAX_EVENT_BYTES = 2**20
_ID_FIELD = re.compile(rb"(?:^|\n)id: ?([^\n]*)")


class EventTooLargeError(Exception):
    """An event has no end within ``MAX_EVENT_BYTES``."""


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
        self._partial = bytearray()
        self.count = 0
        self.last_event_id: str | None = None

    def feed(self, data: bytes) -> bytes:
        """Adds received bytes; returns the events that are now complete.

        Raises EventTooLargeError.
        """
        complete = self._split(data)
        if not complete:
            return b""
        self.count += sum(complete.count(end) for end in SEPARATORS)
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_event_id = ids[-1].strip().decode("latin-1")
        return complete

    def _split(self, data: bytes) -> bytes:
        partial = self._partial
        if not partial and data.endswith(SEPARATORS):
            return data
        # The partial event has no separator, but it may end with the first
        # bytes of one.
        start = max(0, len(partial) - MAX_SEPARATOR_BYTES + 1)
        partial += data
        end = _find_last_end(partial, start)
        if end:
            complete = bytes(partial[:end])
            del partial[:end]
            return complete
        if len(partial) > MAX_EVENT_BYTES:
            partial.clear()
            raise EventTooLargeError(
                f"over {MAX_EVENT_BYTES} bytes without the end of an event"
            )
        return b""

    def partial(self) -> bytes:
        """Returns the bytes of an event that is not complete yet."""
        return bytes(self._partial)

    def discard_partial(self) -> None:
        """Discards a partial event; another target continues the stream."""
        self._partial.clear()


def _find_last_end(data: bytearray, start: int) -> int:
    """Returns the end of the last separator from ``start`` on, else 0."""
    end = 0
    for separator in SEPARATORS:
        found = data.rfind(separator, start)
        if found >= 0:
            end = max(end, found + len(separator))
    return end
