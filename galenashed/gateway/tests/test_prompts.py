"""What is known of the prompts at one target."""

import testtools

from galenashed.gateway import _prompts
from galenashed.gateway import _request


def prompt(*parts):
    return tuple(_request.Part(name, tokens) for name, tokens in parts)


class TestUnread(testtools.TestCase):
    """Prompt tokens that were sent and not read yet."""

    def test_prompts_count_until_their_first_event(self):
        unread = _prompts.Unread()
        unread.begin("a", 4000)
        unread.begin("b", 1000)
        self.assertEqual(5000, unread.tokens)
        unread.end("a")
        unread.end("a")
        self.assertEqual(1000, unread.tokens)

    def test_a_request_that_is_sent_again_counts_once(self):
        unread = _prompts.Unread()
        unread.begin("a", 4000)
        unread.begin("a", 3000)
        self.assertEqual(3000, unread.tokens)


class TestParts(testtools.TestCase):
    """Shared parts that a target has read."""

    def test_parts_after_a_gap_are_missing(self):
        parts = _prompts.Parts(room=10_000)
        parts.note(prompt(("a", 100), ("b", 200), ("own", 5)))
        wanted = prompt(("a", 100), ("c", 300), ("b", 200), ("own", 7))
        self.assertEqual(507, parts.uncached_tokens(wanted))
        wanted = prompt(("a", 100), ("b", 200), ("own", 7))
        self.assertEqual(7, parts.uncached_tokens(wanted))

    def test_the_last_part_belongs_to_the_request_alone(self):
        parts = _prompts.Parts(room=10_000)
        parts.note(prompt(("a", 100), ("own", 5)))
        self.assertNotIn("own", parts)

    def test_the_least_recently_used_are_forgotten(self):
        parts = _prompts.Parts(room=300)
        parts.note(prompt(("a", 100), ("own", 5)))
        parts.note(prompt(("b", 200), ("own", 5)))
        parts.note(prompt(("a", 100), ("own", 5)))
        parts.note(prompt(("c", 100), ("own", 5)))
        self.assertIn("a", parts)
        self.assertNotIn("b", parts)

    def test_no_prompt_misses_nothing(self):
        self.assertEqual(0, _prompts.Parts(room=1).uncached_tokens(()))
