"""Streams that targets break off, by how their end was to be marked."""

import asyncio
import socket
import struct

import testtools

from galenashed.gateway.tests import _fixture
from galenashed.protocol import routes

EVENTS = [b"id: 1\ndata: x\n\n", b"id: 2\ndata: y\n\n"]
STREAM = b"".join(EVENTS)
HALF_EVENT = EVENTS[1][:8]
NO_HEADERS = b""
CHUNKS = b"transfer-encoding: chunked\r\n"


def head(framing_headers=NO_HEADERS):
    return (
        b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n%s\r\n"
        % framing_headers
    )


def length(body):
    return b"content-length: %d\r\n" % len(body)


def chunked(body):
    return b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


class BreakingTarget(_fixture.Target):
    """Sends ``first`` and closes or resets the connection.

    If it ``ends``, it listens no more, like a process that was killed.
    """

    def __init__(self, first, *, reset=False, ends=False):
        super().__init__(first)
        self.reset = reset
        self.ends = ends

    async def send_pieces(self, writer):
        await writer.drain()
        # Lets the gateway read what was sent: a reset discards the rest.
        await asyncio.sleep(0.05)
        if self.ends:
            self.server.close()
        if self.reset:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        raise ConnectionError


class TestBrokenStreams(testtools.TestCase):
    """A stream that is broken off never reaches the caller as complete."""

    def relay(
        self,
        first,
        *,
        other=None,
        kind=routes.RouteKind.STREAM,
        resumable=False,
        reset=False,
        ends=False,
    ):
        """Returns the response to the caller and the other target."""

        async def run():
            fixture = _fixture.Fixture(
                kind=kind,
                resumable=resumable,
                time_limit=_fixture.TIME_LIMIT_SECONDS,
            )
            writer = _fixture.ResponseWriter()
            other_target = BreakingTarget(other or head())
            try:
                task = await fixture.start_request(
                    writer,
                    BreakingTarget(first, reset=reset, ends=ends),
                    other_target,
                )
                await task
            finally:
                await fixture.close()
            return writer, other_target

        return asyncio.run(run())

    def check_cut(self, first, *, body=STREAM, **options):
        """Checks that the caller got only a first part of ``body``."""
        writer, other = self.relay(first, **options)
        self.assertTrue(writer.aborted)
        self.assertFalse(writer.finished)
        self.assertTrue(body.startswith(writer.body))
        self.assertEqual(0, len(other.requests))

    def check_resumed(self, first, *, after=b"1", **options):
        """Checks that the other target sends the events that are missing."""
        rest = EVENTS[1] if after else STREAM
        writer, other = self.relay(
            first,
            other=head(length(rest)) + rest,
            resumable=True,
            **options,
        )
        (resumption,) = other.requests
        self.assertTrue(resumption.startswith(b"GET /%s " % after))
        self.assertTrue(writer.finished)
        self.assertEqual(STREAM, writer.body)

    def check_complete(self, first, **options):
        writer, other = self.relay(first, **options)
        self.assertTrue(writer.finished)
        self.assertFalse(writer.aborted)
        self.assertEqual(STREAM, writer.body)
        self.assertEqual(0, len(other.requests))

    def test_stream_that_closes_inside_an_event_is_cut(self):
        self.check_cut(head() + EVENTS[0] + HALF_EVENT)

    def test_stream_that_closes_inside_an_event_is_resumed(self):
        self.check_resumed(head() + EVENTS[0] + HALF_EVENT)

    def test_stream_that_closes_inside_its_first_event_is_cut(self):
        self.check_cut(head() + HALF_EVENT)

    def test_stream_that_closes_inside_its_first_event_is_repeated(self):
        self.check_resumed(head() + EVENTS[0][:5], after=b"")

    def test_stream_that_closes_before_any_event_is_cut(self):
        self.check_cut(head())

    def test_stream_that_closes_before_any_event_is_repeated(self):
        self.check_resumed(head(), after=b"")

    def test_stream_with_a_length_that_ends_inside_an_event_is_cut(self):
        body = EVENTS[0] + HALF_EVENT
        self.check_cut(head(length(body)) + body)

    def test_stream_in_chunks_that_ends_inside_an_event_is_cut(self):
        self.check_cut(head(CHUNKS) + chunked(EVENTS[0] + HALF_EVENT))

    def test_stream_in_chunks_that_ends_inside_an_event_is_resumed(self):
        self.check_resumed(head(CHUNKS) + chunked(EVENTS[0] + HALF_EVENT))

    def test_content_type_in_capitals_is_a_stream(self):
        first = head().replace(b"text/event-stream", b"Text/Event-Stream")
        self.check_cut(first + EVENTS[0] + HALF_EVENT)

    def test_reset_after_an_event_is_cut(self):
        self.check_cut(head() + EVENTS[0], reset=True)

    def test_reset_after_an_event_is_resumed(self):
        self.check_resumed(head() + EVENTS[0], reset=True)

    def test_closed_stream_shorter_than_its_length_is_cut(self):
        self.check_cut(head(length(STREAM)) + EVENTS[0])

    def test_closed_stream_without_its_last_chunk_is_cut(self):
        self.check_cut(head(CHUNKS) + chunked(EVENTS[0])[:-5])

    def test_stream_that_closes_after_an_event_is_complete(self):
        self.check_complete(head() + STREAM)

    # A target that is killed closes its connections in an orderly way, also
    # between two events.
    def test_stream_that_ends_with_its_target_is_cut(self):
        self.check_cut(head() + EVENTS[0], ends=True)

    def test_stream_that_ends_with_its_target_is_resumed(self):
        self.check_resumed(head() + EVENTS[0], ends=True)

    def test_plain_response_that_ends_with_its_target_is_cut(self):
        self.check_plain_cut(b"HTTP/1.1 200 OK\r\n\r\nabc", ends=True)

    def test_stream_with_a_length_is_complete(self):
        self.check_complete(head(length(STREAM)) + STREAM)

    def test_stream_in_chunks_is_complete(self):
        self.check_complete(head(CHUNKS) + chunked(STREAM))

    def test_resumption_that_closes_without_further_events_is_complete(self):
        writer, _ = self.relay(
            head() + STREAM,
            other=head(length(b"")),
            resumable=True,
            reset=True,
        )
        self.assertTrue(writer.finished)
        self.assertEqual(STREAM, writer.body)

    def test_resumption_that_closes_before_any_event_is_cut(self):
        writer, other = self.relay(
            head() + EVENTS[0] + HALF_EVENT, other=head(), resumable=True
        )
        self.assertEqual(1, len(other.requests))
        self.assertTrue(writer.aborted)
        self.assertFalse(writer.finished)
        self.assertEqual(EVENTS[0], writer.body)

    def test_stream_without_event_ids_is_not_repeated_after_an_event(self):
        event = b"data: x\n\n"
        self.check_cut(head() + event + HALF_EVENT, body=event, resumable=True)

    def check_plain_cut(self, first, **options):
        self.check_cut(
            first, body=b"abc", kind=routes.RouteKind.IDEMPOTENT, **options
        )

    def test_plain_response_that_has_begun_is_not_repeated(self):
        self.check_plain_cut(
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc"
        )

    def test_plain_response_that_is_reset_is_not_repeated(self):
        self.check_plain_cut(b"HTTP/1.1 200 OK\r\n\r\nabc", reset=True)
