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

    def test_partial_event_is_discarded_when_the_stream_resumes(self):
        splitter = _events.EventSplitter()
        out = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual("1", splitter.last_event_id)
        splitter.discard_partial()
        out += splitter.feed(b"id: 2\ndata: b\n\n")
        self.assertEqual(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", out)

    def test_id_within_the_data_is_ignored(self):
        splitter = _events.EventSplitter()
        splitter.feed(b"id: 4\ndata: valid: 9\n\n")
        self.assertEqual("4", splitter.last_event_id)
