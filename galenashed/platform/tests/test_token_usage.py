"""Requests that do not name their tokens.

Guards against teams that get more than their prepaid tokens because requests
without the header for them are served and not billed.
"""

import testtools

from galenashed.platform.tests import _site
from galenashed.tests import _fleet

FREE_TEAM = "guests"
FREE_KEY = "key-of-the-guests"


class TestTokenUsage(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.site = _site.Site(nodes=2, replicas=1, tolerance=0)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        self.engine = self.site.add_target("engines")
        self.site.add_target("app")
        _fleet.wait_for(
            lambda: (
                self.site.generate().status == 200
                and self.site.call("/o/x").status == 200
            ),
            "targets",
        )

    def test_model_request_of_a_prepaid_team_is_refused(self):
        self.engine.executions.clear()
        for path in ("/g/x", "/n/x"):
            for node in range(2):
                response = self.site.generate(path, node=node, tokens=None)
                self.assertEqual(400, response.status)
                code = response.json()["error"]["code"]
                self.assertEqual("token_usage_required", code)
        self.assertEqual([], self.engine.executions)

    def test_request_to_a_plain_service_needs_no_tokens(self):
        self.assertEqual(200, self.site.call("/o/x").status)

    def test_team_without_a_prepaid_total_need_not_name_its_tokens(self):
        tenants = self.site.configuration()["tenants"]
        free = {"name": FREE_TEAM, "apiKeys": [FREE_KEY]}
        self.site.put_configuration(tenants=[*tenants, free])
        _fleet.wait_for(
            lambda: (
                self.site.generate(tokens=None, Api_Key=FREE_KEY).status == 200
            ),
            "the team",
        )
