"""Tests of the replicated control state, command by command."""

import msgspec
import testtools

from galenashed import control
from galenashed.protocol import control as wire
from galenashed.protocol import routes

DAY = 24 * 3600.0


class TestControlStateMachine(testtools.TestCase):
    """Release notes, grants, bills and claims."""

    def setUp(self):
        super().setUp()
        self.state_machine = control.ControlStateMachine()
        self.index = 0
        self.now = 0.0
        self.publish(1, self.budget_with_top_up("a", 1000))

    def apply(self, command):
        self.index += 1
        stamped = wire.TimestampedCommand(self.now, command)
        reply = self.state_machine.apply(
            self.index, msgspec.msgpack.encode(stamped)
        )
        self.state_machine.check_invariant()
        return reply

    def budget_with_top_up(self, id, tokens):
        return wire.Budget(
            name="b", team="t", top_ups=[wire.TopUp(id=id, tokens=tokens)]
        )

    def publish(self, number, *budgets, **fields):
        fields.setdefault("teams", [wire.Team(name="t", key_hash="0" * 64)])
        note = wire.Note(
            number=number, author="ops", budgets=list(budgets), **fields
        )
        digest = control.compute_digest(note)
        return self.apply(wire.PublishNote(note=note, digest=digest))

    def open(self, number, need, want=0, holder="e/1", limit=None):
        return self.apply(
            wire.OpenGrant(
                grant=f"{holder}/{number}",
                budget="b",
                holder=holder,
                number=number,
                sequence=0,
                need=need,
                want=want,
                limit=limit,
            )
        )

    def close(self, number, holder="e/1"):
        return self.apply(
            wire.CloseGrant(grant=f"{holder}/{number}", holder=holder)
        )

    def settle(self, sequence, *bills, holder="e/1", first=1):
        return self.apply(
            wire.SettleBills(
                holder=holder,
                sequence=sequence,
                first=first,
                bills=list(bills),
            )
        )

    def bill(self, id, tokens, *, attempt="", keyed=True, grant="e/1/1"):
        return wire.Bill(
            id=id,
            team="t",
            budget="b",
            subject="m",
            attempt=attempt or id,
            keyed=keyed,
            prompt_tokens=tokens,
            output_tokens=0,
            parts=[wire.BillPart(grant, tokens)],
        )

    def balance(self):
        query = wire.Query(kind="balance", subject="b")
        return self.state_machine.query(query).balances[0]

    def test_duplicate_top_up_counts_once(self):
        self.publish(
            2,
            self.budget_with_top_up("a", 1000),
            self.budget_with_top_up("c", 5),
        )
        self.assertEqual(1005, self.balance().prepaid)

    def test_cut_below_granted_tokens_waits_for_returns(self):
        self.open(1, need=800)
        self.publish(2, self.budget_with_top_up("cut", -500))
        self.assertEqual(800, self.balance().prepaid)
        self.assertEqual(300, self.balance().pending_cut)
        self.assertIsInstance(self.open(2, need=1), wire.Short)
        self.settle(1, self.bill("r", 100))
        self.close(1)
        self.assertEqual(500, self.balance().prepaid)
        self.assertEqual(0, self.balance().pending_cut)
        self.assertEqual(400, self.balance().free)

    def test_top_up_reduces_pending_cut_first(self):
        self.open(1, need=1000)
        self.publish(2, self.budget_with_top_up("cut", -500))
        self.publish(3, self.budget_with_top_up("more", 700))
        self.assertEqual(1200, self.balance().prepaid)
        self.assertEqual(0, self.balance().pending_cut)

    def test_largest_holders_come_first(self):
        self.open(1, 100, holder="e1/x")
        self.open(1, 300, holder="e2/x")
        self.settle(1, self.bill("k", 40, grant="e2/x/1"), holder="e2/x")
        self.assertEqual(
            [("e2", 260, 0, None), ("e1", 100, 0, None)],
            self.state_machine.largest_holders(5),
        )
        self.assertEqual(1, len(self.state_machine.largest_holders(1)))

    def test_largest_holders_tell_how_long_they_are_silent(self):
        self.open(1, 100, holder="e1/x")
        self.now = 5.0
        self.apply(wire.Holding(holder="e1/x", sent_at=3.0, limits={}))
        ((_, _, _, silent),) = self.state_machine.largest_holders(1)
        self.assertEqual(2.0, silent)

    def test_refusal_names_tokens_of_silent_holders(self):
        self.open(1, 600, holder="e1/x", limit=600)
        self.open(1, 300, holder="e2/x", limit=300)
        # Holders without announced limits need not be heard.
        self.open(1, 50, holder="e3/x")
        self.now = 5.0
        self.apply(wire.Holding(holder="e2/x", sent_at=5.0, limits={}))
        reply = self.open(1, 100, holder="e4/x")
        self.assertEqual(
            wire.Short(
                available=50,
                elsewhere=950,
                silent=600,
                holders=[
                    wire.HeldShare(holder="e1/x", tokens=600, announced=600),
                    wire.HeldShare(holder="e2/x", tokens=300, announced=300),
                    wire.HeldShare(holder="e3/x", tokens=50, announced=50),
                ],
            ),
            reply,
        )

    def test_duplicate_open_returns_the_same_grant(self):
        first = self.open(1, need=100)
        again = self.open(1, need=100)
        self.assertEqual(first, again)
        self.assertEqual(100, self.balance().outstanding)

    def test_delayed_duplicate_open_of_closed_grant_grants_nothing(self):
        self.open(1, need=100)
        self.close(1)
        self.assertIsInstance(self.open(1, need=100), wire.Closed)
        self.assertEqual(0, self.balance().outstanding)

    def test_delayed_duplicate_of_refused_open_grants_nothing(self):
        self.assertIsInstance(self.open(1, need=2000), wire.Short)
        self.publish(2, self.budget_with_top_up("b", 5000))
        self.assertIsInstance(self.open(1, need=2000), wire.Closed)
        self.assertEqual(0, self.balance().outstanding)

    def test_shrinking_grant_frees_tokens_once(self):
        self.open(1, need=100, want=200)
        self.settle(1, self.bill("x", 50))
        for amount in (80, 120, 80):
            command = wire.ShrinkGrant(
                grant="e/1/1", holder="e/1", amount=amount
            )
            self.assertIsInstance(self.apply(command), wire.Done)
            self.assertEqual(30, self.balance().outstanding)
        foreign = wire.ShrinkGrant(grant="e/1/1", holder="e/2", amount=0)
        self.assertIsInstance(self.apply(foreign), wire.Refused)
        # A grant never shrinks below its billed tokens.
        self.apply(wire.ShrinkGrant(grant="e/1/1", holder="e/1", amount=0))
        self.assertEqual(0, self.balance().outstanding)
        self.assertEqual(50, self.balance().settled)

    def test_grant_of_other_holder_is_not_closed_or_billed(self):
        self.open(1, need=100)
        reply = self.apply(wire.CloseGrant(grant="e/1/1", holder="e/2"))
        self.assertIsInstance(reply, wire.Refused)
        self.settle(1, self.bill("r", 50), holder="e/2")
        self.assertEqual(0, self.balance().settled)

    def test_bill_is_limited_to_the_grant(self):
        self.open(1, need=100)
        self.settle(1, self.bill("r", 5000))
        self.assertEqual(100, self.balance().settled)

    def test_duplicate_batch_counts_once(self):
        self.open(1, need=500)
        first = self.settle(1, self.bill("r", 50, keyed=False))
        again = self.settle(1, self.bill("r", 50, keyed=False))
        self.assertEqual(first, again)
        self.assertEqual(50, self.balance().settled)
        self.assertIsInstance(self.settle(3), wire.Refused)

    def test_two_attempts_of_one_request_are_billed_once(self):
        self.open(1, need=500)
        self.open(1, need=400, holder="e/2")
        self.settle(1, self.bill("r", 50, attempt="x"))
        reply = self.settle(
            1,
            self.bill("r", 60, attempt="y", grant="e/2/1"),
            holder="e/2",
        )
        self.assertEqual(["y"], reply.duplicates)
        self.assertEqual(50, self.balance().settled)

    def test_late_bill_on_closed_grant_changes_nothing(self):
        self.open(1, need=500)
        self.close(1)
        self.settle(1, self.bill("r", 50))
        self.assertEqual(0, self.balance().settled)

    def claim(self, owner, key="k", digest="d"):
        return self.apply(
            wire.ClaimCall(team="t", key=key, digest=digest, owner=owner)
        )

    def finish(self, owner, outcome, key="k"):
        return self.apply(
            wire.FinishCall(team="t", key=key, owner=owner, outcome=outcome)
        )

    def test_claim_is_never_transferred(self):
        self.assertTrue(self.claim("o1").fresh)
        self.assertFalse(self.claim("o2").fresh)
        self.now = DAY - 1
        self.assertEqual("o1", self.claim("o2").owner)

    def test_duplicate_claim_by_owner_is_fresh_again(self):
        self.assertTrue(self.claim("o1").fresh)
        self.assertTrue(self.claim("o1").fresh)

    def test_only_not_run_frees_the_key(self):
        for outcome, free in (
            ("run", False),
            ("unknown", False),
            ("not_run", True),
        ):
            self.claim("o1", key=outcome)
            self.finish("o1", outcome, key=outcome)
            self.assertEqual(free, self.claim("o2", key=outcome).fresh)

    def test_delayed_duplicate_of_released_claim_claims_nothing(self):
        self.claim("o1")
        self.finish("o1", "not_run")
        self.assertFalse(self.claim("o1").fresh)
        self.assertTrue(self.claim("o2").fresh)

    def test_only_owner_finishes_call(self):
        self.claim("o1")
        self.assertIsInstance(self.finish("o2", "not_run"), wire.Refused)
        self.assertFalse(self.claim("o2").fresh)

    def test_call_records_expire(self):
        self.claim("o1")
        self.now = DAY + 60
        self.assertTrue(self.claim("o2").fresh)

    def test_invalid_note_reports_all_findings_and_changes_nothing(self):
        before = self.state_machine.snapshot()
        reply = self.publish(
            2,
            wire.Budget(name="x", team="ghost"),
            services=[wire.Service(name="s", kind="engine", models=["m"])],
            withdrawn=wire.Withdrawn(teams=["nobody"], models=["none"]),
        )
        self.assertEqual(4, len(reply.findings), reply.findings)
        state = msgspec.msgpack.decode(before)
        after = msgspec.msgpack.decode(self.state_machine.snapshot())
        for name in state:
            if name != "audit":
                self.assertEqual(state[name], after[name], name)

    def test_lower_number_is_refused(self):
        self.publish(5)
        reply = self.publish(4)
        self.assertIn("below the note in force", reply.findings[0])

    def test_withdrawing_team_withdraws_its_budgets(self):
        self.open(1, need=100)
        self.publish(2, teams=[], withdrawn=wire.Withdrawn(teams=["t"]))
        self.assertIsInstance(self.open(2, need=1), wire.Refused)
        # Open grants are still settled and closed.
        self.settle(1, self.bill("r", 40))
        self.close(1)
        self.assertEqual(40, self.balance().settled)
        self.publish(3, self.budget_with_top_up("a", 1000))
        self.assertEqual(960, self.balance().free)

    def test_snapshot_restores_the_same_state(self):
        self.open(1, need=100)
        self.claim("o1")
        self.settle(1, self.bill("r", 40))
        other = control.ControlStateMachine()
        other.restore(self.index, self.state_machine.snapshot())
        self.assertEqual(self.state_machine.snapshot(), other.snapshot())
        self.state_machine = other
        self.close(1)
        self.assertEqual(0, self.balance().outstanding)

    def test_restarted_replica_expires_the_same_records(self):
        self.claim("o1")
        self.now = DAY - 5
        self.claim("o1", key="other")
        other = control.ControlStateMachine()
        other.restore(self.index, self.state_machine.snapshot())
        self.now = DAY + 1
        stamped = wire.TimestampedCommand(self.now, wire.Barrier())
        data = msgspec.msgpack.encode(stamped)
        for state_machine in (self.state_machine, other):
            state_machine.apply(self.index + 1, data)
        self.assertEqual(self.state_machine.snapshot(), other.snapshot())


class TestSuccession(testtools.TestCase):
    """Tokens freed when a process succeeds dead holders of its place."""

    def succeed_after(self, seconds):
        """Returns the reply to a succession after that much silence."""
        state_machine = control.ControlStateMachine()
        team = routes.RoutedTeam(name="t", key_hashes=[], prepaid=1000)
        table = routes.RoutingTable(version=1, teams=[team])
        commands = [
            wire.ReplaceRoutes(table=table, source=b""),
            wire.OpenGrant(
                grant="p/a/1",
                budget="t",
                holder="p/a",
                number=1,
                sequence=0,
                need=10,
                want=200,
                limit=10,
            ),
            wire.Holding(holder="p/a", sent_at=50.0, limits={"p/a/1": 50}),
            wire.SucceedHolder(
                place="p", holder="p/b", started_at=50.0 + seconds
            ),
        ]
        for index, command in enumerate(commands, 1):
            stamped = wire.TimestampedCommand(at=50.0, command=command)
            reply = state_machine.apply(index, msgspec.msgpack.encode(stamped))
            state_machine.check_invariant()
        return reply

    def test_short_silence_frees_unannounced_tokens(self):
        # As when all processes restart: 1.4 s of downtime and 0.6 s to start.
        reply = self.succeed_after(2.0)
        self.assertEqual((150, 50), (reply.freed, reply.lost))

    def test_long_silence_counts_whole_grant_as_spent(self):
        reply = self.succeed_after(3.5)
        self.assertEqual((0, 200), (reply.freed, reply.lost))
        self.assertEqual(150, reply.unannounced)

    def test_clock_set_back_counts_whole_grant_as_spent(self):
        reply = self.succeed_after(-1.0)
        self.assertEqual((0, 200), (reply.freed, reply.lost))
