"""Passing on the events of a model's stream without parsing each one."""

import re

import msgspec

from galenashed.entry import _requests

SEPARATOR = b"\n\n"
DONE = b"data: [DONE]"
_USAGE = re.compile(rb'"usage":\s*\{')


class StreamScanner:
    """Cuts a byte stream into whole events and looks for its end.

    Events are passed on as they came, several at once where they came so.
    Only a block that may hold the usage or the end marker is parsed.

    Parameters
    ----------
    wants_usage : bool
        Whether the caller asked for the event that reports the usage; it
        is left out otherwise.

    Example::

        scanner = StreamScanner(wants_usage=False)
        out = scanner.feed(b'data: {"choices":[{}]}\\n\\ndata: [DO')
        out += scanner.feed(b"NE]\\n\\n")
        assert scanner.finished
    """

    __slots__ = ("_tail", "events", "finished", "usage", "wants_usage")

    def __init__(self, *, wants_usage: bool):
        self.wants_usage = wants_usage
        self.events = 0
        self.finished = False
        self.usage: tuple[int, int] | None = None
        self._tail = b""

    def feed(self, chunk: bytes) -> bytes:
        """Takes bytes and returns the whole events among them."""
        data = self._tail + chunk if self._tail else chunk
        end = data.rfind(SEPARATOR)
        if end < 0:
            self._tail = data
            return b""
        end += len(SEPARATOR)
        self._tail = data[end:]
        block = data[:end] if self._tail else data
        if b"[DONE]" in block or _USAGE.search(block):
            return self._parse(block)
        self.events += block.count(SEPARATOR)
        return block

    def _parse(self, block: bytes) -> bytes:
        kept = []
        for event in block.split(SEPARATOR):
            if not event.strip():
                continue
            if event.strip() == DONE:
                self.finished = True
                kept.append(event)
            elif self._is_usage(event):
                if self.wants_usage:
                    kept.append(event)
            else:
                self.events += 1
                kept.append(event)
        return b"".join(event + SEPARATOR for event in kept)

    def _is_usage(self, event: bytes) -> bool:
        """Whether the event reports usage and nothing else."""
        try:
            fields = msgspec.json.decode(event.strip().removeprefix(b"data:"))
        except msgspec.DecodeError:
            return False
        usage = _requests.usage_of(fields)
        if usage is None:
            return False
        self.usage = usage
        return not fields.get("choices")

    def restart(self) -> None:
        """Drops a partial event; the stream goes on from another target."""
        self._tail = b""
