"""Whether an entry has lost its paths to targets."""

import asyncio
import random
import time

import testtools

from galenashed import engines
from galenashed import telemetry


class Prober:
    """Answers probes as told; ``hears`` tells whether bytes keep arriving."""

    def __init__(self, answer, *, hears):
        self.answer = answer
        self.hears = hears
        self._received_at = time.monotonic()

    @property
    def received_at(self):
        return time.monotonic() if self.hears else self._received_at

    async def accepts_connections(self, address):
        if self.answer is None:
            await asyncio.Event().wait()
        return self.answer


class Targets:
    def ready_addresses(self):
        return {
            "engines": ["127.0.0.1:1", "127.0.0.1:2"],
            "app": ["127.0.0.1:3"],
        }


class TestPaths(testtools.TestCase):
    def find_lost(self, answer, *, hears):
        async def run():
            paths = engines.Paths(
                pool=Prober(answer, hears=hears),
                targets=Targets(),
                log=telemetry.NullDecisionLog(),
                metrics=telemetry.NullMetrics(),
                rng=random.Random(1),
            )
            await paths.check()
            await paths.close()
            return paths.lost

        return asyncio.run(run())

    def test_accepted_connections(self):
        self.assertFalse(self.find_lost(True, hears=False))

    def test_refused_connections_while_open_ones_live_on(self):
        lost = self.find_lost(False, hears=True)
        self.assertEqual({"engines", "app"}, lost)

    def test_silence(self):
        lost = self.find_lost(None, hears=False)
        self.assertEqual({"engines", "app"}, lost)

    def test_slow_connections_while_targets_are_heard(self):
        self.assertFalse(self.find_lost(None, hears=True))
