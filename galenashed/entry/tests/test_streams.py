"""Tests of splitting streams into events."""

import random

import testtools

from galenashed import engines
from galenashed.entry import _streams

EVENTS = (
    b'data: {"choices":[{"delta":{"content":"a [DONE] b"}}]}\n\n',
    b'data: {"choices":[{"delta":{"content":"\\n\\ndata: x"}}]}\n\n',
    b'data: {"choices":[{"delta":{"content":"\\"usage\\":{"}}]}\n\n',
)
USAGE = (
    b'data: {"choices":[],"usage":{"prompt_tokens":5,'
    b'"completion_tokens":3}}\n\n'
)
DONE = b"data: [DONE]\n\n"


class TestEventStreamScanner(testtools.TestCase):
    """The events do not depend on how the stream is split into chunks."""

    def feed(self, stream: bytes, sizes, wants_usage=False):
        scanner = _streams.EventStreamScanner(wants_usage=wants_usage)
        out = b""
        position = 0
        for size in sizes:
            out += scanner.feed(stream[position : position + size])
            position += size
        out += scanner.feed(stream[position:])
        return scanner, out

    def test_events_do_not_depend_on_chunk_boundaries(self):
        stream = b"".join(EVENTS) + USAGE + DONE
        expected = b"".join(EVENTS) + DONE
        rng = random.Random(1)
        for _ in range(200):
            sizes = [rng.randrange(1, 60) for _ in range(20)]
            scanner, out = self.feed(stream, sizes)
            self.assertEqual(expected, out)
            self.assertTrue(scanner.finished)
            self.assertEqual((5, 3), scanner.usage)
            self.assertEqual(3, scanner.events)

    def test_usage_event_is_forwarded_if_requested(self):
        stream = b"".join(EVENTS) + USAGE + DONE
        _, out = self.feed(stream, [], wants_usage=True)
        self.assertEqual(stream, out)

    def test_truncated_stream_is_not_finished(self):
        for stream in (b"".join(EVENTS), b"".join(EVENTS) + DONE[:-1]):
            scanner, _ = self.feed(stream, [7, 30])
            self.assertFalse(scanner.finished)

    def test_end_marker_within_content_does_not_end_stream(self):
        scanner, out = self.feed(EVENTS[0], [])
        self.assertFalse(scanner.finished)
        self.assertEqual(EVENTS[0], out)

    def test_partial_event_is_discarded_on_resume(self):
        scanner = _streams.EventStreamScanner(wants_usage=False)
        first = scanner.feed(EVENTS[0] + EVENTS[1][:10])
        scanner.discard_partial()
        second = scanner.feed(EVENTS[1] + DONE)
        self.assertEqual(EVENTS[0] + EVENTS[1] + DONE, first + second)
        self.assertEqual(2, scanner.events)

    def test_event_without_end_is_refused(self):
        scanner = _streams.EventStreamScanner(wants_usage=False)
        scanner.feed(EVENTS[0])
        piece = b"data: x\n" * 1000

        def feed_without_end():
            for _ in range(2 * _streams.MAX_EVENT_BYTES // len(piece)):
                scanner.feed(piece)

        self.assertRaises(engines.TargetLostError, feed_without_end)
        self.assertEqual(1, scanner.events)
        self.assertEqual(EVENTS[1], scanner.feed(EVENTS[1]))

    def test_partial_event_is_not_copied_for_every_chunk(self):
        scanner = _streams.EventStreamScanner(wants_usage=False)
        scanner.feed(b"data: ")
        partial = scanner._partial
        scanner.feed(b"x" * 1000)
        self.assertIs(partial, scanner._partial)
