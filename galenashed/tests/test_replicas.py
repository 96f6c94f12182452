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
    """Committed state survives the loss and replacement of replicas."""

    def setUp(self):
        super().setUp()
        self.fleet = _fleet.Fleet(entries=2, engines=1, services=0)
        self.addCleanup(self.fleet.close)
        self.fleet.start()

    def settled_tokens(self) -> int:
        return self.fleet.balance()["settled"]

    def send_and_settle(self, key: str) -> int:
        """Sends a request and returns the settled tokens once it is billed."""
        before = self.settled_tokens()
        response = self.fleet.ask("e1", headers={"Idempotency-Key": key})
        self.assertEqual(200, response.status)
        used_tokens = response.json()["usage"]["total_tokens"]
        _fleet.wait_for(
            lambda: self.settled_tokens() == before + used_tokens,
            "the bill of a request",
        )
        return before + used_tokens

    def accepted_notes(self) -> list[str]:
        """Returns the notes that were accepted, in order.

        Checks that any other record is that of a note which was sent again.
        """
        result = self.fleet.run_operator_cli("note", "history", "--json")
        accepted = []
        for record in json.loads(result.stdout):
            if record["result"] == "accepted":
                accepted.append(record["subject"])
            else:
                self.assertIn("already accepted", record["result"])
                self.assertIn(record["subject"], accepted)
        return accepted

    def test_note_that_is_sent_again_is_accepted_once(self):
        for number in (2, 2, 3):
            self.fleet.publish(make_note(number))
        self.assertEqual(["note 1", "note 2", "note 3"], self.accepted_notes())
        result = self.fleet.run_operator_cli("note", "history", "--json")
        self.assertEqual(4, len(json.loads(result.stdout)))

    def test_second_disk_loss_right_after_a_replacement(self):
        for number in range(2, 6):
            self.fleet.publish(make_note(number))
        settled = self.send_and_settle("first")
        self.fleet.delete_replica_data("c3")
        self.fleet.replace_replica("c3", "c4")
        # The second loss follows at once: one old and one new replica
        # remain.
        self.fleet.delete_replica_data("c2")
        self.assertEqual(settled, self.settled_tokens())
        expected = [f"note {number}" for number in range(1, 6)]
        self.assertEqual(expected, self.accepted_notes())
        self.fleet.publish(make_note(6))
        self.assertGreater(self.send_and_settle("second"), settled)

    def test_leader_that_loses_its_disk_is_replaced(self):
        leader = self.fleet.leader()
        settled = self.send_and_settle("first")
        self.fleet.delete_replica_data(leader)
        self.fleet.replace_replica(leader, "c4")
        self.assertEqual(settled, self.settled_tokens())
        self.assertNotIn(leader, self.voters_by_name())

    def test_replica_that_was_down_during_a_replacement_rejoins(self):
        self.fleet.processes["c1"].kill()
        # c1 is down, so the old replica is needed for a majority until it
        # has been replaced.
        old = self.fleet.replace_follower(["c2", "c3"], "c4")
        self.fleet.processes[old].kill()
        old_leader = self.fleet.leader()
        self.fleet.processes["c1"].start()
        _fleet.wait_for(lambda: self.is_reachable("c1"), "c1 to be reachable")
        # The log of c1 may name a leader that is gone instead of the
        # current one.
        self.fleet.processes[old_leader].kill()
        self.fleet.publish(make_note(2))

    def is_reachable(self, name: str) -> bool:
        statuses = self.fleet.ask_control(
            lambda client: client.statuses(timeout=1.0)
        )
        return statuses[name] is not None

    def voters_by_name(self) -> dict[str, bool]:
        """Returns whether each member votes, by replica name."""
        result = self.fleet.run_operator_cli("replica", "list", "--json")
        return {
            member["name"]: not member["learner"]
            for member in json.loads(result.stdout)
        }

    def test_operator_reaches_a_leader_missing_from_its_settings(self):
        leader = self.fleet.leader()
        self.fleet.control_names.remove(leader)
        self.fleet.write_operator_config()
        self.fleet.publish(make_note(2), "--timeout", "15")
        self.assertIn("note 2", self.accepted_notes())

    def test_entries_discover_replicas_missing_from_their_settings(self):
        for old, new in (("c1", "c4"), ("c2", "c5"), ("c3", "c6")):
            self.fleet.delete_replica_data(old)
            self.fleet.replace_replica(old, new)
        self.assertEqual(
            {"c4": True, "c5": True, "c6": True}, self.voters_by_name()
        )
        self.fleet.publish(make_note(2), "--wait")
        self.send_and_settle("after")

    def test_lost_replica_can_not_rejoin_under_its_old_name(self):
        self.fleet.delete_replica_data("c3")
        process = self.fleet.processes["c3"]
        process.start()
        self.assertEqual(1, process.wait())
        process.start("--join")
        result = self.fleet.run_operator_cli(
            "replica",
            "add",
            "c3",
            "127.0.0.1:1",
            "--timeout",
            "1",
            check=False,
        )
        self.assertEqual(1, result.returncode)
        self.assertIn("needs a new name", result.stdout)
        process.kill()
        self.fleet.replace_replica("c3", "c4")
        result = self.fleet.run_operator_cli(
            "replica",
            "add",
            "c3",
            "127.0.0.1:1",
            "--timeout",
            "1",
            check=False,
        )
        self.assertIn("took part once", result.stdout)
