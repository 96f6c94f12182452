"""Entries that lose their paths to all targets, while callers reach them."""

import http.client
import time

import testtools

from galenashed.tests import _fleet

CUT_ENTRY = "e1"
# From this long after the beginning of a cut on, callers must not notice it.
CONTACT_SECONDS = 3.0
REQUESTS = 12
# At least this share of the first tries is served.
MIN_SERVED_SHARE = 2 / 3
TIMEOUT_SECONDS = 3.0


class TestEntriesLosePaths(testtools.TestCase):
    """One of three entries loses its paths."""

    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(
            entries=3,
            engines=2,
            services=2,
            engine_args=("--token-seconds", "0.01"),
            entry_module="galenashed.tests._cut_entry",
        )
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        for entry in self.fleet.entry_names:
            self.fleet.wait_peers(entry)
            # Opens connections, which a cut need not end.
            self.serves_all(entry)

    def cut(self, how, entries=(CUT_ENTRY,)):
        targets = [*self.fleet.engine_names, *self.fleet.service_names]
        addresses = [self.fleet.addresses[name] for name in targets]
        for entry in entries:
            self.fleet.cut_file(entry).write_text(
                " ".join([how, *addresses]), encoding="utf-8"
            )

    def end_cut(self, entries=(CUT_ENTRY,)):
        for entry in entries:
            self.fleet.cut_file(entry).unlink()

    def ask(self, entry):
        text = f"hello {time.monotonic_ns()}"
        return self.fleet.ask(entry, text, timeout=TIMEOUT_SECONDS)

    def look(self, entry):
        return self.fleet.call_service(
            entry, "/unit", method="GET", body=None, timeout=TIMEOUT_SECONDS
        )

    def book(self, entry):
        key = f"book-{time.monotonic_ns()}"
        return self.fleet.call_service(entry, key=key, timeout=TIMEOUT_SECONDS)

    def serves(self, send, entry):
        """Whether a request is served."""
        try:
            return send(entry).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def serves_all(self, entry):
        return all(
            self.serves(send, entry)
            for send in (self.ask, self.look, self.book)
        )

    def send_for(self, seconds, entry=CUT_ENTRY):
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            self.serves_all(entry)
            time.sleep(0.1)

    def check(self, how):
        self.cut(how)
        self.send_for(CONTACT_SECONDS)
        for send in (self.ask, self.look, self.book):
            served = [self.serves(send, CUT_ENTRY) for _ in range(REQUESTS)]
            self.assertGreaterEqual(
                sum(served), MIN_SERVED_SHARE * REQUESTS, send.__name__
            )
        stream = _fleet.Stream(self.fleet.addresses[CUT_ENTRY], "stream")
        stream.read()
        self.assertTrue(stream.finished)
        self.assertEqual(32, len(stream.words))
        self.assertNotIn(CUT_ENTRY, self.listed_entries())
        self.end_cut()
        _fleet.wait_for(
            lambda: CUT_ENTRY in self.listed_entries(), "the paths"
        )
        self.assertTrue(self.serves_all(CUT_ENTRY))

    def listed_entries(self):
        listed = _fleet.fetch(self.fleet.addresses["e2"], "/v1/instances")
        return [item["name"] for item in listed.json()["instances"]]

    def test_new_connections_are_refused(self):
        self.check("refuse")

    def test_connections_are_reset(self):
        self.check("reset")

    def test_connections_are_silent(self):
        self.check("silence")

    def test_lost_paths_are_not_taken_for_crashes_of_targets(self):
        # Connections to all engines, which the cut resets under a request.
        _fleet.run_in_threads(8, lambda n: self.ask(CUT_ENTRY))
        self.cut("reset")
        for _ in range(3):
            self.fleet.ask(CUT_ENTRY, "sound", timeout=TIMEOUT_SECONDS)
        self.end_cut()
        self.assertEqual(200, self.fleet.ask("e2", "sound").status)

    def test_each_call_runs_once_and_is_billed_once(self):
        self.cut("reset")
        self.send_for(CONTACT_SECONDS)
        before = self.fleet.balance()["settled"]
        keys = [f"once-{number}" for number in range(REQUESTS)]
        for key in keys:
            response = self.fleet.call_service(CUT_ENTRY, key=key)
            self.assertEqual(200, response.status)
        # A repeat at another entry replays the answer.
        for key in keys:
            response = self.fleet.call_service("e2", key=key)
            self.assertEqual("true", response.headers["Galenashed-Replayed"])
        runs = [
            self.fleet.stats(name)["executions"].get(key, 0)
            for name in self.fleet.service_names
            for key in keys
        ]
        self.assertEqual(REQUESTS, sum(runs))
        self.assertEqual(before + REQUESTS, self.fleet.balance()["settled"])

    def test_service_without_targets_is_refused_at_once(self):
        self.cut("reset", entries=self.fleet.entry_names)
        for entry in self.fleet.entry_names:
            self.send_for(CONTACT_SECONDS / 2, entry)
        for entry in self.fleet.entry_names:
            for send in (self.ask, self.look, self.book):
                started = time.monotonic()
                response = send(entry)
                self.assertLess(time.monotonic() - started, 1.0)
                self.assertEqual(503, response.status)
                error = response.json()["error"]
                self.assertEqual("not run", error["run"])
                self.assertIn("Retry-After", response.headers)
        self.end_cut(self.fleet.entry_names)

    def test_leaving_caller_ends_the_run_that_a_peer_sent(self):
        self.cut("reset")
        self.send_for(CONTACT_SECONDS)
        stream = _fleet.Stream(
            self.fleet.addresses[CUT_ENTRY], "leaving", max_tokens=500
        )
        stream.read(3)
        self.assertEqual(3, len(stream.words))
        stream.close()
        _fleet.wait_for(
            lambda: (
                not any(
                    self.fleet.stats(name)["running"]
                    for name in self.fleet.engine_names
                )
            ),
            "the run to end",
            timeout=2.0,
        )
