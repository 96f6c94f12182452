"""What a caller is told when the time limit of its request passes."""

import asyncio

import testtools

from galenashed.gateway.tests import _fixture
from galenashed.protocol import routes
from galenashed import web


class TestTimeLimit(testtools.TestCase):
    """Guards against 504, which forbids a repeat, for what has not run."""

    def test_request_that_was_never_sent_may_be_repeated(self):
        error = asyncio.run(self.run_request(connects=False))
        self.assertEqual(503, error.status)
        self.assertEqual(web.ExecutionStatus.NOT_RUN, error.execution_status)
        self.assertIsNotNone(error.retry_after)

    def test_request_that_was_sent_may_have_run(self):
        error = asyncio.run(self.run_request(connects=True))
        self.assertEqual(504, error.status)
        self.assertEqual(web.ExecutionStatus.UNKNOWN, error.execution_status)

    async def run_request(self, *, connects):
        fixture = _fixture.Fixture(
            kind=routes.RouteKind.AT_MOST_ONCE, time_limit=0.2
        )
        await fixture.add(_fixture.Target(b""))
        if not connects:
            fixture.pool.acquire = self.wait_forever
        try:
            await fixture.handle(_fixture.ResponseWriter())
        except web.ApiError as exc:
            return exc
        finally:
            await fixture.close()

    async def wait_forever(self, address, *, new_connection):
        """Stands for a machine that is cut off: no connection opens."""
        await asyncio.Event().wait()
