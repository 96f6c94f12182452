"""Requests while entries and control replicas die, freeze and stop."""

import http.client
import json
import signal
import time

import testtools

from galenashed.tests import _fleet

GRACEFUL_SECONDS = 30.0
QUICK = ("--token-seconds", "0.001")
CHANGES = 300


class FleetTest(testtools.TestCase):
    """A test with a fleet of its own."""

    def start_fleet(self, **options) -> _fleet.Fleet:
        fleet = _fleet.Fleet(**options)
        self.addCleanup(fleet.close)
        fleet.start()
        return fleet

    def assert_books_balance(self, fleet, budget="rounds-2026"):
        held = fleet.balance(budget)
        self.assertGreaterEqual(
            held["prepaid"], held["settled"] + held["outstanding"]
        )
        return held


class TestEntriesFail(FleetTest):
    """Entries that die and stop."""

    def test_retry_elsewhere_is_answered_whole_and_billed_once(self):
        fleet = self.start_fleet(engine_args=("--token-seconds", "0.03"))
        whole = _fleet.Stream(fleet.addresses["e2"], "same text").read()
        before = fleet.balance()["settled"]
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
        again = [
            _fleet.Stream(
                fleet.addresses[entry], "same text", key="retry-1"
            ).read()
            for entry in ("e2", "e3")
        ]
        for stream in again:
            self.assertTrue(stream.finished)
            self.assertEqual(whole.words, stream.words)
        _fleet.wait_for(
            lambda: fleet.balance()["settled"] > before, "the bill"
        )
        time.sleep(1.0)
        tokens = fleet.balance()["settled"] - before
        bill = _fleet.fetch(
            fleet.addresses["e3"], f"/v1/bills/{again[0].request_id}"
        ).json()
        self.assertEqual(bill["billed_tokens"], tokens)
        self.assert_books_balance(fleet)

    def test_owner_that_dies_leaves_a_true_unknown(self):
        fleet = self.start_fleet(engines=0, services=1)

        def send(position):
            if position == 0:
                return fleet.call("e1", "/b?delay=1", key="dead-1")
            _fleet.wait_for(
                lambda: fleet.stats("app-1")["executions"].get("dead-1"),
                "a run",
            )
            fleet.processes["e1"].kill()
            return [
                fleet.call(entry, "/b?delay=1", key="dead-1")
                for entry in ("e2", "e3")
            ]

        _, answers = _fleet.in_threads(2, send)
        for answer in answers:
            self.assertEqual(409, answer.status)
            self.assertEqual("unknown", answer.json()["error"]["run"])
        executions = fleet.stats("app-1")["executions"]
        self.assertEqual(1, executions["dead-1"])

    def test_graceful_stop_cuts_nothing_and_returns_grants(self):
        fleet = self.start_fleet(engine_args=("--token-seconds", "0.1"))
        streams = [
            _fleet.Stream(fleet.addresses["e1"], f"slow {n}") for n in range(6)
        ]
        for stream in streams:
            stream.read(2)
        fleet.processes["e1"].signal(signal.SIGTERM)

        def is_left_out():
            answer = _fleet.fetch(fleet.addresses["e2"], "/v1/instances")
            names = [item["name"] for item in answer.json()["instances"]]
            return "e1" not in names

        _fleet.wait_for(is_left_out, "e1 to leave the list")
        # A caller that kept an older answer is still served.
        late = fleet.ask("e1", "kept the old answer")
        self.assertEqual(200, late.status)
        for stream in streams:
            stream.read()
            self.assertTrue(stream.finished)
            self.assertEqual(32, len(stream.words))
        self.assertEqual(0, fleet.processes["e1"].wait(GRACEFUL_SECONDS))
        self.assertEqual(0, fleet.balance()["outstanding"])

    def test_budget_of_a_dead_entry_is_never_spent_twice(self):
        note = _fleet.NOTE.replace("tokens = 1000000", "tokens = 3000")
        fleet = self.start_fleet(note=note, engine_args=QUICK)
        fleet.ask("e1", "take a slice")
        fleet.processes["e1"].kill()
        answers = [
            fleet.ask(("e2", "e3")[n % 2], f"spend {n}") for n in range(80)
        ]
        spent = sum(
            a.json()["usage"]["total_tokens"]
            for a in answers
            if a.status == 200
        )
        refused = [a for a in answers if a.status != 200]
        self.assertNotEqual([], refused)
        for answer in refused:
            error = answer.json()["error"]
            self.assertEqual("insufficient_quota", error["code"])
            self.assertEqual("not run", error["run"])
        held = self.assert_books_balance(fleet)
        self.assertLessEqual(spent, 3000)
        self.assertLessEqual(spent + held["outstanding"], 3000)


class TestControlFails(FleetTest):
    """Control replicas that die, freeze, and are cut off."""

    def note(self, number: int, tokens: int = 100) -> str:
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

    def assert_serving(self, fleet):
        def works():
            return fleet.ask("e1", "works").status == 200

        _fleet.wait_for(works, "service")

    def test_killed_leader(self):
        fleet = self.start_fleet()
        fleet.ask("e1")
        leader = fleet.leader()
        fleet.processes[leader].kill()
        fleet.publish(self.note(2))
        self.assert_serving(fleet)
        self.assertNotEqual(leader, fleet.leader())
        fleet.processes[leader].start()
        fleet.publish(self.note(3), "--wait")
        self.assertEqual(1_000_200, fleet.balance()["prepaid"])
        self.assert_books_balance(fleet)

    def test_frozen_leader_that_wakes_reverts_nothing(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        fleet.processes[leader].signal(signal.SIGSTOP)
        fleet.publish(self.note(2))
        fleet.processes[leader].signal(signal.SIGCONT)
        fleet.publish(self.note(3), "--wait")
        self.assertEqual(1_000_200, fleet.balance()["prepaid"])
        self.assert_one_history(fleet, 3)

    def assert_one_history(self, fleet, number: int):
        """Every replica and entry has the same note in force."""

        def agrees():
            done = fleet.operate("status", "--json", check=False)
            statuses = json.loads(done.stdout).values()
            return all(s and s["note"] == number for s in statuses)

        _fleet.wait_for(agrees, "one history")
        done = fleet.operate("note", "status", "--json")
        notes = {item["note"] for item in json.loads(done.stdout)}
        self.assertEqual({number}, notes)

    def cut(self, fleet, name: str, way: str):
        """Cuts a replica off from the others, silently."""
        for (source, replica), link in fleet.control_links.items():
            if source == "operator":
                continue
            if name in (source, replica):
                link.forward = way
                link.backward = way

    def test_leader_isolated_by_a_silent_partition(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        self.cut(fleet, leader, "drop")
        fleet.publish(self.note(2))
        # The isolated replica answers operators, but accepts nothing.
        done = fleet.operate("status", "--json", check=False)
        status = json.loads(done.stdout)[leader]
        self.assertNotEqual(2, status["note"])
        self.assert_serving(fleet)
        self.cut(fleet, leader, "pass")
        fleet.publish(self.note(3), "--wait")
        self.assert_one_history(fleet, 3)
        self.assertEqual(1_000_200, fleet.balance()["prepaid"])

    def test_operators_race_under_equal_numbers(self):
        fleet = self.start_fleet()
        texts = [self.note(2, tokens=10 + n) for n in range(4)]
        done = _fleet.in_threads(
            8, lambda n: fleet.publish(texts[n % 4], check=False)
        )
        winners = {n % 4 for n, d in enumerate(done) if d.returncode == 0}
        self.assertEqual(1, len(winners))
        winner = winners.pop()
        for position, item in enumerate(done):
            if position % 4 != winner:
                self.assertEqual(2, item.returncode)
                self.assertIn("number 2 was taken", item.stdout)
        self.assertEqual(1_000_010 + winner, fleet.balance()["prepaid"])
        self.assert_one_history(fleet, 2)

    def test_restart_of_all_replicas_keeps_what_was_accepted(self):
        fleet = self.start_fleet(snapshot_every=50)
        fleet.publish_all(
            [self.note(number) for number in range(2, 2 + CHANGES)]
        )
        fleet.ask("e1")
        _fleet.wait_for(lambda: fleet.balance()["settled"] > 0, "the bill")
        before = fleet.balance()
        audit = fleet.operate("audit", "--limit", "1000", "--json").stdout
        for name in fleet.control_names:
            fleet.processes[name].kill()
        for name in fleet.control_names:
            fleet.processes[name].start()
        after = fleet.balance()
        self.assertEqual(before["prepaid"], after["prepaid"])
        self.assertEqual(before["settled"], after["settled"])
        again = fleet.operate("audit", "--limit", "1000", "--json").stdout
        self.assertEqual(json.loads(audit), json.loads(again))
        self.assert_serving(fleet)
        self.assert_one_history(fleet, 1 + CHANGES)

    def test_lost_disk_is_noticed_and_the_rest_goes_on(self):
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
        fleet.publish(self.note(2))
        self.assert_serving(fleet)

    def test_graceful_stop_of_a_replica(self):
        fleet = self.start_fleet()
        leader = fleet.leader()
        fleet.processes[leader].signal(signal.SIGTERM)
        self.assertEqual(0, fleet.processes[leader].wait(10.0))
        self.assert_serving(fleet)


class TestEntryCutOff(FleetTest):
    """An entry cut off from control while the others go on."""

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

    def cut_off(self, preset: str):
        """Returns what a cut-off entry answered, by status, and books."""
        note = _fleet.NOTE.replace("tokens = 1000000", "tokens = 20000")
        fleet = self.start_fleet(
            note=note,
            engine_args=QUICK,
            policy=f'[policy]\npreset = "{preset}"\nmax_stale = 2.0\n',
        )
        spent = 0
        for entry in fleet.entry_names:
            answer = fleet.ask(entry, "warm up")
            spent += answer.json()["usage"]["total_tokens"]
        links = [
            link
            for (source, _), link in fleet.control_links.items()
            if source == "e1"
        ]
        for link in links:
            link.forward = link.backward = "drop"
        time.sleep(3.0)
        fleet.publish(self.TOP_UP)
        answers = []
        for position in range(250):
            answers.append(
                fleet.ask(("e1", "e2", "e3")[position % 3], f"{position}")
            )
        cut = [a for n, a in enumerate(answers) if n % 3 == 0]
        for answer in answers:
            if answer.status == 200:
                spent += answer.json()["usage"]["total_tokens"]
            else:
                run = answer.json()["error"]["run"]
                self.assertEqual("not run", run)
        self.assertLessEqual(spent, 25_000)
        for link in links:
            link.heal()

        def is_settled():
            return fleet.balance()["settled"] == spent

        _fleet.wait_for(is_settled, f"{spent} tokens billed")
        self.assert_books_balance(fleet)
        return [answer.status for answer in cut]

    def test_overspend_first_refuses_when_the_lease_is_out(self):
        statuses = self.cut_off("overspend-first")
        self.assertEqual({503}, set(statuses))

    def test_refusals_first_serves_from_what_it_holds(self):
        statuses = self.cut_off("refusals-first")
        self.assertEqual(200, statuses[0])
        self.assertGreater(statuses.count(200), 20)
