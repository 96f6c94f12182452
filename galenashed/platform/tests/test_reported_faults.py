"""What operators of similar systems have reported, tried on the nodes.

The same faults are tried on the entry daemon in ``galenashed/tests``, and the
planned stop under load in ``test_shutdown.py``.
"""

import asyncio
import time

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

TIME_LIMIT_SECONDS = 6.0
# The most by which an answer may come after the time limit.
LATE_SECONDS = 0.5
# Status that tells that a request was not run.
NOT_RUN = 503


class RepeatingTarget(_site.Target):
    """Sends a second copy of each response a moment later."""

    copy_after_seconds = 0.05

    async def send_response(self, writer, status, headers, body, **options):
        await super().send_response(writer, status, headers, body, **options)
        if status == 200:
            await asyncio.sleep(self.copy_after_seconds)
            await super().send_response(writer, status, headers, body)


class LateRepeatingTarget(RepeatingTarget):
    """Sends the copy only when the next request has arrived."""

    def __init__(self, **options):
        super().__init__(**options)
        self.copies = {}

    async def send_response(self, writer, status, headers, body, **options):
        copy = self.copies.pop(writer, None)
        if copy is not None:
            await _site.Target.send_response(self, writer, 200, *copy)
        await _site.Target.send_response(
            self, writer, status, headers, body, **options
        )
        if status == 200:
            self.copies[writer] = (headers, body)


class TricklingTarget(_site.Target):
    """Sends a byte of its first event now and then, without an end."""

    async def send_events(self, writer, headers):
        head = self.response_head(200, headers)
        head += "Content-Type: text/event-stream\r\n"
        head += "Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode() + b"4\r\nid: \r\n")
        try:
            while not writer.transport.is_closing():
                writer.write(b"1\r\n1\r\n")
                await writer.drain()
                await asyncio.sleep(0.2)
        finally:
            self.cancelled_streams += 1
        return False


class ForgetfulTarget(_site.Target):
    """Runs each request and closes the connection without an answer."""

    async def run(self, writer, headers, body):
        return False


class ReportedFaultsTestCase(testtools.TestCase):
    """A site without targets."""

    def setUp(self):
        super().setUp()
        self.site = _site.Site(
            prepaid=1_000_000, time_limit=TIME_LIMIT_SECONDS
        )
        self.addCleanup(self.site.close)
        self.site.__enter__()

    def wait_for_target(self, path, node=0, **options):
        _fleet.wait_for(
            lambda: self.site.call(path, node=node, **options).status == 200,
            "the target",
        )

    def ids(self, target):
        return [
            headers["x-attempt-id"] for _, _, headers, _ in target.executions
        ]


class TestAnswers(ReportedFaultsTestCase):
    """Answers that come twice, late, slowly, bit by bit, or not at all."""

    def check_copies(self, target_class):
        self.site.add_target("app", target_class=target_class)
        self.wait_for_target("/o/x")
        failed = 0
        for number in range(40):
            body = b"own-%d" % number
            response = self.site.call("/l/x", body=body)
            if response.status == 200:
                self.assertEqual(b"ran:" + body, response.body)
            else:
                failed += 1
        # An answer that can't be told from a copy is no answer.
        self.assertLess(failed, 40)

    def test_second_copy_of_an_answer_reaches_no_other_caller(self):
        self.check_copies(RepeatingTarget)

    def test_copy_that_comes_with_the_next_answer_reaches_no_caller(self):
        self.check_copies(LateRepeatingTarget)

    def test_slow_but_sound_stream_is_not_cut(self):
        self.site.add_target("engines")
        _fleet.wait_for(
            lambda: self.site.generate().status == 200, "the target"
        )
        # Ten events over most of the time limit.
        response = self.site.generate(
            X_Delay="0.5", X_Deadline_Ms=str(int(1000 * TIME_LIMIT_SECONDS))
        )
        self.assertEqual(200, response.status)
        self.assertIn(b"id: 10\n", response.body)

    def test_stream_that_sends_a_byte_now_and_then_ends(self):
        target = self.site.add_target("engines", target_class=TricklingTarget)
        # A request is refused before the version of the target is on record.
        _fleet.wait_for(
            lambda: self.send_trickling() != NOT_RUN, "a request that may run"
        )
        _fleet.wait_for(lambda: target.executions, "the target")
        begun_at = time.monotonic()
        self.send_trickling()
        took = time.monotonic() - begun_at
        self.assertLess(took, TIME_LIMIT_SECONDS + LATE_SECONDS)
        _fleet.wait_for(
            lambda: target.cancelled_streams == len(target.executions),
            "the target to stop",
        )

    def send_trickling(self):
        """Returns the outcome of a request, also of one that is cut."""
        try:
            return self.site.generate(
                X_Deadline_Ms=str(int(1000 * TIME_LIMIT_SECONDS))
            ).status
        except Exception as exc:
            return exc

    def test_call_whose_answer_is_lost_is_not_run_again(self):
        self.site.add_target("app", target_class=ForgetfulTarget)
        target = self.site.add_target("app", target_class=ForgetfulTarget)
        _fleet.wait_for(
            lambda: self.site.call("/o/x").status != NOT_RUN, "the targets"
        )
        statuses = [
            self.site.call("/o/x", X_Attempt_Id=f"order-{n}").status
            for n in range(10)
        ]
        ran = [
            name
            for item in self.site.targets
            for name in self.ids(item)
            if name.startswith("order-")
        ]
        self.assertEqual(len(set(ran)), len(ran))
        for number, status in enumerate(statuses):
            if f"order-{number}" in ran:
                self.assertNotEqual(NOT_RUN, status)
                self.assertNotIn(status, (408, 421, 429))
        self.assertIsNotNone(target)


class TestRestarts(ReportedFaultsTestCase):
    """What was withdrawn stays withdrawn after processes start again."""

    def test_left_target_and_withdrawn_key_are_not_used_again(self):
        left = self.site.add_target("app")
        stays = self.site.add_target("app")
        for node in range(4):
            self.wait_for_target("/l/x", node=node)
        left.state = "draining"
        self.site.announce(left)
        tenants = [
            {
                "name": _site.TEAM,
                "apiKeys": ["another-key"],
                "prepaid": self.site.prepaid,
            }
        ]
        self.assertEqual(200, self.site.put_configuration(tenants=tenants))
        _fleet.wait_for(
            lambda: all(
                self.site.call("/l/x", node=node).status == 401
                for node in range(4)
            ),
            "the key to be withdrawn",
        )
        left.executions.clear()
        self.site.targets.remove(left)
        self.site.lose_power()
        self.site.start_again()
        for node in range(4):
            self.site.wait_until_ready(node)
        stays.executions.clear()
        refused = 0
        for number in range(40):
            node = number % 4
            status = self.site.call("/l/x", node=node).status
            refused += status in (401, 503)
            self.site.call("/l/x", node=node, Api_Key="another-key")
        self.assertEqual(40, refused)
        self.assertEqual([], left.executions)
        self.assertNotEqual([], stays.executions)
        self.site.targets.append(left)
