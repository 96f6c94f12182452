"""Targets that start cold behind several nodes.

Guards against nodes that together overload a cold target, and against cold
targets that get nothing.
"""

import threading
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

    def __init__(self, *, cold_until=0.0, **options):
        super().__init__(**options)
        self.cold_until = cold_until

    def next_heartbeat(self):
        left = max(0.0, self.cold_until - time.time())
        return {**super().next_heartbeat(), "coldLeftMs": 1000.0 * left}


class TestColdTargets(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = _site.Site(nodes=NODES)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        services = [
            {"name": "engines"},
            {"name": "app", "coldS": 3.0, "coldPerS": COLD_RATE},
        ]
        status = self.site.put_configuration(services=services)
        self.assertEqual(200, status)

    def look(self, node):
        return self.site.call("/l/x", node=node, method="GET", body=b"")

    def press(self, seconds):
        until = time.monotonic() + seconds
        responses = []

        def send(node):
            while time.monotonic() < until:
                responses.append(self.look(node))
                time.sleep(0.02)

        threads = [
            threading.Thread(target=send, args=(node,))
            for node in range(NODES)
            for _ in range(2)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return responses

    def test_all_targets_start_cold(self):
        targets = [
            self.site.add_target(
                "app",
                number % NODES,
                Target,
                cold_until=time.time() + 600.0,
            )
            for number in range(2)
        ]
        time.sleep(SETTLED_SECONDS)
        for target in targets:
            target.arrivals.clear()
        responses = self.press(PRESS_SECONDS)
        self.assertEqual({200, 503}, {r.status for r in responses})
        for target in targets:
            times = sorted(target.arrivals)
            busiest = max(
                sum(at <= t < at + 1.0 for t in times) for at in times
            )
            self.assertLessEqual(busiest, MAX_IN_SECOND)
            self.assertGreater(len(times), 0.3 * COLD_RATE * PRESS_SECONDS)
        refused = [r for r in responses if r.status == 503]
        for response in refused:
            self.assertEqual("not run", response.json()["error"]["run"])
            self.assertGreater(float(response.headers["Retry-After"]), 0)
        waits = {r.headers["Retry-After"] for r in refused}
        self.assertGreater(len(waits), 5)
        for target in targets:
            target.cold_until = 0.0
        _fleet.wait_for(self.all_are_served, "warm targets", timeout=20.0)

    def all_are_served(self):
        statuses = {self.look(n).status for n in range(NODES) for _ in "12345"}
        return statuses == {200}
