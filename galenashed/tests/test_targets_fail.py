"""Requests while targets die, hang, leave and answer late."""

import signal
import time

import testtools

from galenashed.standins import _engine
from galenashed.tests import _fleet


class TestEnginesFail(testtools.TestCase):
    """Model requests; each test starts with four ready engines."""

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

    def serving(self) -> str:
        """Returns the engine that runs a request."""

        def find():
            for name in self.fleet.engine_names:
                ended = self.fleet.processes[name].popen.poll() is not None
                if not ended and self.fleet.stats(name)["running"]:
                    return name
            return ""

        return _fleet.wait_for(find, "an engine at work")

    def test_stream_goes_on_at_the_exact_token(self):
        whole = _fleet.Stream(self.fleet.addresses["e1"], "digest").read()
        stream = _fleet.Stream(self.fleet.addresses["e1"], "digest")
        stream.read(5)
        self.fleet.processes[self.serving()].kill()
        stream.read()
        self.assertTrue(stream.finished)
        self.assertEqual(whole.words, stream.words)
        bill = f"/v1/bills/{stream.request_id}"
        billed = _fleet.fetch(self.fleet.addresses["e1"], bill).json()
        self.assertEqual(32, billed["output_tokens"])
        ids = self.fleet.balance()
        self.assertEqual(2 * billed["billed_tokens"], ids["settled"])

    def test_frozen_engine_loses_its_stream_to_another(self):
        whole = _fleet.Stream(self.fleet.addresses["e1"], "freeze").read()
        stream = _fleet.Stream(self.fleet.addresses["e1"], "freeze")
        stream.read(5)
        name = self.serving()
        self.fleet.processes[name].signal(signal.SIGSTOP)
        stream.read()
        self.assertTrue(stream.finished)
        self.assertEqual(whole.words, stream.words)
        self.fleet.processes[name].signal(signal.SIGCONT)

    def test_request_that_ends_engines_costs_two_at_most(self):
        poison = f"please {_engine.CRASH_MARKER}"
        first = self.fleet.ask("e1", poison)
        self.assertEqual(422, first.status)
        self.assertEqual("run", first.json()["error"]["run"])
        # The same content under a new key, and through the other entry.
        for entry in ("e1", "e2", "e2"):
            again = self.fleet.ask(
                entry, poison, headers={"Idempotency-Key": f"new-{entry}"}
            )
            self.assertEqual(422, again.status)
            self.assertEqual("not run", again.json()["error"]["run"])
        ended = [
            name
            for name in self.fleet.engine_names
            if self.fleet.processes[name].popen.poll() is not None
        ]
        self.assertEqual(2, len(ended))
        self.assertEqual(200, self.fleet.ask("e1", "innocent").status)
        self.assertEqual(0, self.billed_for(poison))

    def test_poison_costs_two_engines_though_an_entry_learns_late(self):
        # This entry holds tokens before its links grow slow.
        self.assertEqual(200, self.fleet.ask("e2", "innocent").status)
        for name in self.fleet.control_names:
            self.fleet.control_links[("e2", name)].delay = 0.3
        poison = f"late {_engine.CRASH_MARKER}"
        self.assertEqual(422, self.fleet.ask("e1", poison).status)
        again = self.fleet.ask("e2", poison)
        self.assertEqual(422, again.status)
        self.assertEqual("not run", again.json()["error"]["run"])
        ended = [
            name
            for name in self.fleet.engine_names
            if self.fleet.processes[name].popen.poll() is not None
        ]
        self.assertEqual(2, len(ended))

    def billed_for(self, text):
        """Returns what is settled beyond the innocent requests."""
        settled = self.fleet.balance()["settled"]
        usage = self.fleet.ask("e2", "innocent").json()["usage"]
        return max(0, settled - usage["total_tokens"])

    def test_innocent_requests_beside_a_crash_are_answered(self):
        streams = [
            _fleet.Stream(self.fleet.addresses["e1"], f"innocent {n}")
            for n in range(8)
        ]
        for stream in streams:
            stream.read(3)
        poison = f"please {_engine.CRASH_MARKER}"
        self.assertEqual(422, self.fleet.ask("e1", poison).status)
        for stream in streams:
            stream.read()
            self.assertTrue(stream.finished)
            self.assertEqual(32, len(stream.words))
        again = self.fleet.ask("e2", "innocent 1")
        self.assertEqual(200, again.status)

    def test_leaving_engine_ends_its_streams_and_gets_no_more(self):
        stream = _fleet.Stream(self.fleet.addresses["e1"], "leaving")
        stream.read(2)
        name = self.serving()
        self.fleet.processes[name].signal(signal.SIGTERM)
        time.sleep(3.0)
        before = self.executions(name)
        answers = _fleet.in_threads(
            16, lambda n: self.fleet.ask(f"e{n % 2 + 1}", f"after {n}")
        )
        self.assertEqual([200] * 16, [a.status for a in answers])
        self.assertEqual(before, self.executions(name))
        stream.read()
        self.assertTrue(stream.finished)
        self.assertEqual(32, len(stream.words))
        self.assertEqual(0, self.fleet.processes[name].wait())

    def executions(self, name):
        """Returns how many requests an engine has begun, -1 if it ended."""
        try:
            return sum(self.fleet.stats(name)["executions"].values())
        except OSError:
            return -1

    def test_caller_that_leaves_frees_the_engine(self):
        stream = _fleet.Stream(
            self.fleet.addresses["e1"], "gone", max_tokens=32
        )
        stream.read(3)
        name = self.serving()
        stream.close()
        _fleet.wait_for(
            lambda: self.fleet.stats(name)["running"] == 0,
            "a free engine",
        )
        _fleet.wait_for(lambda: self.fleet.balance()["settled"] > 0, "a bill")


class TestServicesFail(testtools.TestCase):
    """Calls that may not be repeated."""

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

    def assert_outcome_unknown(self, answer):
        self.assertEqual(409, answer.status)
        error = answer.json()["error"]
        self.assertEqual("outcome_unknown", error["code"])
        self.assertEqual("unknown", error["run"])

    def test_lost_answer_is_unknown_and_never_run_again(self):
        self.assert_outcome_unknown(
            self.fleet.call("e1", "/b?lose=1", key="lost-1")
        )
        self.assert_outcome_unknown(
            self.fleet.call("e2", "/b?lose=1", key="lost-1")
        )
        self.assertEqual(1, self.executions("lost-1"))
        self.assertEqual(0, self.fleet.balance()["settled"])

    def test_refused_connection_moves_a_call_to_another_target(self):
        self.fleet.processes["app-1"].kill()
        answers = [self.fleet.call("e1", key=f"move-{n}") for n in range(6)]
        self.assertEqual([200] * 6, [a.status for a in answers])
        seen = self.fleet.stats("app-2")["executions"]
        self.assertEqual([1] * 6, [seen[f"move-{n}"] for n in range(6)])

    def test_not_run_is_true_when_no_target_is_left(self):
        for name in self.fleet.service_names:
            self.fleet.processes[name].kill()
        answer = self.fleet.call("e1", key="none-1")
        self.assertEqual(503, answer.status)
        self.assertEqual("not run", answer.json()["error"]["run"])
        self.assertIn("Retry-After", answer.headers)
        # The key is free again: the call may be sent once more.
        for name in self.fleet.service_names:
            self.fleet.processes[name].start()

        def is_answered():
            answer = self.fleet.call("e2", key="none-1")
            if answer.status == 503:
                self.assertEqual("not run", answer.json()["error"]["run"])
            return answer.status == 200

        _fleet.wait_for(is_answered, "an answer")
        self.fleet.wait_ready()
        self.assertEqual(1, self.executions("none-1"))

    def test_late_answer_never_reaches_another_caller(self):
        slow = _fleet.in_threads(
            4,
            lambda n: self.fleet.call(
                "e1", f"/slow-{n}?delay=1", method="GET", timeout=0.3
            ),
        )
        self.assertTrue(all(isinstance(item, OSError) for item in slow))
        answers = _fleet.in_threads(
            16,
            lambda n: self.fleet.call(
                "e1", f"/own-{n}?delay=0.1", method="GET"
            ),
        )
        for position, answer in enumerate(answers):
            self.assertEqual(f"/own-{position}", answer.json()["path"])

    def test_frozen_owner_is_never_overtaken(self):
        results = []

        def send(position):
            if position == 0:
                results.append(
                    self.fleet.call("e1", "/b?delay=1", key="frozen-1")
                )
                return
            _fleet.wait_for(lambda: self.executions("frozen-1") == 1, "a run")
            self.fleet.processes["e1"].signal(signal.SIGSTOP)
            # The owner's silence is noticed, and its outcome stays open.
            self.assert_outcome_unknown(
                self.fleet.call("e2", "/b?delay=1", key="frozen-1")
            )
            self.fleet.processes["e1"].signal(signal.SIGCONT)

        failures = [r for r in _fleet.in_threads(2, send) if r is not None]
        self.assertEqual([], failures)
        self.assertEqual(200, results[0].status)
        self.assertEqual(1, self.executions("frozen-1"))
        again = self.fleet.call("e2", "/b?delay=1", key="frozen-1")
        self.assertEqual(results[0].body, again.body)
        self.assertEqual("true", again.headers["Galenashed-Replayed"])
        self.assertEqual(1, self.executions("frozen-1"))


class TestServiceLinksFail(testtools.TestCase):
    """Calls while the links to targets fail."""

    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(
            entries=1, engines=0, services=2, proxied_targets=True
        )
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def test_lost_answer_of_an_idempotent_call_is_asked_again(self):
        answer = self.fleet.call("e1", "/lookup", method="GET")
        self.assertEqual(200, answer.status)
        # The connections kept for reuse fail under the next call.
        for name in self.fleet.service_names:
            self.fleet.proxy.reset(self.fleet.target_links[name])
        answers = [
            self.fleet.call("e1", "/lookup", method="GET") for _ in range(4)
        ]
        self.assertEqual([200] * 4, [a.status for a in answers])

    def test_no_method_is_repeated_when_the_connection_breaks(self):
        """Libraries repeat some methods by themselves; bookings are not."""
        for method in ("PUT", "DELETE", "POST", "PATCH"):
            key = f"broken-{method}"

            def send(position, method=method, key=key):
                if position == 0:
                    return self.fleet.call(
                        "e1", "/b?delay=0.5", key=key, method=method
                    )
                _fleet.wait_for(lambda: self.executions(key), "a run")
                for link in self.fleet.target_links.values():
                    self.fleet.proxy.reset(link)
                return None

            answer, _ = _fleet.in_threads(2, send)
            self.assertEqual(409, answer.status)
            self.assertEqual("unknown", answer.json()["error"]["run"])
            time.sleep(1.0)
            self.assertEqual(1, self.executions(key), method)

    def executions(self, key: str) -> int:
        return sum(
            self.fleet.stats(name)["executions"].get(key, 0)
            for name in self.fleet.service_names
        )
