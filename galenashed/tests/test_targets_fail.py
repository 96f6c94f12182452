"""Requests while targets crash, hang, stop or respond late."""

import signal
import time

import testtools

from galenashed.standins import _engine
from galenashed.tests import _fleet


def find_serving_engine(fleet) -> str:
    """Waits for an engine to run a request and returns its name."""

    def find():
        for name in fleet.engine_names:
            exited = fleet.processes[name].popen.poll() is not None
            if not exited and fleet.stats(name)["running"]:
                return name
        return ""

    return _fleet.wait_for(find, "a running request")


class TestEngineVersions(testtools.TestCase):
    """Engines of two software versions, which name it in their words."""

    def break_stream(self, *versions):
        """Returns a stream whose engine is killed after some tokens."""
        fleet = _fleet.Fleet(
            entries=1,
            engines=len(versions),
            services=0,
            engine_args=("--token-seconds", "0.03"),
            engine_versions=versions,
        )
        self.addCleanup(fleet.close)
        fleet.start()
        stream = _fleet.Stream(fleet.addresses["e1"], "digest")
        stream.read(5)
        fleet.processes[find_serving_engine(fleet)].kill()
        stream.read()
        self.assertEqual(1, len({word[6:] for word in stream.words}))
        return stream

    def test_stream_does_not_go_on_at_another_version(self):
        self.assertFalse(self.break_stream("v1", "v2").finished)

    def test_stream_goes_on_at_the_version_that_began_it(self):
        self.assertTrue(self.break_stream("v1", "v1", "v2", "v2").finished)


class TestEnginesFail(testtools.TestCase):
    """Model requests; each test starts with four running engines."""

    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(
            entries=2,
            engines=4,
            services=0,
            engine_args=("--token-seconds", "0.03"),
        )
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def test_stream_resumes_at_the_exact_token(self):
        expected = _fleet.Stream(self.fleet.addresses["e1"], "digest").read()
        stream = _fleet.Stream(self.fleet.addresses["e1"], "digest")
        stream.read(5)
        self.fleet.processes[find_serving_engine(self.fleet)].kill()
        stream.read()
        self.assertTrue(stream.finished)
        self.assertEqual(expected.words, stream.words)
        path = f"/v1/bills/{stream.request_id}"
        bill = _fleet.fetch(self.fleet.addresses["e1"], path).json()
        self.assertEqual(32, bill["output_tokens"])
        balance = self.fleet.balance()
        self.assertEqual(2 * bill["billed_tokens"], balance["settled"])

    def test_stream_of_a_frozen_engine_resumes_on_another(self):
        expected = _fleet.Stream(self.fleet.addresses["e1"], "freeze").read()
        stream = _fleet.Stream(self.fleet.addresses["e1"], "freeze")
        stream.read(5)
        name = find_serving_engine(self.fleet)
        self.fleet.processes[name].signal(signal.SIGSTOP)
        stream.read()
        self.assertTrue(stream.finished)
        self.assertEqual(expected.words, stream.words)
        self.fleet.processes[name].signal(signal.SIGCONT)

    def test_crashing_request_stops_at_most_two_engines(self):
        crashing_prompt = f"please {_engine.CRASH_MARKER}"
        first = self.fleet.ask("e1", crashing_prompt)
        self.assertEqual(422, first.status)
        self.assertEqual("run", first.json()["error"]["run"])
        # The same prompt under new keys, also through the other entry.
        for entry in ("e1", "e2", "e2"):
            repeated = self.fleet.ask(
                entry,
                crashing_prompt,
                headers={"Idempotency-Key": f"new-{entry}"},
            )
            self.assertEqual(422, repeated.status)
            self.assertEqual("not run", repeated.json()["error"]["run"])
        exited = [
            name
            for name in self.fleet.engine_names
            if self.fleet.processes[name].popen.poll() is not None
        ]
        self.assertEqual(2, len(exited))
        self.assertEqual(200, self.fleet.ask("e1", "innocent").status)
        self.assertEqual(0, self.tokens_billed_for(crashing_prompt))

    def test_requests_with_a_crashing_message_stop_three_engines(self):
        message = {"role": "system", "content": _engine.CRASH_MARKER}
        statuses = []
        for number in range(4):
            question = {"role": "user", "content": f"question {number}"}
            response = self.fleet.ask(
                ("e1", "e2")[number % 2], messages=[message, question]
            )
            statuses.append(response.status)
            # Crashes within a second may have another cause in common.
            time.sleep(1.0)
        self.assertEqual(3, len(self.exited_engines()))
        self.assertEqual([422] * 4, statuses)
        question = {"role": "user", "content": "question"}
        other = {"role": "system", "content": "be brief"}
        response = self.fleet.ask("e2", messages=[other, question])
        self.assertEqual(200, response.status)

    def test_message_that_crashes_engines_after_some_events(self):
        """Guards against events that are taken as proof of a message."""
        marker = _engine.LATE_CRASH_MARKER
        message = {"role": "system", "content": marker}
        for number in range(4):
            question = {"role": "user", "content": f"question {number}"}
            response = self.fleet.ask(
                ("e1", "e2")[number % 2],
                messages=[message, question],
                stream=True,
            )
            time.sleep(1.0)
        self.assertLessEqual(len(self.exited_engines()), 3)
        self.assertEqual(422, response.status)
        other = {"role": "system", "content": "be brief"}
        question = {"role": "user", "content": "question"}
        response = self.fleet.ask("e2", messages=[other, question])
        self.assertEqual(200, response.status)

    def exited_engines(self) -> list[str]:
        return [
            name
            for name in self.fleet.engine_names
            if self.fleet.processes[name].popen.poll() is not None
        ]

    def test_crashing_request_stops_two_engines_with_delayed_control(self):
        # e2 acquires tokens before its links to control are delayed.
        self.assertEqual(200, self.fleet.ask("e2", "innocent").status)
        for name in self.fleet.control_names:
            self.fleet.control_links[("e2", name)].delay = 0.3
        crashing_prompt = f"late {_engine.CRASH_MARKER}"
        self.wait_quarantined("e1", crashing_prompt)
        repeated = self.wait_quarantined("e2", crashing_prompt)
        self.assertEqual("not run", repeated.json()["error"]["run"])
        self.assertEqual(2, self.count_exited())

    def followed_replica(self, entry: str) -> str:
        """Returns the control replica whose feed an entry follows."""

        def find():
            statuses = self.fleet.ask_control(
                lambda client: client.statuses(timeout=1.0)
            )
            for name, status in statuses.items():
                for follower in status.followers if status else []:
                    if follower.name == entry and follower.connected:
                        return name
            return ""

        return _fleet.wait_for(find, f"{entry} to follow a replica")

    def test_crashing_request_stops_two_engines_with_a_silent_replica(self):
        # e2 acquires tokens before its links to control fail.
        self.assertEqual(200, self.fleet.ask("e2", "innocent").status)
        self.fleet.wait_peers("e1")
        link = self.fleet.control_links[("e1", self.followed_replica("e2"))]
        link.forward = link.backward = "drop"
        for name in self.fleet.control_names:
            self.fleet.control_links[("e2", name)].backward = "hold"
        crashing_prompt = f"silent {_engine.CRASH_MARKER}"
        # e2 does not learn of a crash meanwhile.
        self.fleet.ask("e1", crashing_prompt)
        self.fleet.ask("e2", crashing_prompt)
        link.heal()
        for name in self.fleet.control_names:
            self.fleet.control_links[("e2", name)].heal()
        for entry in ("e1", "e2"):
            self.wait_quarantined(entry, crashing_prompt)
        self.assertEqual(2, self.count_exited())

    def wait_quarantined(self, entry: str, prompt: str) -> _fleet.Response:
        """Repeats a request until it is refused as quarantined.

        Until then the entry may answer that control or the knowledge of the
        other entries can't be confirmed in time.
        """

        def find_refusal():
            response = self.fleet.ask(entry, prompt)
            if response.status == 503:
                return None
            self.assertEqual(422, response.status)
            return response

        return _fleet.wait_for(find_refusal, f"{entry} to refuse a request")

    def count_exited(self) -> int:
        """Returns how many engines have exited."""
        return sum(
            self.fleet.processes[name].popen.poll() is not None
            for name in self.fleet.engine_names
        )

    def tokens_billed_for(self, text):
        """Returns the settled tokens beyond one unrelated request."""
        settled = self.fleet.balance()["settled"]
        usage = self.fleet.ask("e2", "innocent").json()["usage"]
        return max(0, settled - usage["total_tokens"])

    def test_unrelated_requests_survive_a_crash(self):
        streams = [
            _fleet.Stream(self.fleet.addresses["e1"], f"innocent {n}")
            for n in range(8)
        ]
        for stream in streams:
            stream.read(3)
        crashing_prompt = f"please {_engine.CRASH_MARKER}"
        self.assertEqual(422, self.fleet.ask("e1", crashing_prompt).status)
        for stream in streams:
            stream.read()
            self.assertTrue(stream.finished)
            self.assertEqual(32, len(stream.words))
        repeated = self.fleet.ask("e2", "innocent 1")
        self.assertEqual(200, repeated.status)

    def test_stopping_engine_finishes_streams_and_gets_no_requests(self):
        stream = _fleet.Stream(self.fleet.addresses["e1"], "leaving")
        stream.read(2)
        name = find_serving_engine(self.fleet)
        self.fleet.processes[name].signal(signal.SIGTERM)
        time.sleep(3.0)
        before = self.executions(name)
        responses = _fleet.run_in_threads(
            16, lambda n: self.fleet.ask(f"e{n % 2 + 1}", f"after {n}")
        )
        self.assertEqual([200] * 16, [r.status for r in responses])
        self.assertEqual(before, self.executions(name))
        stream.read()
        self.assertTrue(stream.finished)
        self.assertEqual(32, len(stream.words))
        self.assertEqual(0, self.fleet.processes[name].wait())

    def executions(self, name):
        """Returns how many requests an engine started, -1 if it exited."""
        try:
            return sum(self.fleet.stats(name)["executions"].values())
        except OSError:
            return -1

    def test_disconnected_caller_frees_the_engine(self):
        stream = _fleet.Stream(
            self.fleet.addresses["e1"], "gone", max_tokens=32
        )
        stream.read(3)
        name = find_serving_engine(self.fleet)
        stream.close()
        _fleet.wait_for(
            lambda: self.fleet.stats(name)["running"] == 0,
            "the engine to become idle",
        )
        _fleet.wait_for(lambda: self.fleet.balance()["settled"] > 0, "a bill")


class TestServicesFail(testtools.TestCase):
    """Non-idempotent calls while targets fail."""

    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(entries=2, engines=0, services=2)
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def executions(self, key: str) -> int:
        return sum(
            self.fleet.stats(name)["executions"].get(key, 0)
            for name in self.fleet.service_names
        )

    def assert_outcome_unknown(self, response):
        self.assertEqual(409, response.status)
        error = response.json()["error"]
        self.assertEqual("outcome_unknown", error["code"])
        self.assertEqual("unknown", error["run"])

    def test_lost_response_is_unknown_and_call_is_not_rerun(self):
        self.assert_outcome_unknown(
            self.fleet.call_service("e1", "/b?lose=1", key="lost-1")
        )
        self.assert_outcome_unknown(
            self.fleet.call_service("e2", "/b?lose=1", key="lost-1")
        )
        self.assertEqual(1, self.executions("lost-1"))
        self.assertEqual(0, self.fleet.balance()["settled"])

    def test_call_moves_to_another_target_on_refused_connection(self):
        self.fleet.processes["app-1"].kill()
        responses = [
            self.fleet.call_service("e1", key=f"move-{n}") for n in range(6)
        ]
        self.assertEqual([200] * 6, [r.status for r in responses])
        executions = self.fleet.stats("app-2")["executions"]
        self.assertEqual([1] * 6, [executions[f"move-{n}"] for n in range(6)])

    def test_call_is_reported_not_run_without_targets(self):
        for name in self.fleet.service_names:
            self.fleet.processes[name].kill()
        response = self.fleet.call_service("e1", key="none-1")
        self.assertEqual(503, response.status)
        self.assertEqual("not run", response.json()["error"]["run"])
        self.assertIn("Retry-After", response.headers)
        # The key is released, so the call can be sent again.
        for name in self.fleet.service_names:
            self.fleet.processes[name].start()

        def succeeds():
            response = self.fleet.call_service("e2", key="none-1")
            if response.status == 503:
                self.assertEqual("not run", response.json()["error"]["run"])
            return response.status == 200

        _fleet.wait_for(succeeds, "a successful response")
        self.fleet.wait_ready()
        self.assertEqual(1, self.executions("none-1"))

    def test_late_response_is_not_sent_to_another_caller(self):
        results = _fleet.run_in_threads(
            4,
            lambda n: self.fleet.call_service(
                "e1", f"/slow-{n}?delay=1", method="GET", timeout=0.3
            ),
        )
        self.assertTrue(all(isinstance(item, OSError) for item in results))
        responses = _fleet.run_in_threads(
            16,
            lambda n: self.fleet.call_service(
                "e1", f"/own-{n}?delay=0.1", method="GET"
            ),
        )
        for index, response in enumerate(responses):
            self.assertEqual(f"/own-{index}", response.json()["path"])

    def test_call_of_a_frozen_entry_is_not_run_by_another(self):
        results = []

        def send(index):
            if index == 0:
                results.append(
                    self.fleet.call_service("e1", "/b?delay=1", key="frozen-1")
                )
                return
            _fleet.wait_for(lambda: self.executions("frozen-1") == 1, "a run")
            self.fleet.processes["e1"].signal(signal.SIGSTOP)
            # The other entry detects the frozen owner of the call, whose
            # outcome remains unknown.
            self.assert_outcome_unknown(
                self.fleet.call_service("e2", "/b?delay=1", key="frozen-1")
            )
            self.fleet.processes["e1"].signal(signal.SIGCONT)

        failures = [r for r in _fleet.run_in_threads(2, send) if r is not None]
        self.assertEqual([], failures)
        self.assertEqual(200, results[0].status)
        self.assertEqual(1, self.executions("frozen-1"))
        repeated = self.fleet.call_service("e2", "/b?delay=1", key="frozen-1")
        self.assertEqual(results[0].body, repeated.body)
        self.assertEqual("true", repeated.headers["Galenashed-Replayed"])
        self.assertEqual(1, self.executions("frozen-1"))


class TestLookupsCrashServices(testtools.TestCase):
    """One lookup crashes each target of a service that runs it."""

    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(entries=2, engines=0, services=5)
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def look(self, entry, path):
        return self.fleet.call_service(entry, path, method="GET", body=None)

    def count_exited(self):
        return sum(
            self.fleet.processes[name].popen.poll() is not None
            for name in self.fleet.service_names
        )

    def test_lookup_stops_at_most_three_targets(self):
        for entry in ("e1", "e2", "e1", "e2"):
            response = self.look(entry, "/unit?crash=1")
        self.assertEqual(3, self.count_exited())
        self.assertEqual(422, response.status)
        self.assertEqual("not run", response.json()["error"]["run"])
        for entry in ("e1", "e2"):
            self.assertEqual(200, self.look(entry, "/unit").status)
        self.assertEqual(2, self.fleet.balance()["settled"])

    def test_lookup_stops_at_most_three_targets_with_a_late_feed(self):
        self.look("e1", "/unit?crash=1")
        # The last crash is known to e2 and control only.
        for name in self.fleet.control_names:
            self.fleet.control_links[("e1", name)].delay = 0.2
        self.look("e2", "/unit?crash=1")
        response = self.look("e1", "/unit?crash=1")
        self.assertEqual(3, self.count_exited())
        self.assertEqual(422, response.status)
        self.assertEqual("not run", response.json()["error"]["run"])


class TestLimitedServices(testtools.TestCase):
    """Targets of a service that name a limit of requests a second."""

    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(entries=3, engines=0, services=1)
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        for entry in self.fleet.entry_names:
            self.fleet.wait_peers(entry)

    def test_calls_beyond_the_limit_are_refused_at_once(self):
        until = time.monotonic() + 9.0
        refused = []

        def press(index):
            entry = self.fleet.entry_names[index % 3]
            while time.monotonic() < until:
                started = time.monotonic()
                response = self.fleet.call_service(
                    entry, "/x?limit=1", method="GET", body=None
                )
                if response.status != 200:
                    refused.append((time.monotonic() - started, response))
                time.sleep(0.05)

        def count_executions():
            return sum(self.fleet.stats("app-1")["executions"].values())

        counts = []

        def watch():
            # A span of 4 s, from 4 s after the limit was named.
            for seconds in (4.0, 4.0):
                time.sleep(seconds)
                counts.append(count_executions())

        _fleet.run_in_threads(7, lambda n: press(n) if n else watch())
        self.assertLessEqual(counts[1] - counts[0], 1.5 * 4 + 5)
        self.assertGreaterEqual(counts[1] - counts[0], 2)
        for elapsed, response in refused:
            self.assertEqual(503, response.status)
            self.assertLess(elapsed, 1.0)
            self.assertEqual("not run", response.json()["error"]["run"])
            self.assertGreater(float(response.headers["Retry-After"]), 0.0)


class TestServiceLinksFail(testtools.TestCase):
    """Calls while the connections to targets fail."""

    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(
            entries=1, engines=0, services=2, proxied_targets=True
        )
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def test_idempotent_call_is_retried_on_a_broken_connection(self):
        response = self.fleet.call_service("e1", "/lookup", method="GET")
        self.assertEqual(200, response.status)
        # Pooled connections fail when the next call uses them.
        for name in self.fleet.service_names:
            self.fleet.proxy.reset(self.fleet.target_links[name])
        responses = [
            self.fleet.call_service("e1", "/lookup", method="GET")
            for _ in range(4)
        ]
        self.assertEqual([200] * 4, [r.status for r in responses])

    def test_no_method_is_retried_when_the_connection_breaks(self):
        """HTTP libraries retry some methods; bookings must run only once."""
        for method in ("PUT", "DELETE", "POST", "PATCH"):
            key = f"broken-{method}"

            def send(index, method=method, key=key):
                if index == 0:
                    return self.fleet.call_service(
                        "e1", "/b?delay=0.5", key=key, method=method
                    )
                _fleet.wait_for(lambda: self.executions(key), "a run")
                for link in self.fleet.target_links.values():
                    self.fleet.proxy.reset(link)
                return None

            response, _ = _fleet.run_in_threads(2, send)
            self.assertEqual(409, response.status)
            self.assertEqual("unknown", response.json()["error"]["run"])
            time.sleep(1.0)
            self.assertEqual(1, self.executions(key), method)

    def executions(self, key: str) -> int:
        return sum(
            self.fleet.stats(name)["executions"].get(key, 0)
            for name in self.fleet.service_names
        )
