"""Splitting a stream of server-sent events into complete events."""

import re

SEPARATOR = b"\n\n"
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
        self.count += complete.count(SEPARATOR)
        ids = _ID_FIELD.findall(complete)
        if ids:
            self.last_event_id = ids[-1].strip().decode("latin-1")
        return complete

    def _split(self, data: bytes) -> bytes:
        partial = self._partial
        if not partial and data.endswith(SEPARATOR):
            return data
        # The partial event has no separator, but it may end with the first
        # byte of one.
        start = max(0, len(partial) - 1)
        partial += data
        end = partial.rfind(SEPARATOR, start)
        if end >= 0:
            end += len(SEPARATOR)
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
