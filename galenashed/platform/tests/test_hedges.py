"""Hedged requests from a caller to targets, through real processes."""

import asyncio

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

# More than the policy wants to have measured.
REQUESTS = 150
SLOW_SECONDS = 2.0
# Of a request that is answered completely.
TOKENS = 140


class Engine(_site.Target):
    """Waits for ``first_delay`` seconds before it answers."""

    first_delay = 0.0

    async def send_events(self, writer, headers):
        await asyncio.sleep(self.first_delay)
        if writer.transport.is_closing():
            self.cancelled_streams += 1
            return False
        return await super().send_events(writer, headers)


class HedgingSite(_site.Site):
    """A deployment whose settings allow hedged requests."""

    def write_settings(self, number, *, bootstrap):
        path = super().write_settings(number, bootstrap=bootstrap)
        path.write_text(path.read_text() + "hedgeRatio = 0.2\n")
        return path


class TestHedges(testtools.TestCase):
    """Guards against settings that do nothing, and against double bills."""

    def setUp(self):
        super().setUp()
        self.site = HedgingSite(nodes=3)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.answers = 0

    def test_slow_target_is_passed_over(self):
        targets = [
            self.site.add_target("engines", target_class=Engine)
            for _ in range(3)
        ]
        _fleet.wait_for(
            lambda: {self.generate().status for _ in range(9)} == {200},
            "engines",
        )
        for _ in range(REQUESTS):
            self.generate()
        targets[0].first_delay = SLOW_SECONDS
        responses = [
            self.generate(X_Prefix_Hash=f"p{number}:90,q:10")
            for number in range(12)
        ]
        self.assertEqual({200}, {item.status for item in responses})
        self.assertEqual(1, len({item.body for item in responses}))
        self.assertGreater(self.site.counter(0, "gateway.hedge_won"), 0)
        _fleet.wait_for(
            lambda: targets[0].cancelled_streams, "the end of a slow run"
        )
        _fleet.wait_for(
            lambda: self.site.balance().settled == self.answers * TOKENS,
            "bills of one run of each request",
        )

    def generate(self, **headers):
        """Sends a request, and counts it if it is answered."""
        response = self.site.generate(**headers)
        self.answers += response.status == 200
        return response
