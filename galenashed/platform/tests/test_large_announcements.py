"""Programs whose reports no message between nodes can carry.

Guards against announcements that one node keeps and can't pass on, so that the
others do not hear of targets that leave either.
"""

import threading
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

NODES = 4
PROGRAMS = 12
# The time that rules allow between a report and the last request.
DRAIN_SECONDS = 2.0
SECONDS = 6.0


class TestLargeNumbers(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = _site.Site(nodes=NODES)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.targets = [self.site.add_target("app") for _ in range(2)]
        for node in range(NODES):
            _fleet.wait_for(
                lambda node=node: self.reaches_all(node), "targets"
            )

    def reaches_all(self, node):
        for target in self.targets:
            target.executions.clear()
        statuses = {self.look(node) for _ in range(20)}
        return statuses == {200} and all(t.executions for t in self.targets)

    def look(self, node):
        return self.site.call("/l/x", node=node, method="GET", body=b"").status

    def report_large_numbers(self):
        """Returns the statuses of one report of each program."""
        return {
            _fleet.fetch(
                self.site.control_address(0),
                f"/Instances.Heartbeat/large-{number}",
                method="POST",
                body={
                    **self.targets[0].next_heartbeat(),
                    "service": "other",
                    "address": f"127.0.0.1:{1000 + number}",
                    "seq": 2**127 + time.monotonic_ns(),
                    "born": int(time.time() * 1000),
                },
                key="",
            ).status
            for number in range(PROGRAMS)
        }

    def test_target_that_leaves_gets_no_late_requests(self):
        statuses = set()
        stopping = threading.Event()

        def report():
            while not stopping.wait(0.3):
                statuses.update(self.report_large_numbers())

        reporter = threading.Thread(target=report)
        reporter.start()
        self.addCleanup(reporter.join)
        self.addCleanup(stopping.set)
        time.sleep(1.0)
        leaving = self.targets[0]
        leaving.state = "draining"
        self.site.announce(leaving)
        acknowledged = time.monotonic()
        while time.monotonic() < acknowledged + SECONDS:
            for node in range(NODES):
                self.assertEqual(200, self.look(node))
        late = [
            at for at in leaving.arrivals if at > acknowledged + DRAIN_SECONDS
        ]
        self.assertEqual([], late)
        self.assertEqual({400}, statuses)
