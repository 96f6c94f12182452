"""Estimates of the pending and the cached prompts of a target."""

import testtools

from galenashed.gateway import _prompts
from galenashed.gateway import _request

MAX_PARTS = 100


def prompt(*parts):
    return tuple(_request.PromptPart(name, tokens) for name, tokens in parts)


class TestPendingPrompts(testtools.TestCase):
    """Prompt tokens that were sent and not prefilled yet."""

    def test_prompts_are_pending_until_they_end(self):
        pending = _prompts.PendingPrompts()
        pending.begin("a", 4000)
        pending.begin("b", 1000)
        self.assertEqual(5000, pending.tokens)
        pending.end("a")
        pending.end("a")
        self.assertEqual(1000, pending.tokens)

    def test_retried_request_counts_once(self):
        pending = _prompts.PendingPrompts()
        pending.begin("a", 4000)
        pending.begin("a", 3000)
        self.assertEqual(3000, pending.tokens)


class TestCachedParts(testtools.TestCase):
    """Shared parts that a target has cached."""

    def test_parts_after_an_uncached_part_are_uncached(self):
        parts = _prompts.CachedParts(max_tokens=10_000)
        parts.record(prompt(("a", 100), ("b", 200), ("own", 5)), MAX_PARTS)
        wanted = prompt(("a", 100), ("c", 300), ("b", 200), ("own", 7))
        self.assertEqual(507, parts.uncached_tokens(wanted))
        wanted = prompt(("a", 100), ("b", 200), ("own", 7))
        self.assertEqual(7, parts.uncached_tokens(wanted))

    def test_last_part_is_not_cached(self):
        parts = _prompts.CachedParts(max_tokens=10_000)
        parts.record(prompt(("a", 100), ("own", 5)), MAX_PARTS)
        self.assertNotIn("own", parts)

    def test_least_recently_used_parts_are_evicted(self):
        parts = _prompts.CachedParts(max_tokens=300)
        parts.record(prompt(("a", 100), ("own", 5)), MAX_PARTS)
        parts.record(prompt(("b", 200), ("own", 5)), MAX_PARTS)
        parts.record(prompt(("a", 100), ("own", 5)), MAX_PARTS)
        parts.record(prompt(("c", 100), ("own", 5)), MAX_PARTS)
        self.assertIn("a", parts)
        self.assertNotIn("b", parts)

    def test_empty_prompt_has_no_uncached_tokens(self):
        self.assertEqual(
            0, _prompts.CachedParts(max_tokens=1).uncached_tokens(())
        )

    def test_parts_without_tokens_are_evicted_by_their_number(self):
        """Guards against callers that fill the memory with such parts."""
        parts = _prompts.CachedParts(max_tokens=300)
        for number in range(10):
            names = [(f"{number}-{n}", 0) for n in range(50)]
            parts.record(prompt(*names, ("own", 5)), MAX_PARTS)
        self.assertEqual(MAX_PARTS, len(parts))
        self.assertIn("9-49", parts)
