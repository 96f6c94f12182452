"""Reports of crashes, and what an entry refuses because of them."""

import asyncio

import testtools

from galenashed.protocol import control as wire
from galenashed import quarantine
from galenashed.quarantine import _crash_reports
from galenashed.quarantine import _quarantine
from galenashed.quarantine.tests import _fixture
from galenashed import web


class Request:
    def __init__(self, part_ids, body):
        self.id = "r"
        self.part_ids = part_ids
        self.digest = f"{part_ids} {body}"


def make_request(*parts, body=b""):
    return Request(parts, body)


class QuarantineTestCase(testtools.TestCase):
    """Entries that share a control replica."""

    def run_test(self, scenario):
        async def run():
            self.control = _fixture.Control()
            self.entries = [
                _fixture.make_quarantine(self.control) for _ in range(2)
            ]
            try:
                await scenario(*self.entries)
            finally:
                for entry in self.entries:
                    await entry.close()

        asyncio.run(run())

    async def report(self, entry, target, request, *, begun=True, known=None):
        """Reports a crash at the head of an answer, or else before it."""
        answer = quarantine.AnswerState.NONE
        if begun:
            answer = quarantine.AnswerState.JUST_BEGUN
        await entry.report_crash(
            request,
            target,
            answer=answer,
            known=entry.index if known is None else known,
        )

    def feed(self):
        for entry in self.entries:
            entry.apply(self.control.state_machine.quarantine())

    def is_quarantined(self, entry, *parts, body=b""):
        request = make_request(*parts, body=body)
        return entry.find_quarantined(request) is not None

    async def crash_twice(self, first, second):
        await self.report(first, "t1", make_request("a", "x", body=b"1"))
        self.feed()
        await self.report(second, "t2", make_request("b", "x", body=b"2"))
        self.feed()


class TestQuarantine(QuarantineTestCase):
    """Crashes at the head of answers, or before it."""

    def test_part_is_refused_by_every_entry(self):
        async def scenario(first, second):
            await self.crash_twice(first, second)
            for entry in self.entries:
                self.assertTrue(self.is_quarantined(entry, "c", "x"))
                self.assertFalse(self.is_quarantined(entry, "a", "c"))

        self.run_test(scenario)

    def test_last_part_is_not_a_suspect_of_its_own(self):
        async def scenario(first, second):
            await self.report(first, "t1", make_request(body=b"1"))
            await self.report(first, "t2", make_request(body=b"2"))
            self.assertFalse(self.is_quarantined(first, body=b"3"))

        self.run_test(scenario)

    def test_repeat_of_a_request_that_crashed_three_targets(self):
        async def scenario(first, second):
            for target in ("t1", "t2", "t3"):
                await self.report(first, target, make_request(body=b"1"))
            self.feed()
            self.assertTrue(self.is_quarantined(second, body=b"1"))
            self.assertFalse(self.is_quarantined(second, body=b"2"))

        self.run_test(scenario)

    def test_answer_clears_its_parts_everywhere(self):
        async def scenario(first, second):
            await self.report(first, "t1", make_request("a", "x", body=b"1"))
            self.feed()
            second.on_answer_complete(make_request("a", body=b"2"))
            await asyncio.sleep(0.01)
            suspected = self.control.state_machine.quarantine().suspected
            self.assertIn("part:x", suspected)
            self.assertNotIn("part:a", suspected)

        self.run_test(scenario)

    def test_entry_that_is_cut_off_counts_what_it_saw(self):
        async def scenario(first, second):
            self.control.reachable = False
            await self.report(first, "t1", make_request("x", body=b"1"))
            self.assertFalse(self.is_quarantined(first, "x"))
            await self.report(first, "t2", make_request("x", body=b"2"))
            self.assertTrue(self.is_quarantined(first, "x"))
            self.assertFalse(self.is_quarantined(second, "x"))

        self.run_test(scenario)

    def test_crash_that_the_feed_shows_before_the_reply_counts_once(self):
        async def scenario(first, second):
            self.control.reply_seconds = 0.1
            report = asyncio.create_task(
                self.report(first, "t1", make_request("x", body=b"1"))
            )
            while not self.control.state_machine.quarantine().suspected:
                await asyncio.sleep(0.01)
            self.feed()
            self.assertFalse(self.is_quarantined(first, "x"))
            await report

        self.run_test(scenario)

    def test_entry_that_is_cut_off_adds_to_what_it_knew(self):
        async def scenario(first, second):
            await self.report(second, "t1", make_request("x", body=b"1"))
            self.feed()
            self.control.reachable = False
            await self.report(first, "t2", make_request("x", body=b"2"))
            self.assertTrue(self.is_quarantined(first, "x"))

        self.run_test(scenario)

    def test_entry_that_is_cut_off_takes_an_answer_as_proof(self):
        async def scenario(first, second):
            self.control.reachable = False
            for number in range(2):
                await self.report(
                    first, f"t{number}", make_request("a", body=b"%d" % number)
                )
            self.assertTrue(self.is_quarantined(first, "a"))
            first.on_answer_complete(make_request("a", body=b"3"))
            self.assertFalse(self.is_quarantined(first, "a"))

        self.run_test(scenario)

    def test_targets_that_fail_together_at_an_entry_that_is_cut_off(self):
        async def scenario(first, second):
            self.control.reachable = False
            for number in range(9):
                await self.report(
                    first,
                    f"t{number}",
                    make_request("a", body=b"%d" % number),
                    begun=False,
                )
            self.assertFalse(self.is_quarantined(first, "a"))

        self.run_test(scenario)

    def test_report_is_repeated_until_control_answers(self):
        async def scenario(first, second):
            self.control.reachable = False
            await self.report(first, "t1", make_request("x"))
            self.control.reachable = True
            async with asyncio.timeout(5.0):
                while not self.control.state_machine.quarantine().suspected:
                    await asyncio.sleep(0.02)

        self.run_test(scenario)

    def test_requests_that_waited_at_one_target_are_reported_in_part(self):
        async def scenario(first, second):
            for number in range(50):
                await self.report(
                    first,
                    "t1",
                    make_request(body=b"%d" % number),
                    begun=False,
                )
            self.assertLess(self.control.index, 20)

        self.run_test(scenario)

    def test_request_lost_among_many_at_each_crash_is_reported(self):
        async def scenario(first, second):
            culprit = make_request(body=b"culprit")
            for crash in range(4):
                for number in range(20):
                    await self.report(
                        first,
                        f"t{crash}",
                        make_request(body=b"%d" % (100 * crash + number)),
                        begun=False,
                    )
                await self.report(first, f"t{crash}", culprit, begun=False)
                self.feed()
            self.assertTrue(self.is_quarantined(second, body=b"culprit"))

        self.run_test(scenario)

    def test_entry_that_is_cut_off_counts_crashes_without_a_head(self):
        async def scenario(first, second):
            self.control.reachable = False
            for crash in range(3):
                self.assertFalse(self.is_quarantined(first, body=b"1"))
                await self.report(
                    first, f"t{crash}", make_request(body=b"1"), begun=False
                )
            self.assertTrue(self.is_quarantined(first, body=b"1"))
            self.assertFalse(self.is_quarantined(first, body=b"2"))

        self.run_test(scenario)

    def test_crash_that_the_feed_has_not_told_refuses_the_request(self):
        async def scenario(first, second):
            request = make_request(body=b"1")
            await self.report(first, "t1", request)
            self.feed()
            await first.admit_suspected(request, executed=False)
            for target in ("t2", "t3"):
                await self.report(second, target, request)
            self.assertFalse(self.is_quarantined(first, body=b"1"))
            with testtools.ExpectedException(web.ApiError):
                await first.admit_suspected(request, executed=False)

        self.run_test(scenario)

    def test_suspected_request_waits_for_its_own_report(self):
        async def scenario(first, second):
            request = make_request(body=b"1")
            for target in ("t1", "t2"):
                await self.report(second, target, request)
            self.control.reachable = False
            await self.report(first, "t3", request)
            self.control.reachable = True
            with testtools.ExpectedException(web.ApiError):
                await first.admit_suspected(request, executed=True)
            quarantined = self.control.state_machine.quarantine().quarantined
            self.assertEqual(1, len(quarantined))

        self.run_test(scenario)

    def test_suspected_request_is_not_admitted_without_control(self):
        async def scenario(first, second):
            request = make_request(body=b"1")
            await self.report(first, "t1", request)
            self.control.reachable = False
            with testtools.ExpectedException(web.ApiError):
                await first.admit_suspected(request, executed=False)

        self.run_test(scenario)

    def test_quarantine_that_the_feed_tells_while_control_is_asked(self):
        async def scenario(first, second):
            request = make_request(body=b"1")
            for target in ("t1", "t2"):
                await self.report(first, target, request)
            await self.report(second, "t3", request)
            self.control.reachable = False
            self.control.unreachable_seconds = 0.02
            asking = asyncio.create_task(
                first.admit_suspected(request, executed=False)
            )
            await asyncio.sleep(0.01)
            self.feed()
            try:
                await asking
            except web.ApiError as exc:
                self.assertEqual(422, exc.status)
                return
            self.fail("the request is admitted")

        self.run_test(scenario)

    async def wait_until_trial_is_due(self):
        self.control.now += 60.0
        await self.control.propose(wire.Barrier(), timeout=1.0)
        self.feed()

    async def begin_trials(self, count):
        """Returns how many of the requests may run."""
        trials = [
            entry.begin_trial(make_request("c", "x", body=b"%d" % number))
            for number in range(count)
            for entry in self.entries
        ]
        return sum(await asyncio.gather(*trials))

    def test_one_of_many_requests_runs_as_a_trial(self):
        async def scenario(first, second):
            await self.crash_twice(first, second)
            self.assertEqual(0, await self.begin_trials(5))
            await self.wait_until_trial_is_due()
            self.assertEqual(1, await self.begin_trials(5))
            self.feed()
            self.assertEqual(0, await self.begin_trials(5))
            self.assertTrue(self.is_quarantined(first, "c", "x"))

        self.run_test(scenario)

    def test_answer_in_a_trial_ends_the_quarantine(self):
        async def scenario(first, second):
            await self.crash_twice(first, second)
            await self.wait_until_trial_is_due()
            request = make_request("c", "x")
            self.assertTrue(await first.begin_trial(request))
            first.on_answer_complete(request)
            await asyncio.sleep(0.01)
            self.feed()
            self.assertFalse(self.is_quarantined(second, "c", "x"))

        self.run_test(scenario)

    def test_no_trial_without_control(self):
        async def scenario(first, second):
            await self.crash_twice(first, second)
            await self.wait_until_trial_is_due()
            self.control.reachable = False
            self.assertEqual(0, await self.begin_trials(5))

        self.run_test(scenario)

    def test_older_list_is_ignored(self):
        async def scenario(first, second):
            older = self.control.state_machine.quarantine()
            await self.crash_twice(first, second)
            first.apply(older)
            self.assertTrue(self.is_quarantined(first, "x"))

        self.run_test(scenario)

    def test_long_ids_of_parts_are_stored_in_short(self):
        """Guards against ids of parts that fill the replicated state."""

        async def scenario(first, second):
            part = "x" * 8000
            await self.report(first, "t1", make_request("a", part, body=b"1"))
            await self.report(first, "t2", make_request("b", part, body=b"2"))
            self.feed()
            self.assertTrue(self.is_quarantined(second, "c", part))
            self.assertFalse(self.is_quarantined(second, "c", part + "y"))
            (name,) = self.control.state_machine.quarantine().quarantined
            self.assertLessEqual(len(name), wire.MAX_PART_ID_BYTES + 5)

        self.run_test(scenario)

    def test_long_prompts_of_lost_requests_are_kept_in_part(self):
        """Guards against lost requests that fill the memory of an entry."""

        async def scenario(first, second):
            parts = [f"p{number}" for number in range(1500)]
            for number in range(200):
                await self.report(
                    first,
                    "t1",
                    make_request(*parts, body=b"%d" % number),
                    begun=False,
                )
            kept = first._unreported.part_count
            self.assertLessEqual(kept, _crash_reports.MAX_UNREPORTED_PARTS)

        self.run_test(scenario)


class TestOpenAnswers(QuarantineTestCase):
    """Targets crash while answers are open on them.

    Guards against deadly parts that are never blamed since events came before
    the crash, and against sound parts of the answers beside them.
    """

    async def lose(self, entry, target, request):
        await entry.report_crash(
            request,
            target,
            answer=quarantine.AnswerState.OPEN,
            known=entry.index,
        )
        self.feed()

    def suspected(self):
        return self.control.state_machine.quarantine().suspected

    def test_part_of_answers_that_never_end_whole(self):
        async def scenario(first, second):
            for entry in self.entries:
                entry.on_answer_complete(make_request("a", body=b"0"))
            await asyncio.sleep(_quarantine.RECENT_SECONDS)
            for number, entry in enumerate(self.entries):
                await self.lose(
                    entry,
                    f"t{number}",
                    make_request("a", "x", body=b"%d" % number),
                )
            self.assertTrue(self.is_quarantined(first, "b", "x"))
            self.assertFalse(self.is_quarantined(first, "a"))

        self.run_test(scenario)

    def test_part_with_a_recent_whole_answer_is_not_suspected(self):
        async def scenario(first, second):
            first.on_answer_complete(make_request("a", body=b"0"))
            await self.lose(first, "t1", make_request("a", "x", body=b"1"))
            self.assertNotIn("part:a", self.suspected())
            self.assertIn("part:x", self.suspected())

        self.run_test(scenario)

    def test_head_of_a_sound_request_does_not_explain_a_crash(self):
        """Some targets send heads early, so many are out at a crash."""

        async def scenario(first, second):
            first.on_answer_complete(make_request("a", body=b"0"))
            for number in range(2):
                await self.report(
                    first,
                    f"t{number}",
                    make_request("a", body=b"9%d" % number),
                )
                await self.lose(
                    first, f"t{number}", make_request("x", body=b"%d" % number)
                )
                first.on_answer_complete(make_request("a", body=b"0"))
                await asyncio.sleep(2 * _quarantine.EXPLANATION_SECONDS)
                self.feed()
            self.assertTrue(self.is_quarantined(second, "x"))
            self.assertFalse(self.is_quarantined(second, "a"))

        self.run_test(scenario)

    def test_bystander_is_not_reported_before_the_cause(self):
        async def scenario(first, second):
            deadly = make_request("a", "x", body=b"1")
            await self.lose(first, "t1", deadly)
            sound = make_request("a", body=b"2")
            await self.lose(second, "t2", sound)
            self.assertFalse(self.is_quarantined(first, "a"))
            await self.lose(first, "t2", make_request("a", "x", body=b"3"))
            await asyncio.sleep(2 * _quarantine.EXPLANATION_SECONDS)
            self.feed()
            self.assertTrue(self.is_quarantined(first, "x"))
            self.assertFalse(self.is_quarantined(first, "a"))

        self.run_test(scenario)

    def test_delay_does_not_turn_one_crash_into_two(self):
        """Guards against a sound part that all requests share, at a start.

        Control hears of the second crash a second after the first.
        """

        async def scenario(first, second):
            await self.lose(first, "t1", make_request("a", "x", body=b"1"))
            await self.lose(second, "t2", make_request("a", body=b"2"))
            await asyncio.sleep(2 * _quarantine.EXPLANATION_SECONDS)
            self.feed()
            self.assertFalse(self.is_quarantined(first, "a"))

        self.run_test(scenario)

    def test_bystander_is_reported_if_nothing_explains_the_crash(self):
        async def scenario(first, second):
            await self.lose(first, "t1", make_request("x", body=b"1"))
            await self.lose(second, "t2", make_request("a", body=b"2"))
            self.assertNotIn("part:a", self.suspected())
            await asyncio.sleep(2 * _quarantine.EXPLANATION_SECONDS)
            self.assertIn("part:a", self.suspected())

        self.run_test(scenario)

    def test_request_without_shared_parts_that_crashes_three_targets(self):
        async def scenario(first, second):
            request = make_request(body=b"1")
            for number, entry in enumerate((first, second, first)):
                await self.lose(entry, f"t{number}", request)
            self.assertTrue(self.is_quarantined(second, body=b"1"))

        self.run_test(scenario)
