"""Requests whose route or team has home regions stay there.

Guards against requests that leave their regions, above all when no target or
entry there can serve them.
"""

import asyncio

import testtools

from galenashed.gateway.tests import _fixture
from galenashed.protocol import routes
from galenashed import web

REGIONS = {"east": "north", "west": "south"}
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
# Home regions of a route, of a team, and those that both allow.
CASES = (
    ([], [], None),
    (["south"], [], {"south"}),
    ([], ["south"], {"south"}),
    (["north", "south"], ["south", "other"], {"south"}),
    (["south"], ["north"], set()),
    ([], ["nowhere"], {"nowhere"}),
)


class TestHomeRegions(testtools.TestCase):
    def entries_with_path(self, service, regions):
        self.asked = regions
        return []

    async def serve(self, domains, route_regions, team_regions, lost=()):
        """Returns the domains whose targets got a request, and the error."""
        fixture = _fixture.Fixture(
            kind=routes.RouteKind.IDEMPOTENT,
            time_limit=5.0,
            home_regions=route_regions,
            regions_by_domain=REGIONS,
        )
        fixture.peers.entries_with_path = self.entries_with_path
        fixture.gateway.paths.lost = frozenset(lost)
        team = routes.RoutedTeam(
            name="t", key_hashes=[], home_regions=team_regions
        )
        used = {}
        error = None
        for domain in domains:
            target = await fixture.add(_fixture.Target(ANSWER), domain=domain)
            target.may_answer.set()
            used[domain] = target
        for _ in range(8):
            try:
                await fixture.handle(_fixture.ResponseWriter(), team=team)
            except web.ApiError as exc:
                error = exc
        await fixture.close()
        used = {
            name: target for name, target in used.items() if target.requests
        }
        await _fixture.wait_until(
            lambda: all(target.closed_at for target in used.values())
        )
        await asyncio.sleep(0)
        return set(used), error

    def test_only_targets_of_home_regions_are_used(self):
        # The region of the last domain is not known.
        domains = ["east", "west", "unknown"]
        for route_regions, team_regions, home in CASES:
            used, error = asyncio.run(
                self.serve(domains, route_regions, team_regions)
            )
            if home is None:
                # As before: the entry's own domain is preferred.
                self.assertEqual(({"east"}, None), (used, error))
            elif home == {"south"}:
                self.assertEqual(({"west"}, None), (used, error))
            else:
                self.assertEqual(set(), used)
                self.assertEqual(503, error.status)
                self.assertEqual("not run", error.execution_status.value)
                self.assertIn("home regions", error.message)
                self.assertGreater(error.retry_after, 0)

    def test_body_is_forwarded_to_home_regions_only(self):
        for route_regions, team_regions, home in CASES:
            _, error = asyncio.run(
                self.serve(["east"], route_regions, team_regions, lost={"s"})
            )
            self.assertEqual(503, error.status)
            self.assertEqual(home, self.asked)
