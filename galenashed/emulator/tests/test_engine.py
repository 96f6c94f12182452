"""Tests of the emulated engine."""

import testtools

from galenashed import emulator


def make_request(parts=(), unique_tokens=1000, output_tokens=8, priority=5):
    return emulator.EngineRequest(
        parts=list(parts),
        unique_tokens=unique_tokens,
        output_tokens=output_tokens,
        priority=priority,
    )


def run_until_idle(engine, now=0.0):
    """Returns the time of the last step's end and the finished requests."""
    all_finished = []
    while True:
        seconds, finished = engine.step(now)
        if not seconds:
            return now, all_finished
        now += seconds
        all_finished += finished


class TestEngine(testtools.TestCase):
    """Continuous batching, chunked prefill and the prefix cache."""

    def setUp(self):
        super().setUp()
        self.engine = emulator.Engine(
            name="e", cfg=emulator.EngineSettings(slots=4, memory=40_000)
        )

    def test_every_request_generates_all_its_tokens(self):
        requests = [make_request(output_tokens=n + 1) for n in range(10)]
        for request in requests:
            self.engine.add(request)
        _, finished = run_until_idle(self.engine)
        self.assertEqual(set(requests), set(finished))
        self.assertEqual(
            [n + 1 for n in range(10)],
            [request.generated_tokens for request in requests],
        )

    def test_a_shared_part_is_prefilled_once(self):
        parts = [("common", 6000)]
        for _ in range(3):
            self.engine.add(make_request(parts))
            run_until_idle(self.engine)
        self.assertEqual(6000 + 3 * 1000, self.engine.prefilled_tokens)
        self.assertEqual(2 * 6000, self.engine.cache_hit_tokens)

    def test_the_least_recently_used_part_is_evicted(self):
        for n in range(8):
            self.engine.add(make_request([(f"part-{n}", 6000)]))
            run_until_idle(self.engine)
        self.engine.add(make_request([("part-0", 6000)]))
        run_until_idle(self.engine)
        self.assertEqual(0, self.engine.cache_hit_tokens)

    def test_a_long_prompt_delays_the_tokens_of_other_requests(self):
        stream = make_request(unique_tokens=10, output_tokens=40)
        self.engine.add(stream)
        self.engine.add(make_request(unique_tokens=34_000))
        run_until_idle(self.engine)
        chunk_seconds = 4096 / 41.4 / 1000
        self.assertGreater(stream.longest_pause, 3 * chunk_seconds)

    def test_requests_of_lower_priority_value_run_first(self):
        requests = [make_request(priority=5) for _ in range(8)]
        for request in requests:
            self.engine.add(request)
        urgent = make_request(priority=0)
        self.engine.add(urgent)
        run_until_idle(self.engine)
        self.assertLess(
            urgent.first_event_at,
            min(request.first_event_at for request in requests[4:]),
        )
