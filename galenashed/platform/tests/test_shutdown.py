"""Requests in progress and new ones while a node shuts down on SIGTERM."""

import contextlib
import http.client
import json
import select
import signal
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

GRACE_SECONDS = 8
# Longer than the grace period, so that no time limit ends a request.
TIME_LIMIT_SECONDS = 20.0
# The platform tolerates that the stop cuts a request only if it was sent no
# later than this after SIGTERM, and only in the last sixth of the grace
# period.
EXCUSED_SECONDS = 3.0
EXCUSED_SHARE = 5 / 6
LONG_SECONDS = 4.5
EVENTS = 10  # of a stream of a test target
STOPPING_NODE = 3


class Caller:
    """A caller that keeps its connection to the stopping node open."""

    def __init__(
        self, site, name, *, time_limit=TIME_LIMIT_SECONDS, delay=0.0
    ):
        self.name = name
        self.headers = {
            "Host": _site.HOST,
            "X-Attempt-Id": name,
            "X-Deadline-Ms": str(int(1000 * time_limit)),
            "Api-Key": _site.KEY,
            "X-Delay": str(delay),
        }
        self.conn = http.client.HTTPConnection(
            site.front_address(STOPPING_NODE), timeout=2 * GRACE_SECONDS
        )
        self.conn.connect()

    def use_connection(self):
        """Makes a first request, which leaves the connection open."""
        headers = {
            **self.headers,
            "X-Attempt-Id": f"{self.name}-first",
            "X-Delay": "0",
        }
        self.conn.request("GET", "/l/x", headers=headers)
        response = self.conn.getresponse()
        assert response.status == 200, response.status
        response.read()
        assert self.conn.sock is not None

    def send(self, path, body=b"x"):
        self.conn.request("POST", path, body=body, headers=self.headers)

    def send_half(self, path, size):
        """Sends a head that announces ``size`` bytes, and half of them."""
        self.conn.putrequest("POST", path, skip_host=True)
        for name, value in self.headers.items():
            self.conn.putheader(name, value)
        self.conn.putheader("Content-Length", str(size))
        self.conn.endheaders(b"x" * (size // 2))

    def send_rest(self, size):
        self.conn.send(b"x" * (size - size // 2))

    @property
    def has_response(self):
        """Whether bytes of a response have arrived that were not read."""
        return bool(select.select([self.conn.sock], [], [], 0)[0])

    def read_response(self):
        """Returns status, body and headers; None if it is incomplete."""
        try:
            response = self.conn.getresponse()
            return response.status, response.read(), response.headers
        except (http.client.HTTPException, ConnectionError):
            return None


class TestShutdown(testtools.TestCase):
    """SIGTERM to a node while callers keep sending on open connections."""

    def setUp(self):
        super().setUp()
        self.site = _site.Site(
            grace=GRACE_SECONDS, time_limit=TIME_LIMIT_SECONDS
        )
        self.addCleanup(self.site.close)
        self.site.__enter__()
        self.engine = self.site.add_target("engines")
        self.app = self.site.add_target("app")
        for path in ("/g/x", "/l/x"):
            _fleet.wait_for(
                lambda path=path: (
                    self.site.call(path, node=STOPPING_NODE).status == 200
                ),
                "the targets",
            )

    def start_request(self, caller, path):
        """Sends a request that lasts; returns once a target executes it."""
        caller.send(path)
        _fleet.wait_for(
            lambda: caller.name in self.executed_ids() or caller.has_response,
            f"{caller.name} to be executed",
        )
        if caller.name not in self.executed_ids():
            self.fail(f"{caller.name}: {caller.read_response()}")

    def stop_node(self):
        self.site.processes[STOPPING_NODE].signal(signal.SIGTERM)
        return time.monotonic()

    def wait_for_exit(self, stopped_at):
        process = self.site.processes[STOPPING_NODE]
        self.assertEqual(0, process.wait(2 * GRACE_SECONDS))
        self.assertLess(time.monotonic() - stopped_at, GRACE_SECONDS)

    def executed_ids(self):
        return {
            headers["x-attempt-id"]
            for target in (self.engine, self.app)
            for _, _, headers, _ in target.executions
        }

    def assert_answered_or_not_run(self, caller, response):
        """Fails if a request that a target executed was cut."""
        if caller.name in self.executed_ids():
            self.assertIsNotNone(response, caller.name)
            self.assertEqual(200, response[0], response)
        elif response is not None:
            status, body, headers = response
            self.assertEqual(503, status, response)
            self.assertEqual("not run", json.loads(body)["error"]["run"])
            self.assertLess(float(headers["Retry-After"]), 0.5)
            self.assertEqual("close", headers["Connection"])

    def test_request_that_cannot_finish_before_the_stop_is_not_run(self):
        long_call = Caller(self.site, "long-call", delay=LONG_SECONDS)
        long_stream = Caller(
            self.site, "long-stream", delay=LONG_SECONDS / EVENTS
        )
        half_read = Caller(self.site, "half-read", delay=LONG_SECONDS)
        short_call = Caller(self.site, "short-call", time_limit=2.0)
        callers = (long_call, long_stream, half_read, short_call)
        for caller in (long_call, long_stream, short_call):
            caller.use_connection()
        half_read.send_half("/o/x", size=10)
        stopped_at = self.stop_node()
        time.sleep(stopped_at + EXCUSED_SECONDS + 0.02 - time.monotonic())
        long_call.send("/o/x")
        long_stream.send("/n/x")
        half_read.send_rest(size=10)
        short_call.send("/o/x")
        responses = [caller.read_response() for caller in callers]
        for caller, response in zip(callers, responses, strict=True):
            self.assert_answered_or_not_run(caller, response)
        self.assertIn("short-call", self.executed_ids())
        self.wait_for_exit(stopped_at)

    def test_call_that_the_stop_cuts_is_answered(self):
        call = Caller(self.site, "call", delay=TIME_LIMIT_SECONDS)
        self.start_request(call, "/o/x")
        stopped_at = self.stop_node()
        status, body, _ = call.read_response()
        self.assertGreaterEqual(
            time.monotonic() - stopped_at, EXCUSED_SHARE * GRACE_SECONDS
        )
        self.assertEqual(502, status, body)
        self.assertEqual("unknown", json.loads(body)["error"]["run"])
        self.wait_for_exit(stopped_at)

    def test_stream_that_the_stop_cuts_is_billed(self):
        stream = Caller(self.site, "stream", delay=TIME_LIMIT_SECONDS / EVENTS)
        stream.headers["X-Token-Usage"] = "100,40"
        # The first grant may take longer than a request waits for tokens.
        _fleet.wait_for(
            lambda: (
                self.site.generate(node=STOPPING_NODE, tokens="1,1").status
                == 200
            ),
            "tokens",
        )
        self.start_request(stream, "/n/x")
        stopped_at = self.stop_node()
        self.assertIsNone(stream.read_response())
        self.wait_for_exit(stopped_at)
        _fleet.wait_for(
            lambda: self.settled_tokens() > 100,
            "the bill of the stream",
            timeout=2 * GRACE_SECONDS,
        )

    def test_heartbeat_is_not_acknowledged_while_the_node_closes(self):
        call = Caller(self.site, "call", delay=TIME_LIMIT_SECONDS)
        self.start_request(call, "/o/x")
        stopped_at = self.stop_node()
        acknowledged_at = 0.0
        while self.site.processes[STOPPING_NODE].popen.poll() is None:
            with contextlib.suppress(OSError):
                self.site.announce(self.app, STOPPING_NODE)
                acknowledged_at = time.time()
            time.sleep(0.005)
        self.wait_for_exit(stopped_at)
        log = self.site.processes[STOPPING_NODE].log.read_bytes()
        (cut_at,) = (
            json.loads(line)["at"]
            for line in log.splitlines()
            if b"instance_stopped" in line
        )
        # Nothing is spread to the other nodes after the gossip has ended.
        self.assertLess(acknowledged_at, cut_at)

    def settled_tokens(self):
        """Returns the tokens of all bills that control has settled."""
        return max(
            json.loads(line)["settled"]
            for process in self.site.processes
            for line in process.log.read_bytes().splitlines()
            if b'"budgets"' in line
        )
