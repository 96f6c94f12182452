"""Which parts of prompts and requests are quarantined after crashes."""

import msgspec
import testtools

from galenashed import control
from galenashed.control import _quarantine
from galenashed.protocol import control as wire

DEADLY = "deadly"


class TestQuarantine(testtools.TestCase):
    """Evidence is reported crash by crash, with the time between them."""

    def setUp(self):
        super().setUp()
        self.reset()

    def reset(self):
        self.state_machine = control.ControlStateMachine()
        self.index = 0
        self.now = 0.0
        self.targets = 0

    def apply(self, command):
        self.index += 1
        stamped = wire.TimestampedCommand(self.now, command)
        return self.state_machine.apply(
            self.index, msgspec.msgpack.encode(stamped)
        )

    def report(
        self, request, *parts, target=None, begun=True, known=None, pause=1.0
    ):
        """Reports that a target, by default a new one, crashed."""
        self.now += pause
        if target is None:
            self.targets += 1
            target = f"t{self.targets}"
        return self.apply(
            wire.ReportLostTarget(
                target=target,
                request=request,
                parts=list(parts),
                begun=begun,
                known=self.index if known is None else known,
            )
        )

    def answer(self, request, *parts):
        """Reports that a target began an answer to a request."""
        names = [wire.name_part(part) for part in parts]
        return self.apply(
            wire.ClearSuspects(suspects=[*names, wire.name_request(request)])
        )

    def assert_quarantined(self, *names):
        quarantine = self.state_machine.quarantine()
        self.assertEqual(list(names), quarantine.quarantined)

    def test_first_crash_quarantines_nothing(self):
        reply = self.report("r1", "a", DEADLY)
        self.assertEqual([], reply.quarantined)
        self.assertEqual(
            ["part:a", "part:deadly", "request:r1"], reply.suspected
        )

    def test_part_of_two_requests_that_crash_targets(self):
        self.report("r1", "a", DEADLY)
        reply = self.report("r2", "b", DEADLY)
        self.assertEqual(["part:deadly"], reply.quarantined)
        self.assertEqual([], reply.suspected)

    def test_first_part_of_two_requests_that_crash_targets(self):
        self.report("r1", DEADLY, "a")
        self.report("r2", DEADLY, "b")
        self.assert_quarantined("part:deadly")

    def test_last_of_the_parts_with_the_same_evidence(self):
        self.report("r1", "a", "b", DEADLY)
        self.report("r2", "a", "b", DEADLY)
        self.assert_quarantined("part:deadly")

    def test_part_is_found_although_a_later_one_was_blamed_first(self):
        self.report("r1", DEADLY, "a")
        self.report("r2", DEADLY, "a")
        self.assert_quarantined("part:a")
        self.report("r3", DEADLY, "b")
        self.report("r4", DEADLY, "c")
        self.assert_quarantined("part:a", "part:deadly")

    def test_answered_parts_are_cleared(self):
        self.report("r1", "a", DEADLY)
        self.answer("r2", "a")
        self.report("r3", "a", "b")
        self.assert_quarantined()

    def test_request_that_crashes_three_targets(self):
        self.report("r1", "a")
        self.report("r1", "a")
        self.assert_quarantined()
        self.report("r1", "a")
        self.assert_quarantined("request:r1")

    def test_request_without_a_prompt_that_crashes_three_targets(self):
        for _ in range(3):
            self.assert_quarantined()
            self.report("r1", begun=False)
        self.assert_quarantined("request:r1")

    def crashes_until_quarantined(self, pause, *, attempts=1, pairs_apart=0.1):
        """Returns how many targets end under one request, at most 20."""
        crashes = 0
        while crashes < 20:
            for attempt in range(attempts):
                self.report(
                    "r1",
                    begun=False,
                    known=0 if attempt else None,
                    pause=pairs_apart if attempt else pause,
                )
                crashes += 1
                if self.state_machine.quarantine().quarantined:
                    return crashes
        return crashes

    def test_repeats_in_quick_succession_end_three_targets(self):
        for pause in (0.05, 0.5, 1.5, 4.0):
            for attempts in (1, 2):
                self.reset()
                crashes = self.crashes_until_quarantined(
                    pause, attempts=attempts
                )
                self.assertEqual(3, crashes, (pause, attempts))

    def test_request_that_crashes_targets_beside_begun_answers(self):
        for number in range(3):
            self.report(f"s{number}", "a", target=f"t{number}")
            self.report("r1", "b", target=f"t{number}", begun=False)
            self.answer(f"o{number}", "a", "b")
        self.assert_quarantined("request:r1")

    def test_request_counts_although_a_part_is_quarantined_first(self):
        self.report("r1", "a", begun=False, target="t1")
        self.report("r1", "a", begun=False, target="t2")
        self.report("r2", "a", begun=False, target="t3")
        self.assert_quarantined("part:a")
        self.report("r1", "a", begun=False, target="t4")
        self.answer("r3", "a")
        self.assert_quarantined("request:r1")

    def test_part_in_requests_that_crash_targets_every_tenth_of_a_second(self):
        for number in range(20):
            self.report(f"r{number}", "a", begun=False, pause=0.1)
        self.assert_quarantined("part:a")

    def test_request_that_keeps_crashing_gets_two_trials(self):
        trials = 0
        for _ in range(3):
            self.report("r1", begun=False)
        # A day, in steps of 10 s.
        for _ in range(8640):
            self.wait(10.0)
            if self.trials_due():
                trials += self.begin_trial(suspect="request:r1")
                self.report("r1", begun=False, pause=0.1)
        self.assertEqual(2, trials)

    def test_requests_lost_with_one_target(self):
        for number in range(9):
            self.report(f"r{number}", "a", target="t", begun=False, pause=0.0)
        self.assert_quarantined()

    def test_requests_lost_with_targets_that_fail_together(self):
        for begun in (True, False):
            for number in range(9):
                self.report(
                    f"r{number}", "a", begun=begun, known=0, pause=0.01
                )
            self.assert_quarantined()

    def test_requests_lost_with_targets_that_fail_shortly_one_by_one(self):
        for number in range(5):
            self.report(f"r{number}", "a", begun=False, pause=0.2)
            self.answer("r", "a")
        self.report("r8", "a", begun=False, pause=0.2)
        self.report("r9", "a", begun=False, pause=0.2)
        self.assert_quarantined()

    def test_requests_lost_while_waiting_before_the_crash_was_known(self):
        self.report("r1", "a", begun=False)
        self.report("r2", "a", begun=False, known=0)
        self.assert_quarantined()

    def test_requests_lost_while_waiting_after_the_crash_was_known(self):
        self.report("r1", "a", begun=False)
        self.report("r2", "a", begun=False)
        self.assert_quarantined("part:a")

    def test_begun_answer_explains_the_crash(self):
        self.report("r1", "a", target="t1", begun=False)
        self.report("r2", "b", DEADLY, target="t1")
        self.report("r3", "c", target="t1", begun=False)
        suspected = self.state_machine.quarantine().suspected
        self.assertNotIn("part:a", suspected)
        self.assertNotIn("part:c", suspected)
        self.assertIn("part:deadly", suspected)

    def test_crash_under_a_quarantined_part_is_explained(self):
        self.report("r1", "a", DEADLY)
        self.report("r2", "b", DEADLY)
        self.report("r3", "c", DEADLY, target="t")
        self.report("r4", "c", target="t")
        self.report("r5", "d", target="t", begun=False)
        self.assertEqual([], self.state_machine.quarantine().suspected)

    def test_crash_under_a_quarantined_part_clears_what_waited_there(self):
        self.quarantine_deadly()
        for target in ("other1", "other2"):
            self.report(f"s{target}", "c", target=target, begun=False)
            self.report(f"r{target}", "d", DEADLY, target=target)
        self.assert_quarantined("part:deadly")
        suspected = self.state_machine.quarantine().suspected
        self.assertNotIn("part:c", suspected)

    def test_repeated_report_counts_once(self):
        for _ in range(3):
            self.report("r1", "a", target="t")
        self.assert_quarantined()

    def quarantine_deadly(self):
        self.report("r1", "a", DEADLY)
        self.report("r2", "b", DEADLY)
        self.assert_quarantined("part:deadly")

    def wait(self, seconds):
        self.now += seconds
        self.apply(wire.Barrier())

    def begin_trial(self, request="r", suspect="part:deadly"):
        reply = self.apply(
            wire.BeginSuspectTrial(suspect=suspect, request=request)
        )
        return reply.allowed

    def trials_due(self):
        return self.state_machine.quarantine().trials_due

    def test_trial_is_allowed_after_a_time(self):
        self.quarantine_deadly()
        self.wait(_quarantine.QUARANTINE_SECONDS - 1.0)
        self.assertFalse(self.begin_trial())
        self.wait(20.0)
        self.assertEqual(["part:deadly"], self.trials_due())
        self.assert_quarantined("part:deadly")
        self.assertTrue(self.begin_trial())

    def test_one_trial_at_a_time(self):
        self.quarantine_deadly()
        self.wait(40.0)
        self.assertTrue(self.begin_trial("r1"))
        self.assertFalse(self.begin_trial("r2"))
        self.assertEqual([], self.trials_due())

    def test_last_attempts_before_quarantine_run_one_at_a_time(self):
        name = wire.name_request("r")
        self.report("r")
        for _ in range(2):
            self.assertTrue(self.begin_trial("r", suspect=name))
        self.report("r")
        self.assertTrue(self.begin_trial("r", suspect=name))
        self.assertFalse(self.begin_trial("r", suspect=name))
        self.wait(_quarantine.TRIAL_SECONDS)
        self.assertTrue(self.begin_trial("r", suspect=name))
        self.answer("r")
        for _ in range(2):
            self.assertTrue(self.begin_trial("r", suspect=name))

    def test_trial_without_an_outcome_is_followed_by_another(self):
        self.quarantine_deadly()
        self.wait(40.0)
        self.assertTrue(self.begin_trial())
        self.wait(_quarantine.TRIAL_SECONDS + 10.0)
        self.assertTrue(self.begin_trial())

    def test_crash_in_a_trial_doubles_the_time(self):
        self.quarantine_deadly()
        self.wait(40.0)
        self.assertTrue(self.begin_trial())
        self.report("r3", "c", DEADLY)
        self.wait(2 * _quarantine.QUARANTINE_SECONDS - 1.0)
        self.assertFalse(self.begin_trial())
        self.wait(20.0)
        self.assertTrue(self.begin_trial())

    def test_crashes_that_were_under_way_do_not_prolong_the_quarantine(self):
        self.quarantine_deadly()
        for number in range(3):
            self.report(f"u{number}", "c", DEADLY)
        self.wait(_quarantine.QUARANTINE_SECONDS + 10.0)
        self.assertTrue(self.begin_trial())

    def test_quarantine_is_forgotten_without_requests(self):
        self.quarantine_deadly()
        self.wait(_quarantine.SUSPECT_RETENTION_SECONDS)
        self.assert_quarantined("part:deadly")
        self.wait(2 * _quarantine.QUARANTINE_SECONDS)
        self.assert_quarantined()

    def test_answer_releases_from_quarantine(self):
        self.quarantine_deadly()
        self.answer("r3", DEADLY)
        self.assert_quarantined()
        self.report("r4", DEADLY)
        self.assert_quarantined()

    def test_suspects_are_forgotten(self):
        self.report("r1", "a")
        self.wait(_quarantine.SUSPECT_RETENTION_SECONDS + 1.0)
        self.assertEqual([], self.state_machine.quarantine().suspected)

    def test_number_of_suspects_is_limited(self):
        self.quarantine_deadly()
        for number in range(_quarantine.MAX_SUSPECTS):
            self.report(f"x{number}", f"p{number}", pause=0.0)
        quarantine = self.state_machine.quarantine()
        self.assertEqual(["part:deadly"], quarantine.quarantined)
        self.assertEqual(
            _quarantine.MAX_SUSPECTS - 1, len(quarantine.suspected)
        )

    def test_quarantine_is_part_of_the_snapshot(self):
        self.quarantine_deadly()
        restored = control.ControlStateMachine()
        restored.restore(self.index, self.state_machine.snapshot())
        self.assertEqual(
            self.state_machine.quarantine(), restored.quarantine()
        )
