"""End-to-end tests of the adapter, with nodes in processes of their own."""

import http.client
import pathlib
import re
import signal
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

EVENT_IDS = [str(n) for n in range(1, 11)]
# Half of the time limit of the routes.
PROMPT_SECONDS = 1.5
ENDLESS_HEADER = b"x-long: %s\r\n" % (b"y" * 1000)
# A chunk with a line of an event, but not the event's end.
ENDLESS_LINE = b"3ef\r\ndata: %s\n\r\n" % (b"x" * 1000)


def event_ids(body):
    return re.findall(rb"id: (\d+)", body)


class TestSiteWithoutFaults(testtools.TestCase):
    """Tests that share one site, since starting one takes seconds."""

    prompts = 0

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.site = _site.Site()
        cls.site.__enter__()
        cls.engines = [cls.site.add_target("engines", node=n) for n in (0, 3)]
        cls.apps = [cls.site.add_target("app", node=n) for n in (1, 2)]
        for node in range(4):
            _fleet.wait_for(
                lambda node=node: cls.is_node_serving(node), "all targets"
            )

    @classmethod
    def tearDownClass(cls):
        cls.site.close()
        super().tearDownClass()

    @classmethod
    def is_node_serving(cls, node):
        response = cls.site.call("/l/x", node=node, method="GET", body=None)
        stream_response = cls.site.generate(node=node)
        return response.status == 200 and stream_response.status == 200

    def setUp(self):
        super().setUp()
        for target in (*self.engines, *self.apps):
            target.executions.clear()
            target.break_after = None
            target.closes_inside_event = False
            target.reject = False
            target.delay = 0.0
            target.cancelled_streams = 0
            target.endless_start = b""
            target.endless = b""
            target.endless_sent_bytes = 0
            target.endless_closed = 0

    def executions(self, targets):
        return [run for target in targets for run in target.executions]

    def place_prompt(self):
        """Returns the only engine that has a new prompt cached, and that.

        Requests with the prompt are sent there again.
        """
        # An engine that failed in other tests gets no requests for a time.
        _fleet.wait_for(self.has_run_on_all_engines, "both engines")
        for target in self.engines:
            target.executions.clear()
        prompt = self.send_new_prompt()
        (engine,) = [t for t in self.engines if t.executions]
        return engine, prompt

    def send_new_prompt(self):
        type(self).prompts += 1
        prompt = f"a{self.prompts}:60,b{self.prompts}:30,cc:10"
        self.assertEqual(200, self.site.generate(X_Prefix_Hash=prompt).status)
        return prompt

    def has_run_on_all_engines(self):
        self.send_new_prompt()
        return all(target.executions for target in self.engines)

    def test_request_reaches_a_target_unchanged(self):
        response = self.site.call(
            "/o/a%20b/c?q=1&r=%2F", node=3, body=b"order", X_Own="kept"
        )
        self.assertEqual(200, response.status)
        self.assertEqual(b"ran:order", response.body)
        self.assertIn("seal-of-", response.headers["X-Instance-Seal"])
        ((method, path, headers, body),) = self.executions(self.apps)
        self.assertEqual("POST", method)
        self.assertEqual("/o/a%20b/c?q=1&r=%2F", path)
        self.assertEqual(b"order", body)
        self.assertEqual("kept", headers["x-own"])
        self.assertEqual("rounds", headers["x-tenant"])
        self.assertNotIn("api-key", headers)
        self.assertLessEqual(int(headers["x-deadline-ms"]), 3000)

    def test_reserved_headers_of_callers_are_not_forwarded(self):
        self.site.generate(
            X_Tenant="other", X_Kv_Hold="h", X_Pin_Ms="1", Kv_From="1.2.3.4:1"
        )
        ((_, _, headers, _),) = self.executions(self.engines)
        self.assertEqual("rounds", headers["x-tenant"])
        for name in ("x-kv-hold", "x-pin-ms", "kv-from"):
            self.assertNotIn(name, headers)

    def test_stream_is_complete(self):
        response = self.site.generate(node=2)
        self.assertEqual(200, response.status)
        self.assertEqual(
            EVENT_IDS, [n.decode() for n in event_ids(response.body)]
        )

    def test_broken_stream_resumes_at_another_target(self):
        first, prompt = self.place_prompt()
        first.break_after = 4
        response = self.site.generate(X_Prefix_Hash=prompt)
        self.assertEqual(
            EVENT_IDS, [n.decode() for n in event_ids(response.body)]
        )
        self.assertIn(first.id, response.headers["X-Instance-Seal"])
        (other,) = [t for t in self.engines if t is not first]
        self.assertEqual("4", other.executions[0][2]["last-event-id"])

    def test_broken_stream_that_is_not_resumable_is_aborted(self):
        for target in self.engines:
            target.break_after = 4
        self.assertRaises(
            http.client.IncompleteRead, self.site.generate, "/n/x"
        )
        self.assertEqual(1, len(self.executions(self.engines)))

    def test_stream_closed_inside_an_event_resumes_at_another_target(self):
        first, prompt = self.place_prompt()
        first.break_after = 4
        first.closes_inside_event = True
        response = self.site.generate(X_Prefix_Hash=prompt)
        self.assertEqual(
            EVENT_IDS, [n.decode() for n in event_ids(response.body)]
        )
        (other,) = [t for t in self.engines if t is not first]
        self.assertEqual("4", other.executions[0][2]["last-event-id"])

    def test_stream_closed_inside_an_event_is_aborted(self):
        for target in self.engines:
            target.break_after = 4
            target.closes_inside_event = True
        self.assertRaises(
            http.client.IncompleteRead, self.site.generate, "/n/x"
        )
        self.assertEqual(1, len(self.executions(self.engines)))

    def check_disconnected(self, targets, peak_bytes):
        """Checks that nodes closed the connections and kept few bytes."""
        runs = len(self.executions(targets))
        _fleet.wait_for(
            lambda: sum(target.endless_closed for target in targets) == runs,
            "the connections to close",
            timeout=PROMPT_SECONDS,
        )
        sent = sum(target.endless_sent_bytes for target in targets)
        self.assertLess(sent, runs * _site.ENDLESS_BYTES / 4)
        for node, before in enumerate(peak_bytes):
            growth = self.peak_memory_bytes(node) - before
            self.assertLess(growth, _site.ENDLESS_BYTES / 2)

    def peak_memory_bytes(self, node):
        pid = self.site.processes[node].popen.pid
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        return 1024 * int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])

    def peaks(self):
        return [self.peak_memory_bytes(node) for node in range(4)]

    def check_unanswered(self, start, endless):
        peaks = self.peaks()
        for target in self.apps:
            target.endless_start = start
            target.endless = endless
        started = time.monotonic()
        response = self.site.call("/o/x", node=1)
        self.assertEqual(502, response.status)
        self.assertLess(time.monotonic() - started, PROMPT_SECONDS)
        self.assertEqual(1, len(self.executions(self.apps)))
        self.check_disconnected(self.apps, peaks)

    def test_head_without_end_is_no_answer(self):
        self.check_unanswered(b"HTTP/1.1 200 OK\r\n", ENDLESS_HEADER)

    def test_interim_responses_without_end_are_no_answer(self):
        self.check_unanswered(b"", b"HTTP/1.1 102 Processing\r\n\r\n")

    def test_switched_protocol_without_end_is_no_answer(self):
        self.check_unanswered(
            b"HTTP/1.1 101 Switching Protocols\r\nupgrade: other\r\n"
            b"connection: upgrade\r\n\r\n",
            b"other protocol",
        )

    def test_garbage_without_end_is_no_answer(self):
        self.check_unanswered(b"", b"\x00\x01garbage")

    def test_head_without_end_is_repeated_at_another_target(self):
        peaks = self.peaks()
        bad, other = self.apps
        bad.endless_start = b"HTTP/1.1 200 OK\r\n"
        bad.endless = ENDLESS_HEADER
        for _ in range(6):
            started = time.monotonic()
            response = self.site.call("/l/x", method="GET", body=None)
            self.assertEqual(200, response.status)
            self.assertLess(time.monotonic() - started, PROMPT_SECONDS)
        self.assertEqual(6, len(other.executions))
        self.check_disconnected([bad], peaks)

    def test_event_without_end_is_resumed_at_another_target(self):
        first, prompt = self.place_prompt()
        first.executions.clear()
        first.endless = ENDLESS_LINE
        peaks = self.peaks()
        started = time.monotonic()
        response = self.site.generate(X_Prefix_Hash=prompt)
        self.assertLess(time.monotonic() - started, PROMPT_SECONDS)
        self.assertEqual(
            EVENT_IDS, [n.decode() for n in event_ids(response.body)]
        )
        self.assertEqual(1, len(first.executions))
        self.check_disconnected([first], peaks)

    def test_event_without_end_aborts_a_stream_that_is_not_resumable(self):
        peaks = self.peaks()
        for target in self.engines:
            target.endless = ENDLESS_LINE
        started = time.monotonic()
        self.assertRaises(
            http.client.IncompleteRead, self.site.generate, "/n/x"
        )
        self.assertLess(time.monotonic() - started, PROMPT_SECONDS)
        self.assertEqual(1, len(self.executions(self.engines)))
        self.check_disconnected(self.engines, peaks)

    def test_rejected_request_is_retried_at_another_target_once(self):
        self.apps[0].reject = True
        for _ in range(6):
            response = self.site.call("/o/x")
            self.assertEqual(200, response.status)
        self.assertEqual(0, len(self.apps[0].executions))
        self.assertEqual(6, len(self.apps[1].executions))

    def test_rejection_by_all_targets_has_retry_after(self):
        for target in self.apps:
            target.reject = True
        response = self.site.call("/o/x")
        self.assertEqual(503, response.status)
        self.assertGreater(float(response.headers["Retry-After"]), 0.0)
        self.assertEqual([], self.executions(self.apps))

    def test_unknown_keys_and_routes(self):
        statuses = [
            self.site.call("/o/x", Api_Key="wrong").status,
            self.site.call("/o/x", Api_Key=None).status,
            self.site.call("/none/x").status,
            self.site.call("/o/x", Host="other.example").status,
        ]
        self.assertEqual([401, 401, 404, 404], statuses)
        self.assertEqual([], self.executions(self.apps))

    def test_malformed_requests_are_rejected(self):
        statuses = [
            self.site.call("/o/x", X_Attempt_Id=None).status,
            self.site.call("/o/x", X_Deadline_Ms="soon").status,
            self.site.generate(tokens="many").status,
            self.site.generate(X_Prefix_Hash="a:b").status,
            self.site.call("/o/x", body=b"x" * 2000).status,
            self.site.call("/o/x", X_Long="y" * 9000).status,
        ]
        self.assertEqual([400, 400, 400, 400, 413, 431], statuses)
        self.assertEqual([], self.executions([*self.apps, *self.engines]))

    def test_disconnect_of_caller_cancels_the_stream(self):
        for target in self.engines:
            target.delay = 0.2
        conn = http.client.HTTPConnection(
            self.site.front_address(1), timeout=5
        )
        conn.request(
            "POST",
            "/g/x",
            body=b"x",
            headers={
                "Host": _site.HOST,
                "X-Attempt-Id": "leaves",
                "X-Deadline-Ms": "3000",
                "Api-Key": _site.KEY,
            },
        )
        conn.getresponse().read(10)
        conn.close()
        _fleet.wait_for(
            lambda: sum(target.cancelled_streams for target in self.engines),
            "the stream to be cancelled",
            timeout=1.0,
        )

    def test_discovery_returns_entries_with_a_replica(self):
        expected = {
            self.site.front_address(n) for n in range(self.site.replicas)
        }
        for zone in ("east", "west"):
            self.assertEqual(expected, self.site.discover_entries(3, zone))
        response = _fleet.fetch(
            self.site.directory_address(0), "/resolve", key=""
        )
        self.assertLessEqual(response.json()["ttlS"], 4)

    def test_invalid_configuration_is_rejected_without_effect(self):
        site = self.site
        before = _fleet.fetch(
            site.control_address(1), "/Configuration.Read", key=""
        )
        valid = site.configuration()["routes"]
        unknown_service = [{**valid[0], "service": "none"}]
        no_timeout = [{**valid[0], "timeoutMs": 0}]
        duplicate_prefix = [
            valid[0],
            {**valid[1], "pathPrefix": valid[0]["pathPrefix"]},
        ]
        no_weight = {
            **valid[0],
            "service": None,
            "split": [{"service": "app", "weight": 0}],
        }
        for routes in (
            unknown_service,
            no_timeout,
            duplicate_prefix,
            [no_weight],
            "none",
        ):
            self.assertEqual(400, site.put_configuration(routes=routes))
        tenants_with_same_key = [
            {"name": n, "apiKeys": ["k"]} for n in ("a", "b")
        ]
        self.assertEqual(
            400, site.put_configuration(tenants=tenants_with_same_key)
        )
        after = _fleet.fetch(
            site.control_address(2), "/Configuration.Read", key=""
        )
        self.assertEqual(before.body, after.body)

    def test_older_configuration_is_accepted_without_effect(self):
        site = self.site
        before = _fleet.fetch(
            site.control_address(1), "/Configuration.Read", key=""
        )
        older = site.configuration(version=1, routes=[])
        response = _fleet.fetch(
            site.control_address(3),
            "/Configuration.Replace",
            method="POST",
            body=older,
            key="",
        )
        self.assertEqual(200, response.status)
        after = _fleet.fetch(
            site.control_address(0), "/Configuration.Read", key=""
        )
        self.assertEqual(before.body, after.body)

    def test_malformed_heartbeats_are_rejected(self):
        heartbeat = self.apps[0].next_heartbeat()
        malformed = [
            b"\xff",
            {**heartbeat, "seq": "5"},
            {**heartbeat, "state": "odd"},
            {**heartbeat, "address": "here"},
            {"service": "app"},
        ]
        for body in malformed:
            response = _fleet.fetch(
                self.site.control_address(0),
                "/Instances.Heartbeat/odd",
                method="POST",
                body=body,
                key="",
            )
            self.assertEqual(400, response.status)
        self.assertEqual(200, self.site.call("/o/x").status)


# The bound of the deployments for targets that leave.
DRAIN_SECONDS = 2.0


class TestSiteWithFaults(testtools.TestCase):
    """Failures of processes and disks, shutdown, and exhausted budgets."""

    def start(self, **options):
        site = _site.Site(**options)
        site.__enter__()
        self.addCleanup(site.close)
        return site

    def test_prepaid_total_is_not_exceeded_after_a_restart(self):
        site = self.start(prepaid=2_000)
        engine = site.add_target("engines")
        for node in range(4):
            _fleet.wait_for(
                lambda node=node: site.generate(node=node).status != 503,
                "the target",
            )
        for number in range(60):
            site.generate(node=number % 4)
            if number == 8:
                site.processes[3].kill()
                site.processes[3].start()
                site.wait_until_ready(3)
        used_tokens = sum(
            100 + 40 for run in engine.executions if run[1].startswith("/g/")
        )
        self.assertLessEqual(used_tokens, 2_000)
        status = site.generate(node=1).status
        self.assertIn(status, (402, 503))

    def test_configuration_survives_disk_loss(self):
        site = self.start()
        self.assertEqual(200, site.put_configuration(1))
        sent_version = site.version
        site.processes[0].kill()
        for path in site.data_folder(0).iterdir():
            path.unlink()
        site.write_settings(0, bootstrap=False)
        site.processes[0].start()
        site.wait_until_ready(0)
        # Once the new replica votes in place of the old one, a second node is
        # killed and loses its disk.
        _fleet.wait_for(
            lambda: b"promote" in self.read_logs(site), "the replica to vote"
        )
        site.processes[1].kill()
        for path in site.data_folder(1).iterdir():
            path.unlink()

        def read_configuration():
            try:
                response = _fleet.fetch(
                    site.control_address(3), "/Configuration.Read", key=""
                )
            except OSError:
                return None
            return response if response.status == 200 else None

        response = _fleet.wait_for(read_configuration, "the configuration")
        self.assertEqual(sent_version, response.json()["version"])

    def read_logs(self, site):
        return b"".join(p.log.read_bytes() for p in site.processes)

    def test_node_shutdown_completes_streams_and_leaves_discovery(self):
        site = self.start()
        engine = site.add_target("engines")
        _fleet.wait_for(
            lambda: site.generate(node=3).status == 200, "the target"
        )
        engine.delay = 0.25
        conn = http.client.HTTPConnection(site.front_address(3), timeout=10)
        conn.request(
            "POST",
            "/g/x",
            body=b"x",
            headers={
                "Host": _site.HOST,
                "X-Attempt-Id": "stays",
                "X-Deadline-Ms": "9000",
                "Api-Key": _site.KEY,
            },
        )
        started = time.monotonic()
        site.processes[3].signal(signal.SIGTERM)
        _fleet.wait_for(
            lambda: (
                site.try_fetch(site.readiness_address(3), "/readyz") != 200
            ),
            "the node not to be ready",
            timeout=2.0,
        )
        _fleet.wait_for(
            lambda: (
                site.front_address(3) not in site.discover_entries(1, "west")
            ),
            "discovery to omit the node",
            timeout=2.0,
        )
        self.assertEqual(
            EVENT_IDS,
            [n.decode() for n in event_ids(conn.getresponse().read())],
        )
        self.assertEqual(0, site.processes[3].wait(10))
        self.assertLess(time.monotonic() - started, 6.0)

    def test_sighup_reloads_settings_without_interruption(self):
        site = self.start()
        site.processes[0].signal(signal.SIGHUP)
        _fleet.wait_for(
            lambda: b"settings reloaded" in self.read_logs(site), "the reload"
        )
        self.assertEqual(
            200, site.try_fetch(site.readiness_address(0), "/readyz")
        )

    def test_sighup_during_the_start_does_not_end_the_process(self):
        site = self.start()
        process = site.processes[3]
        process.kill()
        process.start()
        maps = pathlib.Path(f"/proc/{process.popen.pid}/maps")
        _fleet.wait_for(
            lambda: "msgspec" in maps.read_text(), "the first imports"
        )
        process.signal(signal.SIGHUP)
        _fleet.wait_for(
            lambda: (
                process.popen.poll() is not None
                or site.try_fetch(site.readiness_address(3), "/readyz") == 200
            ),
            "the node to be ready or to end",
        )
        self.assertIsNone(process.popen.poll())

    def test_draining_target_gets_no_new_requests_from_any_node(self):
        site = self.start()
        leaving = site.add_target("app", node=0)
        staying = site.add_target("app", node=3)
        for node in range(4):
            _fleet.wait_for(
                lambda node=node: site.call("/o/x", node=node).status == 200,
                "a target",
            )
        leaving.state = "draining"
        site.announce(leaving, node=2)
        time.sleep(1.5)
        leaving.executions.clear()
        staying.executions.clear()
        for number in range(20):
            self.assertEqual(200, site.call("/o/x", node=number % 4).status)
        self.assertEqual(0, len(leaving.executions))

    def test_deregistered_target_gets_no_new_requests_from_any_node(self):
        # Guards against a deregistration that nodes take for older than the
        # reports of the target which they had themselves.
        site = self.start()
        site.add_target("app")
        leaving = site.add_target("app")
        site.targets.remove(leaving)
        for node in range(4):
            _fleet.wait_for(
                lambda node=node: site.call("/o/x", node=node).status == 200,
                "a target",
            )
        # Only the first report of several is spread at once.
        for node in (1, 1, 1, 2, 2, 2):
            site.announce(leaving, node)
        response = _fleet.fetch(
            site.control_address(0),
            f"/Instances.Deregister/{leaving.id}",
            method="POST",
            body={"born": leaving.born},
            key="",
        )
        self.assertEqual(200, response.status)
        acknowledged_at = time.monotonic()
        # A target that answers is in use for longer than its lease.
        while time.monotonic() < acknowledged_at + 2 * DRAIN_SECONDS:
            for node in range(4):
                site.call("/o/x", node=node)
        last_at = max(leaving.arrivals, default=0.0)
        self.assertLess(last_at, acknowledged_at + DRAIN_SECONDS)
