"""Splitting of streams into complete events."""

import random

import testtools

from galenashed.gateway import _events

STREAM = b"".join(
    b"id: %d\ndata: %s\n\n" % (n, b"x" * (n % 7)) for n in range(1, 60)
)


class TestEventSplitter(testtools.TestCase):
    """Complete events are passed once and in order."""

    def test_chunk_boundaries_do_not_change_the_stream(self):
        for seed in range(50):
            rng = random.Random(seed)
            splitter = _events.EventSplitter()
            out = b""
            remaining = STREAM
            while remaining:
                size = rng.randint(1, 40)
                out += splitter.feed(remaining[:size])
                remaining = remaining[size:]
                self.assertTrue(out == b"" or out.endswith(b"\n\n"))
            self.assertEqual(STREAM, out)
            self.assertEqual("59", splitter.last_event_id)
            self.assertEqual(59, splitter.count)

    def test_lines_that_end_with_crlf(self):
        stream = STREAM.replace(b"\n", b"\r\n")
        for size in range(1, 40):
            splitter = _events.EventSplitter()
            out = b""
            for start in range(0, len(stream), size):
                out += splitter.feed(stream[start : start + size])
            self.assertEqual(stream, out)
            self.assertEqual("59", splitter.last_event_id)
            self.assertEqual(59, splitter.count)

    def test_partial_event_is_discarded_when_the_stream_resumes(self):
        splitter = _events.EventSplitter()
        out = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual("1", splitter.last_event_id)
        splitter.discard_partial()
        out += splitter.feed(b"id: 2\ndata: b\n\n")
        self.assertEqual(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", out)

    def test_event_without_end_is_refused(self):
        splitter = _events.EventSplitter()
        splitter.feed(b"id: 1\ndata: a\n\n")
        piece = b"data: x\n" * 1000

        def feed_without_end():
            for _ in range(2 * _events.MAX_EVENT_BYTES // len(piece)):
                splitter.feed(piece)

        self.assertRaises(_events.EventTooLargeError, feed_without_end)
        self.assertEqual(b"", splitter.partial())
        self.assertEqual("1", splitter.last_event_id)

    def test_long_event_passes(self):
        splitter = _events.EventSplitter()
        event = b"data: %s\n\n" % (b"x" * (_events.MAX_EVENT_BYTES // 2))
        out = b""
        for start in range(0, len(event), 1000):
            out += splitter.feed(event[start : start + 1000])
        self.assertEqual(event, out)

    def test_complete_events_pass_before_one_without_end(self):
        splitter = _events.EventSplitter()
        complete = b"id: 1\ndata: a\n\n"
        rest = b"data: " + b"x" * _events.MAX_EVENT_BYTES
        self.assertEqual(complete, splitter.feed(complete + rest))
        self.assertRaises(_events.EventTooLargeError, splitter.feed, b"x")

    def test_partial_event_is_not_copied_for_every_chunk(self):
        splitter = _events.EventSplitter()
        splitter.feed(b"data: ")
        partial = splitter._partial
        splitter.feed(b"x" * 1000)
        self.assertIs(partial, splitter._partial)

    def test_id_within_the_data_is_ignored(self):
        splitter = _events.EventSplitter()
        splitter.feed(b"id: 4\ndata: valid: 9\n\n")
        self.assertEqual("4", splitter.last_event_id)
