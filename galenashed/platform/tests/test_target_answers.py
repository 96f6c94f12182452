"""What targets say in their answers about requests to come."""

import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

NODES = 4
# The time that rules allow between an answer and the last request.
DRAIN_SECONDS = 2.0
REJECTION_SECONDS = 0.5
PAUSE_SECONDS = 3.0


class TestTargetAnswers(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = _site.Site(nodes=NODES)
        self.site.__enter__()
        self.addCleanup(self.site.close)

    def add_targets(self, count):
        targets = [self.site.add_target("app", n) for n in range(count)]
        for node in range(NODES):
            _fleet.wait_for(
                lambda node=node: self.reaches_all(targets, node), "targets"
            )
        return targets

    def reaches_all(self, targets, node):
        for target in targets:
            target.executions.clear()
        statuses = {self.look(node).status for _ in range(20)}
        return statuses == {200} and all(t.executions for t in targets)

    def look(self, node):
        return self.site.call("/l/x", node=node, method="GET", body=b"")

    def press(self, seconds):
        until = time.monotonic() + seconds
        responses = []
        while time.monotonic() < until:
            for node in range(NODES):
                responses.append(self.look(node))
            time.sleep(0.02)
        return responses

    def test_target_that_says_it_leaves_gets_no_more_requests(self):
        leaving, other = self.add_targets(2)
        leaving.says_leaving = True
        self.press(DRAIN_SECONDS)
        leaving.arrivals.clear()
        other.arrivals.clear()
        responses = self.press(2.0)
        self.assertEqual({200}, {r.status for r in responses})
        self.assertEqual([], leaving.arrivals)
        self.assertEqual(len(responses), len(other.arrivals))

    def test_target_that_names_a_time_gets_nothing_for_so_long(self):
        (only,) = self.add_targets(1)
        only.reject = True
        only.retry_after = PAUSE_SECONDS
        only.arrivals.clear()
        responses = self.press(PAUSE_SECONDS - 0.5)
        first = only.arrivals[0]
        late = [at for at in only.arrivals if at > first + REJECTION_SECONDS]
        self.assertLessEqual(len(late), 2)
        self.assertEqual({503}, {r.status for r in responses})
        first_wait = float(responses[0].headers["Retry-After"])
        self.assertGreaterEqual(first_wait, PAUSE_SECONDS)
        only.reject = False
        _fleet.wait_for(
            lambda: {self.look(n).status for n in range(NODES)} == {200},
            "all nodes",
            timeout=PAUSE_SECONDS + 2.0,
        )
