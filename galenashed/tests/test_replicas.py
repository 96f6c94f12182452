"""Control replicas that lose their disks and are replaced."""

import json

import testtools

from galenashed.tests import _fleet


def make_note(number: int) -> str:
    return f"""
[note]
number = {number}
author = "ops"

[[model]]
name = "model-{number}"
version = "1"
"""


class TestReplacedReplicas(testtools.TestCase):
    """What was accepted outlives the disks that it was accepted on."""

    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(entries=2, engines=1, services=0)
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def settled(self) -> int:
        return self.fleet.balance()["settled"]

    def spend(self, key: str) -> int:
        """Runs a request and returns what is settled once it is billed."""
        before = self.settled()
        answer = self.fleet.ask("e1", headers={"Idempotency-Key": key})
        self.assertEqual(200, answer.status)
        used = answer.json()["usage"]["total_tokens"]
        _fleet.wait_for(
            lambda: self.settled() == before + used, "the bill of a request"
        )
        return before + used

    def notes(self) -> list[str]:
        shown = self.fleet.operate("note", "history", "--json")
        return [record["subject"] for record in json.loads(shown.stdout)]

    def test_second_disk_lost_right_after_a_repair(self):
        for number in range(2, 6):
            self.fleet.publish(make_note(number))
        spent = self.spend("first")
        self.fleet.lose_disk("c3")
        self.fleet.replace_control("c3", "c4")
        # The next one right away: what is left is one old and one new.
        self.fleet.lose_disk("c2")
        self.assertEqual(spent, self.settled())
        wanted = [f"note {number}" for number in range(1, 6)]
        self.assertEqual(wanted, self.notes())
        self.fleet.publish(make_note(6))
        self.assertGreater(self.spend("second"), spent)

    def test_leader_that_loses_its_disk_is_replaced(self):
        leader = self.fleet.leader()
        spent = self.spend("first")
        self.fleet.lose_disk(leader)
        self.fleet.replace_control(leader, "c4")
        self.assertEqual(spent, self.settled())
        self.assertNotIn(leader, self.listed())

    def test_replica_that_was_down_meanwhile_takes_part_again(self):
        self.fleet.processes["c1"].kill()
        old = "c3" if self.fleet.leader() == "c2" else "c2"
        # One is down, so the other must live until its place is taken.
        self.fleet.replace_control(old, "c4")
        self.fleet.processes[old].kill()
        left = self.fleet.leader()
        self.fleet.processes["c1"].start()
        _fleet.wait_for(lambda: self.is_up("c1"), "c1 up again")
        # Its log may name a leader that is gone and not the one that leads.
        self.fleet.processes[left].kill()
        self.fleet.publish(make_note(2))

    def is_up(self, name: str) -> bool:
        statuses = self.fleet.ask_control(lambda c: c.statuses(timeout=1.0))
        return statuses[name] is not None

    def listed(self) -> dict[str, bool]:
        """Returns which replicas take part, and which of them vote."""
        shown = self.fleet.operate("replica", "list", "--json")
        return {
            member["name"]: not member["learner"]
            for member in json.loads(shown.stdout)
        }

    def test_entries_follow_replicas_that_their_settings_do_not_name(self):
        for old, new in (("c1", "c4"), ("c2", "c5"), ("c3", "c6")):
            self.fleet.lose_disk(old)
            self.fleet.replace_control(old, new)
        self.assertEqual({"c4": True, "c5": True, "c6": True}, self.listed())
        self.fleet.publish(make_note(2), "--wait")
        self.spend("after")

    def test_lost_replica_does_not_come_back_under_its_name(self):
        self.fleet.lose_disk("c3")
        process = self.fleet.processes["c3"]
        process.start()
        self.assertEqual(1, process.wait())
        process.start("--join")
        refused = self.fleet.operate(
            "replica",
            "add",
            "c3",
            "127.0.0.1:1",
            "--timeout",
            "1",
            check=False,
        )
        self.assertEqual(1, refused.returncode)
        self.assertIn("needs a new name", refused.stdout)
        process.kill()
        self.fleet.replace_control("c3", "c4")
        refused = self.fleet.operate(
            "replica",
            "add",
            "c3",
            "127.0.0.1:1",
            "--timeout",
            "1",
            check=False,
        )
        self.assertIn("took part once", refused.stdout)
