"""Passing on the events of a model's stream without parsing each one."""

import asyncio
import re
import time

import aiohttp
import msgspec

from galenashed import engines
from galenashed.entry import _requests
from galenashed.entry import _runs
from galenashed import telemetry
from galenashed import web

RETRY_SECONDS = 1.0
# Events beyond the output bound that carry no token, such as the role.
EXTRA_EVENTS = 4

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


class StreamRelay:
    """Passes a stream on, from one engine after another if need be.

    Parameters
    ----------
    runner : EngineRunner
        Sends requests to engines.
    metrics : Metrics
        Takes the time to the first event.
    """

    def __init__(self, *, runner: _runs.EngineRunner, metrics):
        self.runner = runner
        self.metrics: telemetry.Metrics = metrics

    async def relay(self, run, resp, scanner: StreamScanner, receive):
        """Yields the stream's bytes, and an error event if it breaks.

        ``receive`` is the server's; it tells that the caller left.
        """
        watcher = asyncio.create_task(_watch_caller(run, receive))
        try:
            while True:
                error = None
                try:
                    run.watch_stream(resp)
                    # Not in a generator of its own: this is the hot path.
                    while chunk := await resp.content.readany():
                        data = self._take(run, scanner, chunk)
                        if data:
                            yield data
                    if scanner.finished:
                        return
                    error = "the stream ended too early"
                except (
                    aiohttp.ClientError,
                    TimeoutError,
                    engines.TargetLostError,
                ) as exc:
                    error = str(exc)
                resp.close()
                if run.caller_gone:
                    return
                try:
                    resp = await self._resume(run, scanner, error)
                except web.ApiError as exc:
                    yield b"data: " + exc.body() + SEPARATOR
                    return
        finally:
            watcher.cancel()
            if not scanner.finished:
                resp.close()

    def _take(self, run, scanner: StreamScanner, chunk: bytes) -> bytes:
        """Returns the whole events of a chunk."""
        run.heard = time.monotonic()
        if run.caller_gone:
            raise engines.TargetLostError("the caller left")
        first = scanner.events == 0
        data = scanner.feed(chunk)
        if first and scanner.events:
            elapsed = run.heard - run.started
            self.metrics.duration("model.first_token", elapsed)
        if scanner.events > run.request.max_output + EXTRA_EVENTS:
            raise engines.TargetLostError("more output than asked for")
        return data

    async def _resume(self, run, scanner: StreamScanner, error: str):
        """Returns the response by which the stream goes on.

        Raises ApiError if it can't.
        """
        resumes = run.slot.target.resumes
        await self.runner.on_lost(run, Exception(error))
        if not resumes:
            raise web.ApiError(
                status=502,
                code="stream_broken",
                message="the target was lost; ask again for a whole answer",
                run=web.ExecutionStatus.UNKNOWN,
                retry_after=RETRY_SECONDS,
            )
        scanner.restart()
        return await self.runner.open(run, first_event=scanner.events)


async def _watch_caller(run, receive) -> None:
    """Notes when the caller leaves."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            run.caller_gone = True
            return
