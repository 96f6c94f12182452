"""Placement under the load patterns that it answers."""

import collections
import random

import testtools

from galenashed.gateway import _placement
from galenashed.gateway import _request


class Target:
    """A target with a load that the test sets."""

    def __init__(self, name, *, slots=96, near=True):
        self.name = name
        self.slots = slots
        self.near = near
        self.running = 0
        self.waiting = 0
        self.pending_prefill_tokens = 0
        self.read = set()

    def uncached_tokens(self, prompt):
        return sum(part.tokens for part in prompt if part.id not in self.read)


def targets(count):
    return [Target(f"target-{n}") for n in range(count)]


def prompt(session, shared=6000, own=1000):
    return (
        _request.Part("common", shared // 3),
        _request.Part(session, shared - shared // 3),
        _request.Part(f"own-{session}", own),
    )


class TestPlacement(testtools.TestCase):
    """Sessions meet, and load goes before them when it must."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(7)

    def choose(self, ring, parts, excluded=()):
        return _placement.choose(ring, parts, excluded, self.rng)

    def test_requests_of_a_session_meet_at_one_target(self):
        ring = _placement.Ring(candidates=targets(6))
        for session in range(50):
            chosen = {
                self.choose(ring, prompt(str(session))).name for _ in range(20)
            }
            self.assertEqual(1, len(chosen))

    def test_sessions_spread_over_the_targets(self):
        ring = _placement.Ring(candidates=targets(6))
        counts = collections.Counter(
            self.choose(ring, prompt(str(session))).name
            for session in range(3000)
        )
        self.assertEqual(6, len(counts))
        self.assertLess(max(counts.values()), 2 * 3000 / 6)

    def test_hot_session_leaves_a_home_that_is_full(self):
        ring = _placement.Ring(candidates=targets(6))
        home = self.choose(ring, prompt("hot"))
        home.running = home.slots
        home.waiting = 10
        self.assertNotEqual(home, self.choose(ring, prompt("hot")))

    def test_a_little_load_does_not_cost_the_cached_parts(self):
        ring = _placement.Ring(candidates=targets(6))
        home = self.choose(ring, prompt("s"))
        home.running = 10
        self.assertEqual(home, self.choose(ring, prompt("s")))

    def test_a_clump_of_long_prompts_is_spread(self):
        all_targets = targets(6)
        ring = _placement.Ring(candidates=all_targets)
        for n in range(24):
            parts = prompt(f"session-{n}")
            chosen = self.choose(ring, parts)
            chosen.pending_prefill_tokens += chosen.uncached_tokens(parts)
        unread = [target.pending_prefill_tokens for target in all_targets]
        self.assertLess(max(unread), 2 * sum(unread) / len(unread))

    def test_parts_that_were_read_draw_their_session(self):
        all_targets = targets(6)
        ring = _placement.Ring(candidates=all_targets)
        parts = prompt("s")
        home = self.choose(ring, parts)
        other = next(one for one in all_targets if one is not home)
        other.read = {part.id for part in parts[:-1]}
        home.pending_prefill_tokens = 4000
        self.assertIs(other, self.choose(ring, parts))

    def test_small_prompts_go_where_there_is_room(self):
        all_targets = targets(6)
        ring = _placement.Ring(candidates=all_targets)
        for target in all_targets[1:]:
            target.running = 30
        small = prompt("s", shared=60, own=500)
        self.assertEqual(all_targets[0], self.choose(ring, small))

    def test_no_target_is_left(self):
        ring = _placement.Ring(candidates=targets(2))
        excluded = ["target-0", "target-1"]
        self.assertIsNone(self.choose(ring, prompt("s"), excluded))
        self.assertIsNone(self.choose(ring, (), excluded))

    def test_home_moves_for_few_sessions_when_a_target_goes(self):
        all_targets = targets(8)
        before = _placement.Ring(candidates=all_targets)
        after = _placement.Ring(candidates=all_targets[1:])
        moved = sum(
            before.affinity_target(str(n), ())
            is not after.affinity_target(str(n), ())
            for n in range(1000)
        )
        self.assertLess(moved, 250)

    def test_a_choice_among_many_looks_at_few(self):
        many = targets(600)
        looked_at = set()

        class Watched(Target):
            @property
            def running(self):
                looked_at.add(self.name)
                return 0

            @running.setter
            def running(self, value):
                pass

        ring = _placement.Ring(
            candidates=[Watched(target.name) for target in many]
        )
        self.choose(ring, prompt("s"))
        self.assertLessEqual(len(looked_at), _placement.SAMPLE_SIZE + 1)
