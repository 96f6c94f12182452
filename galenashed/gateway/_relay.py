"""Passing an answer on to the caller, from one target after another."""

import time
import typing

from galenashed import engines
from galenashed.gateway import _attempts
from galenashed.gateway import _events
from galenashed.protocol import routes as wire

EVENT_STREAM = "text/event-stream"
# Failures of this size and less are kept while another target is tried.
MAX_KEPT_BYTES = 64 * 1024
SERVER_ERROR = 500


class Relay:
    """The answer of one request as far as the caller has it.

    Parameters
    ----------
    job : Job
        Whose answer it is.
    sink : Sink
        Takes the answer.
    """

    __slots__ = (
        "_cutter",
        "_kept",
        "first_at",
        "job",
        "sink",
        "started",
        "status",
    )

    def __init__(self, *, job, sink):
        self.job = job
        self.sink = sink
        self.started = False
        self.status = 0
        # When the first event was passed on, on the monotonic clock.
        self.first_at: float | None = None
        self._cutter = _events.EventCutter()
        self._kept: tuple[engines.AnswerHead, bytes] | None = None

    @property
    def last_id(self) -> str | None:
        """The number of the last event that was passed on."""
        return self._cutter.last_id

    @property
    def events(self) -> int:
        """Events passed on."""
        return self._cutter.count

    async def take(
        self,
        head: engines.AnswerHead,
        conn: engines.Connection,
        on_event: typing.Callable[[], None],
    ) -> _attempts.Ending | None:
        """Passes an answer on; None once it is whole.

        ``on_event`` is called when events of this target come.  Raises
        TargetLostError if the answer breaks off.
        """
        if head.status >= SERVER_ERROR and self._tries_others():
            return await self._keep(head, conn)
        if self.started and head.status != 200:
            # The stream that has begun can't go on from a failure.
            self.job.trouble = f"resumption answered {head.status}"
            return _attempts.Ending.FAILED
        if _is_events(head):
            await self._pass_events(head, conn, on_event)
        else:
            await self._pass_bytes(head, conn)
        await self.sink.finish()
        return None

    def _tries_others(self) -> bool:
        if self.started:
            return False
        return self.job.route.kind is wire.Kind.IDEMPOTENT

    async def _keep(self, head, conn) -> _attempts.Ending | None:
        """Holds a failure back while another target may do better."""
        body = bytearray()
        while data := await conn.read():
            body += data
            if len(body) > MAX_KEPT_BYTES:
                break
        if len(body) > MAX_KEPT_BYTES:
            raise engines.TargetLostError(
                f"{conn.address}: a failure of over {MAX_KEPT_BYTES} bytes"
            )
        self._kept = (head, bytes(body))
        self.job.trouble = f"failed with status {head.status}"
        return _attempts.Ending.FAILED

    async def _pass_events(self, head, conn, on_event) -> None:
        resumed = self.started
        if not self.started:
            resumable = self.job.route.resumable
            await self._start(head, framed=not resumable)
        if resumed:
            self._cutter.drop_rest()
        while data := await conn.read():
            events = self._cutter.feed(data)
            if events:
                on_event()
                if self.first_at is None:
                    self.first_at = time.monotonic()
                await self.sink.write(events)
        rest = self._cutter.rest()
        if rest and resumed:
            raise engines.TargetLostError(f"{conn.address}: a torn event")
        if rest:
            await self.sink.write(rest)

    async def _pass_bytes(self, head, conn) -> None:
        await self._start(head, framed=True)
        while data := await conn.read():
            await self.sink.write(data)

    async def _start(self, head: engines.AnswerHead, *, framed: bool) -> None:
        self.started = True
        self.status = head.status
        await self.sink.start(head, framed=framed)

    async def give_up(self) -> bool:
        """Ends the answer as well as it can be; whether anything was sent.

        A failure that was held back is passed on as the target sent it.
        """
        if self.started:
            self.abort()
            return True
        if self._kept is None:
            return False
        head, body = self._kept
        await self._start(head, framed=True)
        await self.sink.write(body)
        await self.sink.finish()
        return True

    def abort(self) -> None:
        """Breaks the answer off."""
        self.sink.abort()


def _is_events(head: engines.AnswerHead) -> bool:
    kind = head.get("content-type") or ""
    return head.status == 200 and kind.startswith(EVENT_STREAM)
