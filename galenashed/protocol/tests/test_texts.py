"""Bounds on texts that are stored for long."""

import testtools

from galenashed.protocol import texts

MAX_BYTES = 60


class TestShorten(testtools.TestCase):
    """Texts of callers, of any characters."""

    def test_short_text_is_kept(self):
        for text in ("", "/orders/1", "a" * MAX_BYTES, "\xe9" * 30):
            self.assertEqual(text, texts.shorten(text, MAX_BYTES))

    def test_long_text_is_bounded_in_bytes(self):
        for text in ("a" * 61, "\xe9" * 31, "\U0001f600" * 16, "a\ud800" * 99):
            short = texts.shorten(text, MAX_BYTES)
            self.assertLessEqual(len(short.encode()), MAX_BYTES)

    def test_long_texts_stay_different(self):
        first, second = ("a" * 15_000 + end for end in "xy")
        self.assertNotEqual(
            texts.shorten(first, MAX_BYTES), texts.shorten(second, MAX_BYTES)
        )
