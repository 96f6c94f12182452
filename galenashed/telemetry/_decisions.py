"""Structured decision lines on standard output, bounded and never waiting."""

import asyncio
import os
import sys
import time

import msgspec

# Bytes that may wait for standard output; what comes beyond is counted.
MAX_WAITING_BYTES = 256 * 1024
# Lines a second that are written in the mean, and at once after a pause.
LINES_PER_SECOND = 200.0
BURST_LINES = 1000.0
FLUSH_SECONDS = 0.1

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class DecisionLog:
    """Writes one JSON line a decision.

    Lines beyond a rate, or that standard output does not take in time, are
    dropped; the next line that is written says how many in ``dropped``.

    Parameters
    ----------
    instance : str
        Written on each line.
    fd : int
        Where to write, standard output by default.

    Example::

        log = DecisionLog(instance="entry-1")
        log.write("refused", request="9c41", reason="no target", age=0.2)
    """

    def __init__(self, *, instance: str, fd: int | None = None):
        self.instance = instance
        self.fd = sys.stdout.fileno() if fd is None else fd
        self.dropped = 0
        self._allowance = BURST_LINES
        self._counted_at = time.monotonic()
        self._waiting = bytearray()
        self._timer: asyncio.TimerHandle | None = None

    def write(self, event: str, **fields) -> None:
        """Queues a line; drops it when there are too many."""
        now = time.monotonic()
        earned = (now - self._counted_at) * LINES_PER_SECOND
        self._allowance = min(BURST_LINES, self._allowance + earned)
        self._counted_at = now
        if self._allowance < 1.0 or len(self._waiting) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._allowance -= 1.0
        line = {"at": round(time.time(), 3), "instance": self.instance}
        line["event"] = event
        line.update(fields)
        if self.dropped:
            line["dropped"] = self.dropped
            self.dropped = 0
        self._waiting += _ENCODER.encode(line) + b"\n"
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_SECONDS, self.flush)

    def start(self) -> None:
        """Makes writes to the descriptor return at once."""
        os.set_blocking(self.fd, False)

    def flush(self) -> None:
        """Writes as much as the descriptor takes at once."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        try:
            written = os.write(self.fd, self._waiting)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log; there is nowhere to say so.
            written = len(self._waiting)
        del self._waiting[:written]
        if self._waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(FLUSH_SECONDS, self.flush)

    def close(self) -> None:
        """Writes what is left, as far as it goes."""
        self.flush()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class NullDecisionLog:
    """Writes nothing."""

    def write(self, event: str, **fields) -> None:
        """See :class:`DecisionLog`."""
