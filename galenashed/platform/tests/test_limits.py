"""Targets that name a limit of requests a second for all nodes together."""

import threading
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

NODES = 4
# A limit holds for any span of this length, from a time on after it was named.
SPAN_SECONDS = 4.0
CONTACT_SECONDS = 3.0
LOAD_SECONDS = 9.0
CALLERS_PER_NODE = 2


def allowed(limit):
    """Returns the requests that a target may get in a span."""
    return 1.5 * limit * SPAN_SECONDS + 5


def busiest_span(arrivals, since):
    """Returns the most arrivals in any span that begins after a time."""
    times = [at for at in arrivals if at >= since]
    return max(
        (
            sum(start <= at < start + SPAN_SECONDS for at in times)
            for start in times
        ),
        default=0,
    )


class TestLimitedTargets(testtools.TestCase):
    """Callers of all nodes press on targets that name a limit."""

    def setUp(self):
        super().setUp()
        self.site = _site.Site(nodes=NODES)
        self.site.__enter__()
        self.addCleanup(self.site.close)

    def add_targets(self, count):
        targets = [
            self.site.add_target("app", n % NODES) for n in range(count)
        ]
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
        """Returns the responses to callers that send as fast as they can."""
        until = time.monotonic() + seconds
        responses = []

        def send(node):
            while time.monotonic() < until:
                started = time.monotonic()
                response = self.look(node)
                elapsed = time.monotonic() - started
                responses.append((started, elapsed, response))
                time.sleep(0.05)

        threads = [
            threading.Thread(target=send, args=(node,))
            for node in range(NODES)
            for _ in range(CALLERS_PER_NODE)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return responses

    def test_limit_holds_for_all_nodes_together(self):
        limited, other = self.add_targets(2)
        limited.limit = 1.5
        started = time.monotonic()
        responses = self.press(LOAD_SECONDS)
        self.assertEqual({200}, {r.status for _, _, r in responses})
        since = started + CONTACT_SECONDS
        busiest = busiest_span(limited.arrivals, since)
        self.assertLessEqual(busiest, allowed(limited.limit))
        # The target is still used, and the other one takes the rest.
        self.assertGreaterEqual(busiest, limited.limit * SPAN_SECONDS / 2)
        self.assertGreater(busiest_span(other.arrivals, since), 50)

    def test_requests_beyond_every_limit_are_refused_at_once(self):
        (limited,) = self.add_targets(1)
        limited.limit = 2.0
        started = time.monotonic()
        responses = self.press(LOAD_SECONDS)
        since = started + CONTACT_SECONDS
        self.assertLessEqual(
            busiest_span(limited.arrivals, since), allowed(limited.limit)
        )
        self.assertEqual({200, 503}, {r.status for _, _, r in responses})
        for sent_at, elapsed, response in responses:
            if sent_at > since and response.status == 503:
                self.assertLess(elapsed, 1.0)
                self.assertEqual("not run", response.json()["error"]["run"])
                self.assertGreater(float(response.headers["Retry-After"]), 0)

    def test_rejections_without_a_limit_do_not_end_it(self):
        limited, _ = self.add_targets(2)
        limited.limit = 1.0
        limited.rejects_without_limit = True
        started = time.monotonic()
        self.press(LOAD_SECONDS)
        self.assertLessEqual(
            busiest_span(limited.arrivals, started + CONTACT_SECONDS),
            allowed(limited.limit),
        )

    def test_limit_that_is_no_longer_named_ends(self):
        (limited,) = self.add_targets(1)
        limited.limit = 1.0
        self.press(4.0)
        limited.limit = None
        _fleet.wait_for(self.all_nodes_are_served, "all nodes", timeout=20.0)

    def all_nodes_are_served(self):
        statuses = [
            self.look(n).status for n in range(NODES) for _ in range(5)
        ]
        return set(statuses) == {200}
