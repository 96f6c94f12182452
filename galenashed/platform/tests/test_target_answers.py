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


class LeftoverTarget(_site.Target):
    """Leaves ``leftover`` for the next request on a connection.

    It is sent once that request has arrived, before its own response.
    """

    leftover = b""

    def __init__(self, **options):
        super().__init__(**options)
        self.waiting = set()
        self.leftover_count = 0

    async def run(self, writer, headers, body):
        if writer in self.waiting:
            self.waiting.discard(writer)
            self.leftover_count += 1
            writer.write(self.leftover)
        elif self.leftover and headers.get("x-leave"):
            self.waiting.add(writer)
        return await super().run(writer, headers, body)


class TestLeftovers(testtools.TestCase):
    """Additional bytes of a target look like the answer to the next request.

    Guards against callers that get them as their own answer.
    """

    REQUESTS = 20

    def setUp(self):
        super().setUp()
        self.site = _site.Site(nodes=3)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.faulty = self.site.add_target("app", target_class=LeftoverTarget)
        _fleet.wait_for(lambda: self.look().status == 200, "an answer")

    def look(self, **headers):
        return self.site.call("/l/x", method="GET", body=b"", **headers)

    def check(self, leftover):
        self.faulty.leftover = leftover
        self.site.add_target("app")
        for _ in range(self.REQUESTS):
            self.look(X_Leave="1")
            response = self.look()
            self.assertEqual(200, response.status)
            self.assertEqual(b"ran:", response.body)
            self.assertIn("X-Instance-Seal", response.headers)
        self.assertGreater(self.faulty.leftover_count, 0)

    def test_success_without_an_id(self):
        self.check(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
            b"Content-Length: 5\r\n\r\nother"
        )

    def test_rejection_without_an_id(self):
        """It would tell the caller that a request has not run, which has."""
        rejection = (
            b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        self.faulty.leftover = rejection
        for number in range(self.REQUESTS):
            self.look(X_Leave="1")
            attempt = f"later-{number}"
            response = self.look(X_Attempt_Id=attempt)
            ran = [
                headers["x-attempt-id"]
                for _, _, headers, _ in self.faulty.executions
            ]
            if response.status in (429, 503):
                self.assertNotIn(attempt, ran)
        self.assertGreater(self.faulty.leftover_count, 0)
