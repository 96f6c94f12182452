"""Placement under session affinity, bursts and uneven load."""

import collections
import random

import testtools

from galenashed.gateway import _placement
from galenashed.gateway import _request


class Target:
    """A target with a load that the test sets."""

    def __init__(self, name, *, slots=96, same_domain=True):
        self.name = name
        self.slots = slots
        self.same_domain = same_domain
        self.running = 0
        self.waiting = 0
        self.slowness = 1.0
        self.pending_prefill_tokens = 0
        self.cached = set()

    def uncached_tokens(self, prompt):
        return sum(
            part.tokens for part in prompt if part.id not in self.cached
        )


def targets(count):
    return [Target(f"target-{n}") for n in range(count)]


def prompt(session, shared=6000, unshared=1000):
    return (
        _request.PromptPart("common", shared // 3),
        _request.PromptPart(session, shared - shared // 3),
        _request.PromptPart(f"own-{session}", unshared),
    )


class TestPlacement(testtools.TestCase):
    """Sessions stay on one target unless its load outweighs the cache."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(7)

    def choose(self, ring, parts, excluded=()):
        return _placement.choose(ring, parts, excluded, self.rng)

    def test_requests_of_a_session_go_to_one_target(self):
        ring = _placement.HashRing(candidates=targets(6))
        for session in range(50):
            chosen = {
                self.choose(ring, prompt(str(session))).name for _ in range(20)
            }
            self.assertEqual(1, len(chosen))

    def test_sessions_spread_over_the_targets(self):
        ring = _placement.HashRing(candidates=targets(6))
        counts = collections.Counter(
            self.choose(ring, prompt(str(session))).name
            for session in range(3000)
        )
        self.assertEqual(6, len(counts))
        self.assertLess(max(counts.values()), 2 * 3000 / 6)

    def test_hot_session_leaves_a_full_affinity_target(self):
        ring = _placement.HashRing(candidates=targets(6))
        preferred = self.choose(ring, prompt("hot"))
        preferred.running = preferred.slots
        preferred.waiting = 10
        self.assertNotEqual(preferred, self.choose(ring, prompt("hot")))

    def test_session_stays_under_light_load(self):
        ring = _placement.HashRing(candidates=targets(6))
        preferred = self.choose(ring, prompt("s"))
        preferred.running = 10
        self.assertEqual(preferred, self.choose(ring, prompt("s")))

    def test_burst_of_long_prompts_is_spread(self):
        all_targets = targets(6)
        ring = _placement.HashRing(candidates=all_targets)
        for n in range(24):
            parts = prompt(f"session-{n}")
            chosen = self.choose(ring, parts)
            chosen.pending_prefill_tokens += chosen.uncached_tokens(parts)
        pending = [target.pending_prefill_tokens for target in all_targets]
        self.assertLess(max(pending), 2 * sum(pending) / len(pending))

    def test_cached_parts_attract_their_session(self):
        all_targets = targets(6)
        ring = _placement.HashRing(candidates=all_targets)
        parts = prompt("s")
        preferred = self.choose(ring, parts)
        other = next(
            target for target in all_targets if target is not preferred
        )
        other.cached = {part.id for part in parts[:-1]}
        preferred.pending_prefill_tokens = 4000
        self.assertIs(other, self.choose(ring, parts))

    def test_small_prompts_go_to_the_least_loaded_target(self):
        all_targets = targets(6)
        ring = _placement.HashRing(candidates=all_targets)
        for target in all_targets[1:]:
            target.running = 30
        small = prompt("s", shared=60, unshared=500)
        self.assertEqual(all_targets[0], self.choose(ring, small))

    def test_no_target_is_left(self):
        ring = _placement.HashRing(candidates=targets(2))
        excluded = ["target-0", "target-1"]
        self.assertIsNone(self.choose(ring, prompt("s"), excluded))
        self.assertIsNone(self.choose(ring, (), excluded))

    def test_removing_a_target_moves_few_sessions(self):
        all_targets = targets(8)
        before = _placement.HashRing(candidates=all_targets)
        after = _placement.HashRing(candidates=all_targets[1:])
        moved = sum(
            before.affinity_target(str(n), ())
            is not after.affinity_target(str(n), ())
            for n in range(1000)
        )
        self.assertLess(moved, 250)

    def test_choice_samples_few_of_many_targets(self):
        many = targets(600)
        sampled = set()

        class RecordingTarget(Target):
            @property
            def running(self):
                sampled.add(self.name)
                return 0

            @running.setter
            def running(self, value):
                pass

        ring = _placement.HashRing(
            candidates=[RecordingTarget(target.name) for target in many]
        )
        self.choose(ring, prompt("s"))
        self.assertLessEqual(len(sampled), _placement.SAMPLE_SIZE + 1)
