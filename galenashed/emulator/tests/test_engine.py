"""The emulated engine."""

import testtools

from galenashed import emulator


def work(parts=(), own=1000, output=8, priority=5):
    return emulator.Work(
        parts=list(parts), own=own, output=output, priority=priority
    )


def play(engine, now=0.0):
    """Steps until the engine has nothing to do; returns when that was."""
    ended = []
    while True:
        seconds, done = engine.step(now)
        if not seconds:
            return now, ended
        now += seconds
        ended += done


class TestEngine(testtools.TestCase):
    """Batches, prompts in pieces, and cached parts."""

    def setUp(self):
        super().setUp()
        self.engine = emulator.Engine(
            name="e", cfg=emulator.EngineSettings(slots=4, memory=40_000)
        )

    def test_every_request_ends_with_all_its_tokens(self):
        sent = [work(output=n + 1) for n in range(10)]
        for item in sent:
            self.engine.add(item)
        _, ended = play(self.engine)
        self.assertEqual(set(sent), set(ended))
        self.assertEqual([n + 1 for n in range(10)], [w.made for w in sent])

    def test_a_part_is_read_once(self):
        parts = [("common", 6000)]
        for _ in range(3):
            self.engine.add(work(parts))
            play(self.engine)
        self.assertEqual(6000 + 3 * 1000, self.engine.tokens_read)
        self.assertEqual(2 * 6000, self.engine.tokens_cached)

    def test_the_least_recently_used_part_yields(self):
        for n in range(8):
            self.engine.add(work([(f"part-{n}", 6000)]))
            play(self.engine)
        self.engine.add(work([("part-0", 6000)]))
        play(self.engine)
        self.assertEqual(0, self.engine.tokens_cached)

    def test_a_long_prompt_delays_the_tokens_of_the_others(self):
        stream = work(own=10, output=40)
        self.engine.add(stream)
        self.engine.add(work(own=34_000))
        play(self.engine)
        chunk_seconds = 4096 / 41.4 / 1000
        self.assertGreater(stream.longest_pause, 3 * chunk_seconds)

    def test_urgent_requests_go_first(self):
        late = [work(priority=5) for _ in range(8)]
        for item in late:
            self.engine.add(item)
        urgent = work(priority=0)
        self.engine.add(urgent)
        play(self.engine)
        self.assertLess(urgent.first_at, min(w.first_at for w in late[4:]))
