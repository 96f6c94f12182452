"""Relays the server-sent events of a model without parsing each one."""

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

RETRY_AFTER_SECONDS = 1.0
# Events without a token, such as the one with the role, that may come on top
# of those for the output tokens.
MAX_EXTRA_EVENTS = 4
# Limit of one event.  It exceeds the whole output of a long response, of
# which an event usually carries a few tokens.
MAX_EVENT_BYTES = 2**20

SEPARATOR = b"\n\n"
DONE = b"data: [DONE]"
_USAGE = re.compile(rb'"usage":\s*\{')


class EventStreamScanner:
    """Splits a byte stream into complete events and detects its end.

    Events are forwarded in the blocks in which they arrive.  Only a block
    that may contain the usage or the end marker is parsed.

    Parameters
    ----------
    wants_usage : bool
        Whether the caller requested the event that reports the usage;
        otherwise it is removed.

    Example::

        scanner = EventStreamScanner(wants_usage=False)
        out = scanner.feed(b'data: {"choices":[{}]}\\n\\ndata: [DO')
        out += scanner.feed(b"NE]\\n\\n")
        assert scanner.finished
    """

    __slots__ = ("_partial", "events", "finished", "usage", "wants_usage")

    def __init__(self, *, wants_usage: bool):
        self.wants_usage = wants_usage
        self.events = 0
        self.finished = False
        self.usage: tuple[int, int] | None = None
        self._partial = bytearray()

    def feed(self, chunk: bytes) -> bytes:
        """Adds received bytes and returns the events completed by them.

        Raises TargetLostError if an event has no end within
        ``MAX_EVENT_BYTES``.
        """
        block = self._split(chunk)
        if not block:
            return b""
        if b"[DONE]" in block or _USAGE.search(block):
            return self._parse(block)
        self.events += block.count(SEPARATOR)
        return block

    def _split(self, chunk: bytes) -> bytes:
        partial = self._partial
        if not partial and chunk.endswith(SEPARATOR):
            return chunk
        # The partial event has no separator, but it may end with the first
        # byte of one.
        start = max(0, len(partial) - 1)
        partial += chunk
        end = partial.rfind(SEPARATOR, start)
        if end >= 0:
            end += len(SEPARATOR)
            block = bytes(partial[:end])
            del partial[:end]
            return block
        if len(partial) > MAX_EVENT_BYTES:
            partial.clear()
            raise engines.TargetLostError(
                f"over {MAX_EVENT_BYTES} bytes without the end of an event"
            )
        return b""

    def _parse(self, block: bytes) -> bytes:
        kept = []
        for event in block.split(SEPARATOR):
            if not event.strip():
                continue
            if event.strip() == DONE:
                self.finished = True
                kept.append(event)
            elif self._is_usage_event(event):
                if self.wants_usage:
                    kept.append(event)
            else:
                self.events += 1
                kept.append(event)
        return b"".join(event + SEPARATOR for event in kept)

    def _is_usage_event(self, event: bytes) -> bool:
        """Stores reported usage; returns whether the event has only that."""
        try:
            fields = msgspec.json.decode(event.strip().removeprefix(b"data:"))
        except msgspec.DecodeError:
            return False
        usage = _requests.parse_usage(fields)
        if usage is None:
            return False
        self.usage = usage
        return not fields.get("choices")

    def discard_partial(self) -> None:
        """Discards a partial event before the stream resumes elsewhere."""
        self._partial.clear()


class StreamRelay:
    """Forwards a stream to the caller, and resumes it after a failure.

    Parameters
    ----------
    runner : EngineRunner
        Sends requests to engines.
    metrics : Metrics
        Records the time to the first event.
    """

    def __init__(self, *, runner: _runs.EngineRunner, metrics):
        self.runner = runner
        self.metrics: telemetry.Metrics = metrics

    async def relay(self, run, resp, scanner: EventStreamScanner, receive):
        """Yields the bytes of the stream, and an error event if it fails.

        ``receive`` is the ASGI callable, which reports when the caller
        disconnects.  A stream that brings no complete event for the time
        limit of its service has stalled, even if bytes arrive.
        """
        loop = asyncio.get_running_loop()
        limit = run.service.timeout
        watcher = asyncio.create_task(_watch_disconnect(run, receive))
        try:
            while True:
                error = None
                try:
                    run.watch_stream(resp)
                    deadline = loop.time() + limit
                    # Inlined for speed: this loop runs for each chunk of
                    # each stream.
                    while True:
                        async with asyncio.timeout_at(deadline):
                            chunk = await resp.content.readany()
                        if not chunk:
                            break
                        data = self._process_chunk(run, scanner, chunk)
                        if data:
                            yield data
                            # Not counted is the time for which a slow
                            # caller holds up the stream.
                            deadline = loop.time() + limit
                    if scanner.finished:
                        return
                    error = "the stream ended without the end marker"
                except TimeoutError:
                    error = f"no complete event within {limit} s"
                except (aiohttp.ClientError, engines.TargetLostError) as exc:
                    error = str(exc)
                resp.close()
                if run.caller_disconnected:
                    return
                try:
                    resp = await self._resume(run, scanner, error)
                except web.ApiError as exc:
                    yield b"data: " + exc.to_json() + SEPARATOR
                    return
        finally:
            watcher.cancel()
            if not scanner.finished:
                resp.close()

    def _process_chunk(
        self, run, scanner: EventStreamScanner, chunk: bytes
    ) -> bytes:
        """Returns the events that a chunk completes."""
        run.last_chunk_at = time.monotonic()
        if run.caller_disconnected:
            raise engines.TargetLostError("the caller disconnected")
        first = scanner.events == 0
        data = scanner.feed(chunk)
        if first and scanner.events:
            # What another version writes can't follow.
            requirements = run.slot_request.requirements
            requirements.version = run.slot.target.version
        if data:
            run.answered = True
        if first and scanner.events:
            elapsed = run.last_chunk_at - run.started_at
            self.metrics.duration("model.first_token", elapsed)
        if scanner.events > run.request.max_output + MAX_EXTRA_EVENTS:
            raise engines.TargetLostError("more output than requested")
        return data

    async def _resume(self, run, scanner: EventStreamScanner, error: str):
        """Returns a response that resumes the stream.

        Raises ApiError if it can't be resumed.
        """
        resumes = run.slot.target.resumes
        await self.runner.on_target_lost(run, Exception(error))
        if not resumes:
            raise web.ApiError(
                status=502,
                code="stream_broken",
                message="the target was lost and the stream can't be resumed;"
                " send the request again",
                execution_status=web.ExecutionStatus.UNKNOWN,
                retry_after=RETRY_AFTER_SECONDS,
            )
        scanner.discard_partial()
        run.begin_continuation(scanner.events)
        return await self.runner.open(run, first_event=scanner.events)


async def _watch_disconnect(run, receive) -> None:
    """Sets ``caller_disconnected`` when the caller disconnects."""
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            run.caller_disconnected = True
            return
