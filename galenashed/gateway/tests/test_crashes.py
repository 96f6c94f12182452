"""What a gateway takes for a crash of a target under a request."""

import asyncio

import testtools

from galenashed.gateway.tests import _fixture
from galenashed.protocol import routes

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
CHUNKLESS = HEAD[:-2] + b"content-length: %d\r\n\r\n"
EVENT = b"id: 1\ndata: x\n\n"


class BreakingTarget(_fixture.Target):
    """Sends ``first`` and closes the connection; a crash closes all."""

    def __init__(self, first, *, crashes):
        super().__init__(first)
        self.crashes = crashes
        self.also_closed = None

    async def send_pieces(self, writer):
        await writer.drain()
        if self.crashes:
            self.server.close()
        if self.also_closed is not None:
            self.also_closed.server.close()
        raise ConnectionError


class TestCrashReports(testtools.TestCase):
    """Requests that are lost with a target, or with a connection only."""

    def relay(self, first, *, crashes, loses_path=False, all_refuse=False):
        """Returns the requests that reached another target, and suspects.

        With ``loses_path``, this entry reaches no target from then on, but
        another one does.
        """

        async def run():
            fixture = _fixture.Fixture(
                kind=routes.RouteKind.STREAM,
                resumable=True,
                time_limit=_fixture.TIME_LIMIT_SECONDS,
            )
            other = _fixture.Target(HEAD + EVENT)
            target = BreakingTarget(first, crashes=crashes)
            if all_refuse:
                fixture.peers.reaches_targets = loses_path
                target.also_closed = other
            try:
                task = await fixture.start_request(
                    _fixture.ResponseWriter(), target, other
                )
                # The other target answers, and so would clear the suspects.
                fixture.gateway.quarantine.on_answer_complete = lambda req: (
                    None
                )
                async with asyncio.timeout(_fixture.TIME_LIMIT_SECONDS):
                    while not task.done() and not other.requests:
                        await asyncio.sleep(0.01)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
            finally:
                await fixture.close()
            quarantine = fixture.control.state_machine.quarantine()
            return len(other.requests), quarantine.suspected

        return asyncio.run(run())

    def test_crash_before_the_answer_is_repeated_and_reported(self):
        repeats, suspected = self.relay(b"", crashes=True)
        self.assertEqual(1, repeats)
        self.assertEqual(1, len(suspected))

    def test_crash_under_a_begun_answer_is_reported_and_not_repeated(self):
        repeats, suspected = self.relay(HEAD, crashes=True)
        self.assertEqual(0, repeats)
        self.assertEqual(1, len(suspected))

    def test_crash_after_events_is_reported_and_the_stream_continued(self):
        for first in (HEAD + EVENT, HEAD + EVENT + b"id"):
            repeats, suspected = self.relay(first, crashes=True)
            self.assertEqual(1, repeats)
            self.assertEqual(1, len(suspected))

    def test_loss_of_the_path_to_all_targets_is_not_reported(self):
        for first in (b"", HEAD):
            repeats, suspected = self.relay(
                first, crashes=True, all_refuse=True, loses_path=True
            )
            self.assertEqual(0, repeats)
            self.assertEqual([], suspected)

    def test_loss_of_the_path_after_an_event_is_not_reported(self):
        _, suspected = self.relay(
            HEAD + EVENT, crashes=True, all_refuse=True, loses_path=True
        )
        self.assertEqual([], suspected)

    def test_crash_is_reported_if_no_entry_reaches_any_target(self):
        _, suspected = self.relay(HEAD, crashes=True, all_refuse=True)
        self.assertEqual(1, len(suspected))

    def test_lost_connection_to_a_running_target_is_not_reported(self):
        for first in (b"", HEAD, HEAD + EVENT + b"id"):
            repeats, suspected = self.relay(first, crashes=False)
            self.assertEqual(1, repeats)
            self.assertEqual([], suspected)


class TestWholeAnswers(testtools.TestCase):
    """Which answers prove that their requests crash no target."""

    def relay(self, first, other_answer):
        """Returns whether the end of an answer has cleared its request."""

        async def run():
            fixture = _fixture.Fixture(
                kind=routes.RouteKind.STREAM,
                resumable=True,
                time_limit=_fixture.TIME_LIMIT_SECONDS,
            )
            cleared = []
            fixture.gateway.quarantine.on_answer_complete = cleared.append
            target = BreakingTarget(first, crashes=True)
            try:
                await (
                    await fixture.start_request(
                        _fixture.ResponseWriter(),
                        target,
                        _fixture.Target(other_answer),
                    )
                )
            finally:
                await fixture.close()
            return bool(cleared)

        return asyncio.run(run())

    def test_rest_of_a_stream_proves_nothing(self):
        """A target may crash at an event that the rest does not reach."""
        for rest in (b"", EVENT, 2 * EVENT):
            answer = CHUNKLESS % len(rest) + rest
            self.assertFalse(self.relay(HEAD + 2 * EVENT, answer))

    def test_longer_rest_of_a_stream_is_a_proof(self):
        answer = CHUNKLESS % (2 * len(EVENT)) + 2 * EVENT
        self.assertTrue(self.relay(HEAD + EVENT, answer))
