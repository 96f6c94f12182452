"""Requests with one part of their prompts crash every target."""

import asyncio
import concurrent.futures
import http.client
import random
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

DEADLY_PART = "dead"
REQUESTS = 12
# Three crashes until the second request is known to have caused one, and one
# by a request that is under way meanwhile.
MAX_CRASHES = 4


class TestDeadlyPart(testtools.TestCase):
    """Few targets are lost, and other requests are served."""

    def setUp(self):
        super().setUp()
        self.site = _site.Site()
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.engines = [self.site.add_target("engines", n) for n in range(4)]
        for node in range(4):
            _fleet.wait_for(
                lambda node=node: self.serves_all_engines(node), "all targets"
            )
        for target in self.engines:
            target.deadly_part = DEADLY_PART

    def serves_all_engines(self, node):
        for target in self.engines:
            target.executions.clear()
        for number in range(40):
            prompt = f"w{node}{number}:60,own:10"
            if self.send(prompt, node=node) != 200:
                return False
        return all(target.executions for target in self.engines)

    def send(self, prompt, *, node, path="/g/x"):
        """Returns the status, or "cut" for an incomplete response."""
        try:
            response = self.site.generate(
                path, node=node, X_Prefix_Hash=prompt
            )
        except (http.client.HTTPException, OSError):
            return "cut"
        return response.status

    def crashes(self):
        return sum(target.crashes for target in self.engines)

    def check(self, path):
        sound = []
        for number in range(REQUESTS):
            node = number % 4
            self.send(
                f"common:60,{DEADLY_PART}:30,own{number}:10",
                node=node,
                path=path,
            )
            time.sleep(0.1)
            sound += [
                self.send(f"common:60,s{n}:30,own{number}:10", node=node)
                for n in range(3)
            ]
        self.assertLessEqual(self.crashes(), MAX_CRASHES)
        # Those that are sent while targets are down may fail.
        half = len(sound) // 2
        self.assertEqual([200] * half, sound[half:])
        status = self.send(f"other:60,{DEADLY_PART}:30,own:10", node=1)
        self.assertEqual(422, status)

    def test_deadly_part_in_streams_that_may_resume(self):
        self.check("/g/x")

    def test_deadly_part_in_streams_that_run_once(self):
        self.check("/n/x")


DEADLY_PATH = "/l/deadly"
# The third crash quarantines the request; one more is under way meanwhile.
MAX_LOOKUP_CRASHES = 4


class TestDeadlyLookup(testtools.TestCase):
    """One lookup, sent again and again by several callers at all nodes."""

    def setUp(self):
        super().setUp()
        self.site = _site.Site()
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.apps = [self.site.add_target("app", n) for n in range(3)]
        for node in range(4):
            _fleet.wait_for(
                lambda node=node: self.reaches_all_targets(node), "all targets"
            )
        for target in self.apps:
            target.deadly_path = DEADLY_PATH

    def reaches_all_targets(self, node):
        for target in self.apps:
            target.executions.clear()
        statuses = {self.look("/l/sound", node=node) for _ in range(20)}
        return statuses == {200} and all(t.executions for t in self.apps)

    def look(self, path, *, node):
        return self.site.call(path, node=node, method="GET", body=b"").status

    def count_crashes(self, pause):
        """Returns the crashes while the lookup comes every ``pause`` s."""
        sent_until = time.monotonic() + 6.0
        number = 0
        while time.monotonic() < sent_until:
            self.look(DEADLY_PATH, node=number % 4)
            number += 1
            time.sleep(pause)
        return sum(target.crashes for target in self.apps)

    def check(self, pause):
        self.assertLessEqual(self.count_crashes(pause), MAX_LOOKUP_CRASHES)
        self.assertEqual(422, self.look(DEADLY_PATH, node=2))
        for node in range(4):
            self.assertEqual(200, self.look("/l/sound", node=node))

    def test_lookup_that_is_repeated_at_once(self):
        self.check(0.05)

    def test_lookup_that_is_repeated_twice_a_second(self):
        self.check(0.5)

    def test_quarantine_outlasts_the_leader_and_a_restart(self):
        self.count_crashes(0.05)
        before = sum(target.crashes for target in self.apps)
        leader = self.site.leader()
        self.site.processes[leader].kill()
        self.site.processes[leader].wait()
        alive = [node for node in range(4) if node != leader]
        for _ in range(20):
            for node in alive:
                self.assertEqual(422, self.look(DEADLY_PATH, node=node))
        self.site.write_settings(leader, bootstrap=False)
        self.site.processes[leader].start()
        self.site.wait_until_ready(leader)
        for _ in range(20):
            for node in range(4):
                self.assertEqual(422, self.look(DEADLY_PATH, node=node))
        self.assertEqual(before, sum(target.crashes for target in self.apps))


# Bounds of the users: of the runs later than this after the fifth crash, three
# are allowed.
CONTACT_SECONDS = 3.0
COUNTED_CRASHES = 5
MAX_LATE_RUNS = 3
EVENT_SECONDS = 0.03
RESTART_SECONDS = 1.0
COMMON_PART = "common"


class OpenStreams(testtools.TestCase):
    """Streams with a part in common are open on every target."""

    SECONDS = 8.0
    SENDERS = 24

    def setUp(self):
        super().setUp()
        self.site = _site.Site(prepaid=10_000_000)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.engines = [self.site.add_target("engines", n) for n in range(4)]
        for node in range(4):
            _fleet.wait_for(
                lambda node=node: self.send("warm", node) == 200, "a target"
            )
        for target in self.engines:
            target.delay = EVENT_SECONDS
            target.restart_seconds = RESTART_SECONDS

    def send(self, name, node, *parts):
        """Returns the status, or "cut" for an incomplete response."""
        prompt = ",".join([*(f"{part}:40" for part in parts), f"{name}:10"])
        try:
            response = self.site.generate(node=node, X_Prefix_Hash=prompt)
        except (http.client.HTTPException, OSError):
            return "cut"
        return response.status

    def send_for_a_while(self, choose_parts, pause):
        """Returns the parts and the status of each request, in order."""
        rng = random.Random(1)
        ends = time.monotonic() + self.SECONDS
        sent = []
        with concurrent.futures.ThreadPoolExecutor(self.SENDERS) as pool:
            while time.monotonic() < ends:
                number = len(sent)
                parts = choose_parts(number)
                answer = pool.submit(
                    self.send, f"own{number}", rng.randrange(4), *parts
                )
                sent.append((parts, answer))
                time.sleep(pause)
        return [(parts, answer.result()) for parts, answer in sent]


class TestDeadlyPartAfterEvents(OpenStreams):
    """Targets crash on a part of a prompt, but not before the first event.

    Guards against an event that is taken as proof that a request is sound.
    """

    PAUSE = 0.25

    def check(self, deadly_after):
        for target in self.engines:
            target.deadly_part = DEADLY_PART
            target.deadly_after = deadly_after
        answers = self.send_for_a_while(
            lambda number: (
                [COMMON_PART] if number % 2 else [COMMON_PART, DEADLY_PART]
            ),
            self.PAUSE,
        )
        crashes = sorted(
            at for target in self.engines for at in target.crash_times
        )
        late = [
            at
            for at in crashes
            if len(crashes) >= COUNTED_CRASHES
            and at > crashes[COUNTED_CRASHES - 1] + CONTACT_SECONDS
        ]
        self.assertLessEqual(len(late), MAX_LATE_RUNS)
        self.assertLessEqual(len(crashes), COUNTED_CRASHES + MAX_LATE_RUNS)
        sound = [status for parts, status in answers if len(parts) == 1]
        half = sound[len(sound) // 2 :]
        self.assertEqual([200] * len(half), half)
        self.assertEqual(422, self.send("own", 1, "other", DEADLY_PART))

    def test_crash_after_the_first_event(self):
        self.check(1)

    def test_crash_after_a_later_event(self):
        self.check(4)

    def test_crash_after_the_last_event(self):
        self.check(_site.LAST_EVENT)

    def test_request_that_is_repeated_as_it_is(self):
        for target in self.engines:
            target.deadly_part = DEADLY_PART
            target.deadly_after = 1
        statuses = []
        for number in range(12):
            statuses.append(self.send("same", number % 4, DEADLY_PART))
            time.sleep(self.PAUSE)
        crashes = sum(target.crashes for target in self.engines)
        self.assertLessEqual(crashes, MAX_CRASHES)
        self.assertEqual([422] * 3, statuses[-3:])


class TestTargetsThatCrashByThemselves(OpenStreams):
    """Targets crash one after the other, whatever runs there.

    Guards against sound parts that are blamed for crashes under open streams.
    """

    PAUSE = 0.2
    CRASH_SECONDS = 1.5
    RARE_PART = "rare"

    def crash_in_turn(self):
        async def run():
            rng = random.Random(2)
            while True:
                await asyncio.sleep(self.CRASH_SECONDS)
                await rng.choice(self.engines).crash()

        return asyncio.run_coroutine_threadsafe(run(), self.site.loop)

    def check(self, choose_parts):
        crashing = self.crash_in_turn()
        try:
            answers = self.send_for_a_while(choose_parts, self.PAUSE)
        finally:
            crashing.cancel()
        crashes = sum(target.crashes for target in self.engines)
        self.assertGreaterEqual(crashes, 3)
        statuses = [status for _, status in answers]
        self.assertEqual([200] * len(statuses), statuses)

    def test_part_that_all_streams_share_is_not_blamed(self):
        self.check(lambda number: [COMMON_PART])

    def test_part_that_few_streams_share_is_not_blamed(self):
        self.check(
            lambda number: (
                [COMMON_PART] if number % 4 else [COMMON_PART, self.RARE_PART]
            )
        )
