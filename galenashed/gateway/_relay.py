"""Forwarding the response of one or more targets to the caller."""

import time
import typing

from galenashed import engines
from galenashed.gateway import _attempts
from galenashed.gateway import _events
from galenashed.protocol import routes as wire

EVENT_STREAM_TYPE = "text/event-stream"
# Limit of an error response that is buffered while another target is tried.
MAX_BUFFERED_ERROR_BYTES = 64 * 1024
SERVER_ERROR = 500


class Relay:
    """Forwards the response of one request to its caller.

    A resumable stream may be continued by another target.

    Parameters
    ----------
    context : RequestContext
        The request that is answered.
    writer : ResponseWriter
        Receives the response.
    """

    __slots__ = (
        "_buffered_error",
        "_earlier_event_count",
        "_is_stream",
        "_most_lost_events",
        "_splitter",
        "context",
        "first_event_at",
        "framing",
        "head_at",
        "started",
        "status",
        "writer",
    )

    def __init__(self, *, context, writer):
        self.context = context
        self.writer = writer
        self.started = False
        self.status = 0
        # Framing of the response to the current attempt, once it has a head.
        self.framing: engines.Framing | None = None
        # Monotonic time at which that head arrived.
        self.head_at = 0.0
        # Monotonic time at which the first event arrived.
        self.first_event_at: float | None = None
        self._earlier_event_count = 0
        # Of the attempts that were broken off.
        self._most_lost_events = 0
        self._is_stream = False
        self._splitter = _events.EventSplitter()
        self._buffered_error: tuple[engines.ResponseHead, bytes] | None = None

    @property
    def last_event_id(self) -> str | None:
        """The id of the last event that was forwarded."""
        return self._splitter.last_event_id

    @property
    def event_count(self) -> int:
        """The number of events that were forwarded."""
        return self._splitter.count

    @property
    def attempt_event_count(self) -> int:
        """The number of events of the current attempt."""
        return self.event_count - self._earlier_event_count

    def begin_attempt(self) -> None:
        """Notes that the request is sent to another target."""
        self.framing = None
        self._most_lost_events = max(
            self._most_lost_events, self.attempt_event_count
        )
        self._earlier_event_count = self.event_count

    @property
    def outlasts_lost_attempts(self) -> bool:
        """Whether the current attempt has shown more than those broken off.

        An attempt that continues a stream may end before the event at which
        another target has crashed.
        """
        if self.context.request.resume_after is not None:
            return False
        return (
            not self._earlier_event_count
            or self.attempt_event_count > self._most_lost_events
        )

    async def run(
        self,
        exchange: typing.Coroutine[
            typing.Any, typing.Any, _attempts.AttemptOutcome | None
        ],
    ) -> _attempts.AttemptOutcome | None:
        """Runs the exchange of the current attempt with its target."""
        return await exchange

    @property
    def unfinished_bytes(self) -> int:
        """The size of an event that has no end yet."""
        return len(self._splitter.partial())

    @property
    def can_continue(self) -> bool:
        """Whether another target's response can still answer the request.

        A response that has started is continued only if it is a stream, and
        only from an event with an id.
        """
        if not self.started:
            return True
        if not self._is_stream:
            return False
        return self.event_count == 0 or self.last_event_id is not None

    async def forward(
        self,
        head: engines.ResponseHead,
        conn: engines.Connection,
        on_event: typing.Callable[[], None],
        has_crashed: typing.Callable[[], typing.Awaitable[bool]],
    ) -> _attempts.AttemptOutcome | None:
        """Forwards a response; returns None once it is complete.

        ``on_event`` is called when events of this target arrive;
        ``has_crashed`` tells whether the target has ended.  Raises
        TargetLostError if the connection breaks.
        """
        self.framing = head.framing
        self.head_at = time.monotonic()
        if head.status >= SERVER_ERROR and self._retries_server_errors():
            return await self._buffer_error(head, conn)
        if self.started and not is_event_stream(head):
            # Only events can continue a stream that has started.
            self.context.last_error = (
                f"resumption got no events and status {head.status}"
            )
            return _attempts.AttemptOutcome.FAILED
        if is_event_stream(head):
            await self._forward_events(head, conn, on_event)
        else:
            await self._forward_bytes(head, conn)
        if head.framing is engines.Framing.CLOSE and await has_crashed():
            # The end of a process closes its connections in the same way as
            # the end of a response.
            raise engines.TargetLostError(
                f"{conn.address}: the connection closed with the target"
            )
        await self.writer.finish()
        return None

    def _retries_server_errors(self) -> bool:
        if self.started:
            return False
        return self.context.route.kind is wire.RouteKind.IDEMPOTENT

    async def _buffer_error(
        self, head, conn
    ) -> _attempts.AttemptOutcome | None:
        """Buffers an error response while another target may succeed."""
        body = bytearray()
        while data := await conn.read():
            body += data
            if len(body) > MAX_BUFFERED_ERROR_BYTES:
                break
        if len(body) > MAX_BUFFERED_ERROR_BYTES:
            raise engines.TargetLostError(
                f"{conn.address}: error response of over"
                f" {MAX_BUFFERED_ERROR_BYTES} bytes"
            )
        self._buffered_error = (head, bytes(body))
        self.context.last_error = f"failed with status {head.status}"
        return _attempts.AttemptOutcome.FAILED

    async def _forward_events(self, head, conn, on_event) -> None:
        resumed = self.started
        if not self.started:
            resumable = self.context.route.resumable
            await self._start(head, with_content_length=not resumable)
        if resumed:
            self._splitter.discard_partial()
        while data := await conn.read():
            try:
                events = self._splitter.feed(data)
            except _events.EventTooLargeError as exc:
                raise engines.TargetLostError(
                    f"{conn.address}: {exc}"
                ) from exc
            if events:
                on_event()
                if self.first_event_at is None:
                    self.first_event_at = time.monotonic()
                await self.writer.write(events)
        self._check_stream_complete(head, conn.address)

    def _check_stream_complete(
        self, head: engines.ResponseHead, address: str
    ) -> None:
        """Raises TargetLostError if a stream was broken off.

        A target that crashes may close its connection without an error, so
        the end of a response does not prove the end of its stream.
        """
        if self._splitter.partial():
            raise engines.TargetLostError(
                f"{address}: the stream ended inside an event"
            )
        closed = head.framing is engines.Framing.CLOSE
        if closed and not self.attempt_event_count:
            raise engines.TargetLostError(
                f"{address}: the connection closed before any event"
            )

    async def _forward_bytes(self, head, conn) -> None:
        await self._start(head, with_content_length=True)
        while data := await conn.read():
            await self.writer.write(data)

    async def _start(
        self, head: engines.ResponseHead, *, with_content_length: bool
    ) -> None:
        self.started = True
        self.status = head.status
        self._is_stream = is_event_stream(head)
        await self.writer.start(head, with_content_length=with_content_length)

    async def finish_after_failure(self) -> bool:
        """Ends the response after the last attempt has failed.

        Aborts a response that has started; otherwise forwards a buffered
        error response unchanged.  Returns whether anything was sent.
        """
        if self.started:
            self.abort()
            return True
        if self._buffered_error is None:
            return False
        head, body = self._buffered_error
        await self._start(head, with_content_length=True)
        await self.writer.write(body)
        await self.writer.finish()
        return True

    def abort(self) -> None:
        """Aborts the response."""
        self.writer.abort()


def is_event_stream(head: engines.ResponseHead) -> bool:
    """Whether a response is a stream of events."""
    kind = head.get("content-type") or ""
    return head.status == 200 and kind.lower().startswith(EVENT_STREAM_TYPE)
