"""Nodes that lose their paths to all targets, while callers reach them."""

import http.client
import threading
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

NODES = 4
CUT_NODES = (2, 3)
# From this long after the beginning of a cut on, callers must not notice it.
CONTACT_SECONDS = 3.0
CUT_SECONDS = 8.0
# Bills of earlier requests reach control within this time.
SETTLE_SECONDS = 3.0
# At least this share of the first tries is served, of what other nodes serve.
MIN_SERVED_SHARE = 2 / 3


class Outcome:
    """What a caller saw of one request; ``status`` is 0 without a response."""

    def __init__(self, *, path, node, sent_at, status, seconds):
        self.path = path
        self.node = node
        self.sent_at = sent_at
        self.status = status
        self.seconds = seconds


class TestLostPaths(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = _site.Site(
            nodes=NODES,
            prepaid=10_000_000,
            module="galenashed.platform.tests._cut_node",
        )
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.targets = [
            self.site.add_target(service, n % NODES)
            for n, service in enumerate(["engines"] * 3 + ["app"] * 3)
        ]
        for target in self.targets:
            target.delay = 0.01
        for node in range(NODES):
            _fleet.wait_for(
                lambda node=node: self.reaches_all(node), "all targets"
            )

    def reaches_all(self, node):
        for target in self.targets:
            target.executions.clear()
        for _ in range(30):
            if {self.send(p, node).status for p in ("/g/x", "/l/x")} != {200}:
                return False
        return all(target.executions for target in self.targets)

    def send(self, path, node):
        started = time.monotonic()
        try:
            if path.startswith("/g/"):
                prompt = f"s{time.monotonic_ns()}:6,own:4"
                response = self.site.generate(
                    path, node=node, X_Prefix_Hash=prompt, tokens="10,40"
                )
            else:
                response = self.site.call(path, node=node)
            status = response.status
        except (OSError, http.client.HTTPException):
            status = 0
        return Outcome(
            path=path,
            node=node,
            sent_at=started,
            status=status,
            seconds=time.monotonic() - started,
        )

    def send_until(self, ends_at):
        """Sends requests to all nodes; returns their outcomes."""
        outcomes = []

        def run(path, node):
            while time.monotonic() < ends_at:
                outcomes.append(self.send(path, node))
                time.sleep(0.1)

        threads = [
            threading.Thread(target=run, args=(path, node))
            for path in ("/g/x", "/o/x", "/l/x")
            for node in range(NODES)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return outcomes

    def cut(self, how, nodes=CUT_NODES):
        for node in nodes:
            self.site.cut_file(node).write_text(how)

    def end_cut(self):
        for node in CUT_NODES:
            self.site.cut_file(node).unlink(missing_ok=True)

    def check(self, how):
        self.send_until(time.monotonic() + 1.0)
        began_at = time.monotonic()
        self.cut(how)
        outcomes = self.send_until(began_at + CUT_SECONDS)
        self.check_served(outcomes, began_at + CONTACT_SECONDS)
        named = self.site.discover_entries(0)
        self.end_cut()
        cut = {self.site.front_address(node) for node in CUT_NODES}
        self.assertFalse(named & cut)
        _fleet.wait_for(self.is_direct_again, "the paths to be used again")

    def check_served(self, outcomes, since):
        for path in ("/g/x", "/o/x", "/l/x"):
            served = [
                outcome.status == 200
                for outcome in outcomes
                if outcome.node in CUT_NODES
                and outcome.path == path
                and outcome.sent_at > since
            ]
            self.assertGreater(len(served), 0)
            self.assertGreaterEqual(
                sum(served), MIN_SERVED_SHARE * len(served), path
            )

    def is_direct_again(self):
        """Whether the cut nodes send requests to targets themselves."""
        for node in CUT_NODES:
            metrics = self.site.counter(node, "gateway.forwarded")
            self.send_until(time.monotonic() + 0.5)
            if self.site.counter(node, "gateway.forwarded") != metrics:
                return False
        return True

    def test_new_connections_are_refused(self):
        self.check("refuse")

    def test_connections_are_reset(self):
        self.check("reset")

    def test_connections_are_silent(self):
        self.check("silence")

    def test_each_request_runs_once_and_is_billed_once(self):
        self.cut("refuse")
        self.send_until(time.monotonic() + CONTACT_SECONDS)
        time.sleep(SETTLE_SECONDS)
        before = self.site.balance().settled
        for target in self.targets:
            target.executions.clear()
        outcomes = [
            self.send(path, node)
            for path in ("/g/x", "/o/x")
            for node in CUT_NODES
            for _ in range(5)
        ]
        self.assertEqual({200}, {outcome.status for outcome in outcomes})
        runs = [run for t in self.targets for run in t.executions]
        self.assertEqual(len(outcomes), len(runs))
        for _, _, headers, _ in runs:
            self.assertEqual(_site.TEAM, headers["x-tenant"])
            self.assertNotIn("api-key", headers)
            self.assertLessEqual(int(headers["x-deadline-ms"]), 3000)
        billed = 10 * (10 + 40)
        _fleet.wait_for(
            lambda: self.site.balance().settled - before == billed,
            "the bills",
        )

    def test_stream_that_is_repeated_by_a_peer_is_billed_once(self):
        node = CUT_NODES[0]
        routes = self.site.configuration()["routes"]
        routes[0]["maxAttempts"] = 5
        self.assertEqual(200, self.site.put_configuration(routes=routes))
        time.sleep(SETTLE_SECONDS)
        before = self.site.balance().settled
        streams = 10
        for _ in range(streams):
            self.assertEqual(200, self.send("/g/x", node).status)
        # The connections that the node has kept are reset under the request.
        self.cut("reset", nodes=[node])
        self.assertEqual(200, self.send("/g/x", node).status)
        time.sleep(SETTLE_SECONDS)
        self.assertEqual(
            before + (streams + 1) * (10 + 40), self.site.balance().settled
        )

    def test_service_without_targets_is_refused_at_once(self):
        self.cut("refuse", nodes=range(NODES))
        self.send_until(time.monotonic() + CONTACT_SECONDS)
        for path in ("/g/x", "/o/x", "/l/x"):
            for node in range(NODES):
                outcome = self.send(path, node)
                self.assertEqual(503, outcome.status)
                self.assertLess(outcome.seconds, 1.0)
        for node in range(NODES):
            self.site.cut_file(node).unlink()

    def test_leaving_caller_ends_the_run_that_a_peer_sent(self):
        self.cut("refuse")
        self.send_until(time.monotonic() + CONTACT_SECONDS)
        for target in self.targets:
            target.delay = 0.9
            target.cancelled_streams = 0
        with self.assertRaises(TimeoutError):
            self.site.generate(
                "/g/x",
                node=CUT_NODES[0],
                tokens="10,40",
                X_Prefix_Hash="leaving:6,own:4",
                timeout=0.7,
            )
        _fleet.wait_for(
            lambda: sum(t.cancelled_streams for t in self.targets),
            "the run to end",
            timeout=2.0,
        )
