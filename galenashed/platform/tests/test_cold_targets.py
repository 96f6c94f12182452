"""Targets that start cold behind several nodes.

Guards against nodes that together overload a cold target, and against cold
targets that get nothing.
"""

import concurrent.futures
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

NODES = 4
COLD_RATE = 8.0
MAX_IN_SECOND = 1.5 * COLD_RATE + 5
PRESS_SECONDS = 5.0
SETTLED_SECONDS = 4.0


class Target(_site.Target):
    """A target that says how long it is cold."""

    cold_until = float("inf")

    def next_heartbeat(self):
        left = min(600.0, max(0.0, self.cold_until - time.time()))
        return {**super().next_heartbeat(), "coldLeftMs": 1000.0 * left}


class TestColdTargets(testtools.TestCase):
    def look(self, node):
        return self.site.call("/l/x", node=node, method="GET", body=b"")

    def press(self, number):
        """Returns the responses of a node to one of its callers."""
        until = time.monotonic() + PRESS_SECONDS
        responses = []
        while time.monotonic() < until:
            responses.append(self.look(number % NODES))
            time.sleep(0.02)
        return responses

    def test_all_targets_start_cold(self):
        self.site = _site.Site(nodes=NODES)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        app = {"name": "app", "coldS": 3.0, "coldPerS": COLD_RATE}
        status = self.site.put_configuration(
            services=[{"name": "engines"}, app]
        )
        self.assertEqual(200, status)
        targets = [self.site.add_target("app", n, Target) for n in range(2)]
        time.sleep(SETTLED_SECONDS)
        for target in targets:
            target.arrivals.clear()
        with concurrent.futures.ThreadPoolExecutor(2 * NODES) as pool:
            pressed = list(pool.map(self.press, range(2 * NODES)))
        responses = [response for part in pressed for response in part]
        self.assertEqual({200, 503}, {r.status for r in responses})
        for target in targets:
            times = target.arrivals
            busiest = max(sum(a <= t < a + 1 for t in times) for a in times)
            self.assertLessEqual(busiest, MAX_IN_SECOND)
            self.assertGreater(len(times), 0.3 * COLD_RATE * PRESS_SECONDS)
            target.cold_until = 0.0
        refused = [r for r in responses if r.status == 503]
        self.assertEqual(
            {"not run"}, {r.json()["error"]["run"] for r in refused}
        )
        waits = {float(r.headers["Retry-After"]) for r in refused}
        self.assertGreater(min(waits), 0)
        self.assertGreater(len(waits), 5)
        _fleet.wait_for(
            lambda: {self.look(n % NODES).status for n in range(20)} == {200},
            "warm targets",
            timeout=20.0,
        )
