"""Requests while entries and control replicas crash, freeze or stop."""

import http.client
import json
import signal
import time

import testtools

from galenashed.tests import _fleet

GRACEFUL_STOP_SECONDS = 30.0
FAST_ENGINE_ARGS = ("--token-seconds", "0.001")
NOTE_COUNT = 300


class FleetTestCase(testtools.TestCase):
    """Test case whose tests start their own fleets."""

    def start_fleet(self, **options) -> _fleet.Fleet:
        fleet = _fleet.Fleet(**options)
        self.addCleanup(fleet.close)
        fleet.start()
        return fleet

    def assert_budget_balances(self, fleet, budget="rounds-2026"):
        balance = fleet.balance(budget)
        self.assertGreaterEqual(
            balance["prepaid"], balance["settled"] + balance["outstanding"]
        )
        return balance


class TestEntriesFail(FleetTestCase):
    """Entries that crash or stop."""

    def test_retry_at_other_entries_is_complete_and_billed_once(self):
        fleet = self.start_fleet(engine_args=("--token-seconds", "0.03"))
        expected = _fleet.Stream(fleet.addresses["e2"], "same text").read()
        # A witness may have the bill before control has.
        before = self.wait_billed(fleet, "e2", expected.request_id)
        self.assertEqual(before, fleet.balance()["settled"])
        stream = _fleet.Stream(
            fleet.addresses["e1"], "same text", key="retry-1"
        )
        stream.read(4)
        fleet.processes["e1"].kill()
        try:
            stream.read()
        except (OSError, http.client.HTTPException):
            pass
        self.assertFalse(stream.finished)
        repeated = [
            _fleet.Stream(
                fleet.addresses[entry], "same text", key="retry-1"
            ).read()
            for entry in ("e2", "e3")
        ]
        for stream in repeated:
            outcome = (stream.status, stream.error, len(stream.words))
            self.assertTrue(stream.finished, outcome)
            self.assertEqual(expected.words, stream.words)
        # Each entry answers once control has acknowledged its own bills; those
        # of the killed one are recovered by its witnesses.
        billed = {
            self.wait_billed(fleet, entry, repeated[0].request_id)
            for entry in ("e2", "e3")
        }
        self.wait_recovered(fleet, "e1")
        tokens = fleet.balance()["settled"] - before
        self.assertEqual({tokens}, billed)
        self.assertEqual(1, len(fleet.bills(repeated[0].request_id)))
        self.assert_budget_balances(fleet)

    def wait_billed(self, fleet, entry: str, request_id: str) -> int:
        """Returns the tokens of a bill once an entry has settled its bills."""

        def find_tokens():
            response = _fleet.fetch(
                fleet.addresses[entry], f"/v1/bills/{request_id}"
            )
            if response.status == 503:
                return 0
            self.assertEqual(200, response.status)
            return response.json()["billed_tokens"]

        return _fleet.wait_for(find_tokens, f"the bill of {request_id}")

    def wait_recovered(self, fleet, entry: str):
        """Waits until witnesses have recovered a killed entry's grants."""

        def is_recovered():
            result = fleet.run_operator_cli("audit", "--json")
            return any(
                record["action"] == "recover"
                and record["subject"].startswith(f"{entry}/")
                for record in json.loads(result.stdout)
            )

        _fleet.wait_for(is_recovered, f"{entry} to be recovered")

    def test_call_of_a_killed_entry_has_unknown_outcome(self):
        fleet = self.start_fleet(engines=0, services=1)

        def send(index):
            if index == 0:
                return fleet.call_service("e1", "/b?delay=1", key="dead-1")
            _fleet.wait_for(
                lambda: fleet.stats("app-1")["executions"].get("dead-1"),
                "a run",
            )
            fleet.processes["e1"].kill()
            return [
                fleet.call_service(entry, "/b?delay=1", key="dead-1")
                for entry in ("e2", "e3")
            ]

        _, responses = _fleet.run_in_threads(2, send)
        for response in responses:
            self.assertEqual(409, response.status)
            self.assertEqual("unknown", response.json()["error"]["run"])
        executions = fleet.stats("app-1")["executions"]
        self.assertEqual(1, executions["dead-1"])

    def test_graceful_stop_completes_streams_and_returns_grants(self):
        fleet = self.start_fleet(engine_args=("--token-seconds", "0.1"))
        streams = [
            _fleet.Stream(fleet.addresses["e1"], f"slow {n}") for n in range(6)
        ]
        for stream in streams:
            stream.read(2)
        fleet.processes["e1"].signal(signal.SIGTERM)

        def is_unlisted():
            response = _fleet.fetch(fleet.addresses["e2"], "/v1/instances")
            names = [item["name"] for item in response.json()["instances"]]
            return "e1" not in names

        _fleet.wait_for(is_unlisted, "e1 to leave the list")
        # A caller with an older instance list is still served.
        late_response = fleet.ask("e1", "kept the old answer")
        self.assertEqual(200, late_response.status)
        for stream in streams:
            stream.read()
            self.assertTrue(stream.finished)
            self.assertEqual(32, len(stream.words))
        self.assertEqual(0, fleet.processes["e1"].wait(GRACEFUL_STOP_SECONDS))
        self.assertEqual(0, fleet.balance()["outstanding"])

    def test_graceful_stop_ends_open_connections_with_a_response(self):
        fleet = self.start_fleet()
        host, _, port = fleet.addresses["e1"].rpartition(":")
        conn = http.client.HTTPConnection(host, int(port), timeout=10)
        self.addCleanup(conn.close)

        def get_connection_header():
            conn.request("GET", "/health")
            response = conn.getresponse()
            response.read()
            return response.headers["Connection"]

        self.assertIsNone(get_connection_header())
        fleet.processes["e1"].signal(signal.SIGTERM)
        _fleet.wait_for(
            lambda: b"is draining" in fleet.processes["e1"].log.read_bytes(),
            "the drain",
        )
        self.assertEqual("close", get_connection_header())

    def test_tokens_of_a_killed_entry_are_not_spent_twice(self):
        note = _fleet.NOTE.replace("tokens = 1000000", "tokens = 3000")
        fleet = self.start_fleet(note=note, engine_args=FAST_ENGINE_ARGS)
        fleet.ask("e1", "take a slice")
        fleet.processes["e1"].kill()
        responses = [
            fleet.ask(("e2", "e3")[n % 2], f"spend {n}") for n in range(80)
        ]
        spent_tokens = sum(
            r.json()["usage"]["total_tokens"]
            for r in responses
            if r.status == 200
        )
        refused = [r for r in responses if r.status != 200]
        self.assertNotEqual([], refused)
        for response in refused:
            error = response.json()["error"]
            self.assertEqual("insufficient_quota", error["code"])
            self.assertEqual("not run", error["run"])
        balance = self.assert_budget_balances(fleet)
        self.assertLessEqual(spent_tokens, 3000)
        self.assertLessEqual(spent_tokens + balance["outstanding"], 3000)


class TestControlFails(FleetTestCase):
    """Control replicas that crash, freeze or are partitioned."""

    def make_note(self, number: int, tokens: int = 100) -> str:
        return f"""
[note]
number = {number}
author = "ops"

[[budget]]
name = "rounds-2026"
team = "rounds"

[[budget.top_up]]
id = "extra-{number}"
tokens = {tokens}
"""

    def wait_serving(self, fleet):
        def responds():
            return fleet.ask("e1", "works").status == 200

        _fleet.wait_for(responds, "a successful response")

    def test_killed_leader_is_replaced(self):
        fleet = self.start_fleet()
        fleet.ask("e1")
        leader = fleet.leader()
        fleet.processes[leader].kill()
        fleet.publish(self.make_note(2))
        self.wait_serving(fleet)
        self.assertNotEqual(leader, fleet.leader())
        fleet.processes[leader].start()
        fleet.publish(self.make_note(3), "--wait")
        self.assertEqual(1_000_200, fleet.balance()["prepaid"])
        self.assert_budget_balances(fleet)

    def test_resumed_leader_reverts_no_change(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        fleet.processes[leader].signal(signal.SIGSTOP)
        fleet.publish(self.make_note(2))
        fleet.processes[leader].signal(signal.SIGCONT)
        fleet.publish(self.make_note(3), "--wait")
        self.assertEqual(1_000_200, fleet.balance()["prepaid"])
        self.assert_note_in_force(fleet, 3)

    def assert_note_in_force(self, fleet, number: int):
        """Waits for a note on all replicas and checks it on all entries."""

        def all_agree():
            result = fleet.run_operator_cli("status", "--json", check=False)
            statuses = json.loads(result.stdout).values()
            return all(s and s["note"] == number for s in statuses)

        _fleet.wait_for(all_agree, "the same note on all replicas")
        result = fleet.run_operator_cli("note", "status", "--json")
        notes = {item["note"] for item in json.loads(result.stdout)}
        self.assertEqual({number}, notes)

    def set_replica_links(self, fleet, name: str, mode: str):
        """Sets the mode of a replica's links, except those of the operator."""
        for (source, replica), link in fleet.control_links.items():
            if source == "operator":
                continue
            if name in (source, replica):
                link.forward = mode
                link.backward = mode

    def wait_status(self, fleet, name: str) -> dict:
        """Returns the status of a replica once it answers an operator."""

        def find_status():
            result = fleet.run_operator_cli("status", "--json", check=False)
            return json.loads(result.stdout)[name]

        return _fleet.wait_for(find_status, f"an answer of {name}")

    def test_leader_isolated_by_a_silent_partition(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        self.set_replica_links(fleet, leader, "drop")
        fleet.publish(self.make_note(2))
        # The isolated replica responds to operators but commits nothing.
        status = self.wait_status(fleet, leader)
        self.assertNotEqual(2, status["note"])
        self.wait_serving(fleet)
        self.set_replica_links(fleet, leader, "pass")
        fleet.publish(self.make_note(3), "--wait")
        self.assert_note_in_force(fleet, 3)
        self.assertEqual(1_000_200, fleet.balance()["prepaid"])

    def test_one_of_concurrent_notes_with_equal_numbers_is_accepted(self):
        fleet = self.start_fleet()
        texts = [self.make_note(2, tokens=10 + n) for n in range(4)]
        results = _fleet.run_in_threads(
            8, lambda n: fleet.publish(texts[n % 4], check=False)
        )
        winners = {n % 4 for n, r in enumerate(results) if r.returncode == 0}
        self.assertEqual(1, len(winners))
        winner = winners.pop()
        for index, item in enumerate(results):
            if index % 4 != winner:
                self.assertEqual(2, item.returncode)
                self.assertIn("number 2 was taken", item.stdout)
        self.assertEqual(1_000_010 + winner, fleet.balance()["prepaid"])
        self.assert_note_in_force(fleet, 2)

    def test_restart_of_all_replicas_keeps_committed_state(self):
        fleet = self.start_fleet(snapshot_every=50)
        fleet.publish_all(
            [self.make_note(number) for number in range(2, 2 + NOTE_COUNT)]
        )
        fleet.ask("e1")
        _fleet.wait_for(lambda: fleet.balance()["settled"] > 0, "the bill")
        before = fleet.balance()
        audit = fleet.run_operator_cli(
            "audit", "--limit", "1000", "--json"
        ).stdout
        for name in fleet.control_names:
            fleet.processes[name].kill()
        for name in fleet.control_names:
            fleet.processes[name].start()
        after = fleet.balance()
        self.assertEqual(before["prepaid"], after["prepaid"])
        self.assertEqual(before["settled"], after["settled"])
        repeated = fleet.run_operator_cli(
            "audit", "--limit", "1000", "--json"
        ).stdout
        self.assertEqual(json.loads(audit), json.loads(repeated))
        self.wait_serving(fleet)
        self.assert_note_in_force(fleet, 1 + NOTE_COUNT)

    def test_lost_disk_is_detected_and_others_keep_serving(self):
        fleet = self.start_fleet()
        process = fleet.processes["c1"]
        process.kill()
        folder = fleet.folder / "c1.data"
        for path in folder.iterdir():
            path.unlink()
        process.start()
        self.assertEqual(1, process.wait())
        text = process.log.read_text(encoding="utf-8")
        self.assertIn("lost its disk must not vote", text)
        fleet.publish(self.make_note(2))
        self.wait_serving(fleet)

    def test_graceful_stop_of_a_replica(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        fleet.processes[leader].signal(signal.SIGTERM)
        self.assertEqual(0, fleet.processes[leader].wait(10.0))
        self.wait_serving(fleet)


class TestEntryCutOff(FleetTestCase):
    """An entry cut off from control while the other entries serve."""

    TOP_UP = """
[note]
number = 2
author = "ops"

[[budget]]
name = "rounds-2026"
team = "rounds"

[[budget.top_up]]
id = "while-cut"
tokens = 5000
"""

    def collect_statuses_while_cut_off(self, preset: str):
        """Returns the response statuses of an entry cut off from control.

        Checks that the budget is not overspent and that its balance matches
        the usage once the links are healed.
        """
        note = _fleet.NOTE.replace("tokens = 1000000", "tokens = 20000")
        fleet = self.start_fleet(
            note=note,
            engine_args=FAST_ENGINE_ARGS,
            policy=f'[policy]\npreset = "{preset}"\nmax_stale = 2.0\n',
        )
        spent_tokens = 0
        for entry in fleet.entry_names:
            spent_tokens += self.warm_up(fleet, entry)
        links = [
            link
            for (source, _), link in fleet.control_links.items()
            if source == "e1"
        ]
        for link in links:
            link.forward = link.backward = "drop"
        time.sleep(3.0)
        fleet.publish(self.TOP_UP)
        responses = []
        for index in range(250):
            responses.append(
                fleet.ask(("e1", "e2", "e3")[index % 3], f"{index}")
            )
        e1_responses = [r for n, r in enumerate(responses) if n % 3 == 0]
        for response in responses:
            if response.status == 200:
                spent_tokens += response.json()["usage"]["total_tokens"]
            else:
                run = response.json()["error"]["run"]
                self.assertEqual("not run", run)
        self.assertLessEqual(spent_tokens, 25_000)
        for link in links:
            link.heal()

        def is_settled():
            return fleet.balance()["settled"] == spent_tokens

        _fleet.wait_for(is_settled, f"{spent_tokens} tokens billed")
        self.assert_budget_balances(fleet)
        return [response.status for response in e1_responses]

    def warm_up(self, fleet, entry: str) -> int:
        """Repeats a request until an entry has tokens to serve it.

        Returns the tokens that it used; a refused request uses none.
        """

        def find_tokens():
            response = fleet.ask(entry, "warm up")
            if response.status == 200:
                return response.json()["usage"]["total_tokens"]
            self.assertEqual(503, response.status)
            self.assertEqual("not run", response.json()["error"]["run"])
            return 0

        return _fleet.wait_for(find_tokens, f"{entry} to serve a request")

    def test_overspend_first_refuses_after_lease_expiry(self):
        statuses = self.collect_statuses_while_cut_off("overspend-first")
        self.assertEqual({503}, set(statuses))

    def test_refusals_first_serves_from_held_tokens(self):
        statuses = self.collect_statuses_while_cut_off("refusals-first")
        self.assertEqual(200, statuses[0])
        self.assertGreater(statuses.count(200), 20)
