"""Cutting streams into whole events."""

import random

import testtools

from galenashed.gateway import _events

STREAM = b"".join(
    b"id: %d\ndata: %s\n\n" % (n, b"x" * (n % 7)) for n in range(1, 60)
)


class TestEventCutter(testtools.TestCase):
    """Whole events come through once and in order."""

    def test_random_cuts_change_nothing(self):
        for seed in range(50):
            rng = random.Random(seed)
            cutter = _events.EventCutter()
            out = b""
            rest = STREAM
            while rest:
                size = rng.randint(1, 40)
                out += cutter.feed(rest[:size])
                rest = rest[size:]
                self.assertTrue(out == b"" or out.endswith(b"\n\n"))
            self.assertEqual(STREAM, out)
            self.assertEqual("59", cutter.last_id)
            self.assertEqual(59, cutter.count)

    def test_torn_event_is_dropped_when_the_stream_goes_on(self):
        cutter = _events.EventCutter()
        out = cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual("1", cutter.last_id)
        cutter.drop_rest()
        out += cutter.feed(b"id: 2\ndata: b\n\n")
        self.assertEqual(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", out)

    def test_number_within_the_data_is_not_taken_for_the_event_s(self):
        cutter = _events.EventCutter()
        cutter.feed(b"id: 4\ndata: valid: 9\n\n")
        self.assertEqual("4", cutter.last_id)
