"""A structured log of decisions, rate-limited and non-blocking."""

import asyncio
import os
import sys
import time

import msgspec

# With more bytes than this in the buffer, lines are dropped and counted.
MAX_BUFFERED_BYTES = 256 * 1024
# Rate and capacity of the token bucket that limits lines.
MAX_LINES_PER_SECOND = 200.0
MAX_BURST_LINES = 1000.0
FLUSH_DELAY_SECONDS = 0.1

_ENCODER = msgspec.json.Encoder(enc_hook=str)


class DecisionLog:
    """Writes one line of JSON for each decision.

    Lines are dropped if they exceed a rate limit or if the buffer is full
    because the output is not read fast enough; ``dropped`` of the next line
    written is their number.

    Parameters
    ----------
    instance : str
        Name of the instance, included in each line.
    fd : int
        File descriptor to write to, by default standard output.

    Example::

        log = DecisionLog(instance="entry-1")
        log.write("refused", request="9c41", reason="no target", age=0.2)
    """

    def __init__(self, *, instance: str, fd: int | None = None):
        self.instance = instance
        self.fd = sys.stdout.fileno() if fd is None else fd
        self.dropped = 0
        self._available_lines = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self._buffer = bytearray()
        self._flush_timer: asyncio.TimerHandle | None = None

    def write(self, event: str, **fields) -> None:
        """Buffers a line; drops it if the rate or the buffer is exceeded."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._available_lines = min(
            MAX_BURST_LINES, self._available_lines + refill
        )
        self._refilled_at = now
        if (
            self._available_lines < 1.0
            or len(self._buffer) > MAX_BUFFERED_BYTES
        ):
            self.dropped += 1
            return
        self._available_lines -= 1.0
        line = {"at": round(time.time(), 3), "instance": self.instance}
        line["event"] = event
        line.update(fields)
        if self.dropped:
            line["dropped"] = self.dropped
            self.dropped = 0
        self._buffer += _ENCODER.encode(line) + b"\n"
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(
                FLUSH_DELAY_SECONDS, self.flush
            )

    def start(self) -> None:
        """Makes the file descriptor non-blocking."""
        os.set_blocking(self.fd, False)

    def flush(self) -> None:
        """Writes as much of the buffer as is possible without blocking."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        try:
            written = os.write(self.fd, self._buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads the log any more, and there is nowhere to report
            # that, so the buffer is discarded.
            written = len(self._buffer)
        del self._buffer[:written]
        if self._buffer:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(
                FLUSH_DELAY_SECONDS, self.flush
            )

    def close(self) -> None:
        """Flushes what can be written without blocking; the rest is lost."""
        self.flush()
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None


class NullDecisionLog:
    """A decision log that discards all lines."""

    def write(self, event: str, **fields) -> None:
        """See :class:`DecisionLog`."""
