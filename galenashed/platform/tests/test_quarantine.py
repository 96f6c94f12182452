"""Requests with one part of their prompts crash every target."""

import http.client
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
