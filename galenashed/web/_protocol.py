"""An HTTP/1.1 protocol that bounds what a connection holds.

Uvicorn's protocol makes an object of every request that it has read, also of
those that wait for the responses to earlier ones, and resumes reading while
they wait.  This one parses no further than one request beyond that in
progress.
"""

import asyncio
import re
import typing

import httptools
import uvicorn.protocols.http.flow_control as flow_control
import uvicorn.protocols.http.httptools_impl as httptools_impl

from galenashed.web import _errors
from galenashed.web import _guard
from galenashed.web import _overload
from galenashed.web import _progress

# What the connections of a server read at once; more stays with the kernel.
READ_BYTES = 64 * 1024
# The parser gets pieces, so that few requests begin before it is stopped: at
# most so many bytes of a head, and a body in chunks up to the first HEAD_END
# after CHUNKS_BYTES.  A head, and a body in chunks, ends with HEAD_END.
HEAD_PIECE_BYTES = 1024
CHUNKS_BYTES = 512
# Each chunk costs about 2 us, so that 4 MiB in chunks of one byte would take
# seconds.  So many chunks of a request may be smaller than SMALL_PART_BYTES,
# beside larger ones that make up for them.
MAX_SMALL_PARTS = 40_000
SMALL_PART_BYTES = 64
HEAD_END = b"\r\n\r\n"
EMPTY_LINES = re.compile(b"(?:\r\n)+")
# Reading pauses when a larger response waits to be sent.
WRITE_BUFFER_BYTES = 32 * 1024
# What a header, and a request beside its head and body, hold.
HEADER_OBJECT_BYTES = 160
REQUEST_OBJECT_BYTES = 4096
# These tell where the body of a request ends.
FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class _Flow(flow_control.FlowControl):
    """Does not resume reading while ``blocked``."""

    blocked = False

    def resume_reading(self) -> None:
        """Resumes reading unless parsed or unparsed requests wait."""
        if not self.blocked:
            super().resume_reading()


class BoundedProtocol(
    httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol
):
    """Limits connections, what they hold, and the time that heads take.

    Connections that exceed a limit get an error response and are closed.
    Nothing more is read from one whose response in progress the error would
    interrupt; it is closed after the response.  Trailers are discarded; like
    chunk headers, they are limited to ``max_head_bytes`` without a part of a
    body among them, as are empty lines between requests.

    An offer to change the protocol is ignored.  The parser takes what follows
    the head of such a request for the other protocol, so a new parser reads
    on, which is given the headers that tell the length of the body.
    """

    guard: _guard.Guard
    read_buffer: bytearray
    is_draining = False

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.flow: _Flow = _Flow(transport)
        self.held_bytes = 0
        self._unparsed = b""
        self._running: typing.Any = None
        self._body_left = 0
        self._in_chunks = False
        self._small_parts = 0.0
        self._progress_at = self.loop.time()
        self._acked_bytes = 0
        self._head_bytes = 0
        self._framing_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._input_ended = False
        # While the old parser ends at an offer, and while a new one is given
        # the head again.
        self._ends_at_offer = False
        self._repeats_head = False
        limit = self.guard.limits.max_connections
        if len(self.connections) > limit:
            self._refuse(
                503,
                "too_many_connections",
                f"the limit of {limit} connections is reached",
            )
            return
        self._start_head_timer()

    def connection_lost(self, exc) -> None:
        self._stop_head_timer()
        self._unparsed = b""
        self._set_held(0)
        super().connection_lost(exc)
        if self._running is not None:
            # The base class tells only the last request that was parsed.
            self._running.disconnected = True
            self._running.message_event.set()

    # Time limit of heads

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            self.guard.limits.head_timeout, self._on_head_timeout
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _on_head_timeout(self) -> None:
        if self.flow.blocked:
            # The rest of the head waits for the response to another request.
            self._start_head_timer()
            return
        self._refuse(
            408,
            "request_timeout",
            "no complete request head arrived in"
            f" {self.guard.limits.head_timeout} s",
        )

    # Errors

    def _can_send_error(self) -> bool:
        """Whether an error would be the response to the bytes it is about."""
        if self.pipeline:
            return False
        cycle = self.cycle
        return (
            cycle is None
            or cycle.response_complete
            or (cycle.more_body and not cycle.response_started)
        )

    def _end_input(self) -> None:
        """Reads no more; closes the connection after the open responses."""
        self._input_ended = True
        self._unparsed = b""
        self._stop_head_timer()
        if self.pipeline and self.cycle.more_body:
            # The last request is incomplete.
            self.pipeline.popleft()

    def send_400_response(self, msg: str) -> None:
        self.guard.note("bad_input")
        if self._can_send_error():
            super().send_400_response(msg)
        else:
            self._end_input()

    def _refuse(self, status: int, code: str, message: str) -> None:
        self.guard.note(code)
        if not self._can_send_error():
            self._end_input()
            return
        error = _errors.ApiError(status=status, code=code, message=message)
        body = error.to_json()
        head = (
            f"HTTP/1.1 {status} Refused\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            f"Galenashed-Run: {error.execution_status.value}\r\n"
            f"Retry-After: 1\r\nConnection: close\r\n\r\n"
        )
        if not self.transport.is_closing():
            self.transport.write(head.encode() + body)
            self.transport.close()

    def _is_full(self) -> bool:
        """Whether too many bytes are held, also once some were freed."""
        if self.guard.is_full:
            conns = typing.cast(set[typing.Any], self.connections)
            self.guard.relieve(conns, self.loop.time())
        return self.guard.is_full

    def _refuse_if_full(self) -> None:
        """Refuses an incomplete request if too many bytes are held."""
        if not self._is_full():
            return
        is_incomplete = self._head_timer is not None or (
            self.cycle is not None and self.cycle.more_body
        )
        if self.pipeline:
            self.drop_waiting()
        elif is_incomplete and self._can_send_error():
            error = _overload.make_error()
            self._refuse(error.status, error.code, error.message)

    # Clients that are waited for

    def seconds_waited(self, now: float) -> float:
        """See :class:`GuardedConnection`."""
        cycle = self.cycle
        if self.transport.get_write_buffer_size():
            acked = _progress.read_acked_bytes(self.transport)
            if acked is None or acked != self._acked_bytes:
                self._acked_bytes = acked or 0
                self._progress_at = now
        elif (
            cycle is None
            or not cycle.more_body
            or cycle.response_complete
            or self.flow.read_paused
        ):
            self._progress_at = now
        return now - self._progress_at

    def drop_waiting(self) -> None:
        """See :class:`GuardedConnection`."""
        if self.pipeline and not self.transport.is_closing():
            self.guard.note("held")
            self._end_input()
            self.pipeline.clear()
            self.cycle = self._running
            self._count_held()

    def end_stalled(self, reason: str) -> None:
        """See :class:`GuardedConnection`."""
        if self.transport.get_write_buffer_size() or (
            not self._can_send_error()
        ):
            self.guard.note(reason)
            self.transport.abort()
        else:
            self._refuse(408, reason, "the rest of the request did not arrive")
        # The end of the connection is reported later.
        self._set_held(0)

    # Bytes held

    def _set_held(self, size: int) -> None:
        self.guard.held_bytes += size - self.held_bytes
        self.held_bytes = size

    def _count_held(self) -> None:
        if self.transport.is_closing():
            self._set_held(self.transport.get_write_buffer_size())
            return
        size = len(self._unparsed) + self.transport.get_write_buffer_size()
        if self._head_timer is not None and self.headers:
            size += self._head_bytes + HEADER_OBJECT_BYTES * len(self.headers)
        if self._running is not None:
            size += self._running.held_bytes
        for cycle, _ in self.pipeline:
            size += typing.cast(typing.Any, cycle).held_bytes
        self._set_held(size)

    # Input

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer of all connections, which is copied at once."""
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parses what was read."""
        self.data_received(bytes(memoryview(self.read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        self._progress_at = self.loop.time()
        if self._input_ended:
            return
        self._unset_keepalive_if_required()
        self._feed(self._unparsed + data if self._unparsed else data)

    def _must_wait(self) -> bool:
        """Whether a complete request waits for an earlier response."""
        return bool(self.pipeline) and not self.cycle.more_body

    def _feed(self, data: bytes) -> None:
        """Parses as much as may be held; keeps the rest."""
        start = 0
        while start < len(data) and not self._must_wait():
            end = self._find_piece_end(data, start)
            self._feed_piece(data[start:end])
            start = end
            if self._input_ended or self.transport.is_closing():
                start = len(data)
        self._unparsed = data[start:]
        self._set_blocked()
        self._count_held()
        self._refuse_if_full()

    def _find_piece_end(self, data: bytes, start: int) -> int:
        """Returns the end of a piece in which about one request begins."""
        if self._body_left:
            return start + self._body_left
        if self._in_chunks:
            end = data.find(HEAD_END, start + CHUNKS_BYTES)
            return len(data) if end < 0 else end + len(HEAD_END)
        limit = start + HEAD_PIECE_BYTES
        if empty_lines := EMPTY_LINES.match(data, start, limit):
            return empty_lines.end()
        end = data.find(HEAD_END, start, limit)
        return limit if end < 0 else end + len(HEAD_END)

    def _set_blocked(self) -> None:
        """Stops reading while a request waits for an earlier response."""
        self.flow.blocked = bool(self.pipeline) and not self._input_ended
        if self.flow.blocked:
            self.flow.pause_reading()

    def _feed_piece(self, piece: bytes) -> None:
        if self._head_timer is not None:
            self._head_bytes += len(piece)
        else:
            self._framing_bytes += len(piece)
        self._parse(piece)
        if self._input_ended or self.transport.is_closing():
            return
        if self._head_timer is not None and (
            limit := self.guard.find_head_excess(self._head_bytes)
        ):
            self._stop_head_timer()
            self._refuse(
                431,
                "head_too_large",
                f"the request head exceeds {limit} bytes",
            )
        elif self._framing_bytes > self.guard.limits.max_head_bytes:
            self._framing_bytes = 0
            self._on_long_framing()
        elif self._small_parts > MAX_SMALL_PARTS:
            self._small_parts = 0.0
            self._refuse(400, "chunks_too_small", "too many small chunks")

    def _parse(self, data: bytes) -> None:
        try:
            while data:
                try:
                    self.parser.feed_data(data)
                    return
                except httptools.HttpParserUpgrade as exc:
                    (end,) = exc.args
                    data = data[end:]
                    self._continue_after_offer()
        except httptools.HttpParserError:
            self.send_400_response("Invalid HTTP request received.")

    def _continue_after_offer(self) -> None:
        """Has a new parser read the body of a request and what follows."""
        framing = [
            b"%s: %s\r\n" % (name, value)
            for name, value in self.headers
            if name in FRAMING_HEADERS
        ]
        self.parser = httptools.HttpRequestParser(self)
        self.parser.set_dangerous_leniencies(lenient_data_after_close=True)
        self._ends_at_offer = False
        self._repeats_head = True
        head = b"POST / HTTP/1.1\r\n%s\r\n" % b"".join(framing)
        self.parser.feed_data(head)
        self._repeats_head = False

    def _on_long_framing(self) -> None:
        if self.cycle is not None and self.cycle.response_started:
            self.guard.note("trailers_too_large")
            self.transport.abort()
            return
        self._refuse(
            431,
            "trailers_too_large",
            f"over {self.guard.limits.max_head_bytes} bytes without a part of"
            " the body",
        )

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        if self._repeats_head:
            return
        super().on_message_begin()
        self._framing_bytes = 0
        if self._head_timer is None:
            self._head_bytes = 0
            self._start_head_timer()

    def on_url(self, url: bytes) -> None:
        if not self._repeats_head:
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._head_timer is not None and not self._repeats_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        if self._repeats_head:
            return
        self._ends_at_offer = self.parser.should_upgrade()
        self._stop_head_timer()
        self._small_parts = 0.0
        self._body_left, self._in_chunks = _find_body_length(self.headers)
        super().on_headers_complete()
        cycle: typing.Any = self.cycle
        cycle.held_bytes = (
            REQUEST_OBJECT_BYTES
            + self._head_bytes
            + HEADER_OBJECT_BYTES * len(self.headers)
        )
        if self.is_draining:
            self.end_with_response()

    def end_with_response(self) -> None:
        """Closes the connection after the response to the last request.

        The response says so if it has not started.
        """
        if self.cycle is not None:
            self.cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        self._framing_bytes = 0
        self._body_left = max(0, self._body_left - len(body))
        self._small_parts += 1 - len(body) / SMALL_PART_BYTES
        cycle: typing.Any = self.cycle
        cycle.held_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        if self._ends_at_offer:
            return
        self._framing_bytes = 0
        self._body_left = 0
        self._in_chunks = False
        super().on_message_complete()

    # Responses

    def _start_asgi_task(self, cycle, app) -> None:
        self._running = cycle
        if self._is_full():
            self.guard.note("too_many_held_bytes")
            app = _overload.refuse
        super()._start_asgi_task(cycle, app)

    def on_response_complete(self) -> None:
        is_last = not self.pipeline
        self._running = None
        super().on_response_complete()
        if self._input_ended and is_last:
            self.transport.close()
        if self.transport.is_closing():
            self._count_held()
            return
        data, self._unparsed = self._unparsed, b""
        self._feed(data)
        self.flow.resume_reading()

    def pause_writing(self) -> None:
        super().pause_writing()
        self._count_held()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._count_held()


def _find_body_length(headers: list[tuple[bytes, bytes]]) -> tuple[int, bool]:
    """Returns the length of a request's body, and if it comes in chunks."""
    length = 0
    for name, value in headers:
        if name == b"transfer-encoding":
            return 0, True
        if name == b"content-length" and value.isdigit():
            length = int(value)
    return length, False
