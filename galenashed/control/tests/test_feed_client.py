"""Finding a replica that can serve the configuration feed."""

import asyncio
import math
import random
import time

import testtools

from galenashed import control
from galenashed.control import _client
from galenashed.protocol import control as wire

MAX_AGE_SECONDS = 2.0
# An entry in contact with control obeys a new configuration within this time.
CONFIGURATION_SECONDS = 2.0
EVENT_SECONDS = 0.05
SEEDS = 6


class Call:
    """A stream of events of the given age; None for one without events."""

    def __init__(self, age):
        self.age = age
        self.cancelled = False

    async def write(self, report):
        pass

    async def read(self):
        if self.age is None:
            await asyncio.Event().wait()
        await asyncio.sleep(EVENT_SECONDS)
        return wire.FollowEvent(age=self.age)

    def cancel(self):
        self.cancelled = True


class Client:
    """Replicas whose feeds have the given ages."""

    def __init__(self, ages):
        self.ages = ages
        self.names = list(ages)
        self.replicas = {name: name for name in ages}
        self.calls = []

    def channel(self, name):
        client = self

        class Channel:
            def open(self, method):
                call = Call(client.ages[name])
                client.calls.append(call)
                return call

        return Channel()


class TestFeedClient(testtools.TestCase):
    def follow(self, ages, seed, seconds=CONFIGURATION_SECONDS):
        """Returns the client, and after how long a fresh event came."""
        client = Client(ages)
        fresh = []

        def on_event(event):
            if event.age <= MAX_AGE_SECONDS:
                fresh.append(time.monotonic())

        async def run():
            feed = control.FeedClient(
                client=client,
                report=lambda: None,
                on_event=on_event,
                rng=random.Random(seed),
                max_age=MAX_AGE_SECONDS,
            )
            started = time.monotonic()
            await feed.start()
            try:
                async with asyncio.timeout(seconds):
                    while not fresh:
                        await asyncio.sleep(0.01)
                await asyncio.sleep(4 * EVENT_SECONDS)
            finally:
                await feed.close()
            return fresh[0] - started

        return client, asyncio.run(run())

    def test_fresh_feed_is_found_beside_silent_replicas(self):
        ages = {"a": None, "b": None, "c": None, "d": 0.1, "e": 0.1}
        for seed in range(SEEDS):
            self.follow(ages, seed)

    def test_fresh_feed_is_found_beside_replicas_that_have_just_started(self):
        ages = dict.fromkeys("abcd", math.inf) | {"e": 0.1}
        for seed in range(SEEDS):
            self.follow(ages, seed)

    def test_other_feeds_are_closed_once_a_fresh_one_is_found(self):
        client, _ = self.follow({"a": None, "b": None, "c": 0.1}, 0)
        self.assertTrue(all(call.cancelled for call in client.calls))

    def test_one_replica_is_asked_if_it_answers(self):
        client, elapsed = self.follow(dict.fromkeys("abc", 0.1), 0)
        self.assertEqual(1, len(client.calls))
        self.assertLess(elapsed, _client.CALL_TIMEOUT_SECONDS)
