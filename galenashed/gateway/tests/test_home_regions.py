"""Requests whose route or team has home regions stay there.

Guards against requests that leave their regions, above all when no target or
entry there can serve them.
"""

import asyncio

import testtools

from galenashed.gateway import _regions
from galenashed.gateway.tests import _fixture
from galenashed.protocol import routes
from galenashed import web

REGIONS = {"east": "north", "west": "south"}
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


def make_team(*home_regions):
    return routes.RoutedTeam(
        name="t", key_hashes=[], home_regions=list(home_regions)
    )


class Peers(_fixture.Peers):
    def __init__(self):
        self.asked = []

    def entries_with_path(self, service, regions):
        self.asked.append(regions)
        return []


class TestHomeRegions(testtools.TestCase):
    async def serve(self, *, domains, home=(), team=None, lost=False):
        """Returns the domains whose targets got a request, and the error."""
        fixture = _fixture.Fixture(
            kind=routes.RouteKind.IDEMPOTENT,
            time_limit=5.0,
            home_regions=home,
            regions_by_domain=REGIONS,
        )
        peers = Peers()
        fixture.gateway._forwarder.peers = peers
        targets = []
        for domain in domains:
            target = _fixture.Target(ANSWER)
            target.may_answer.set()
            targets.append(target)
            await fixture.add(target, domain=domain)
        if lost:
            fixture.gateway.paths.lost = frozenset({"s"})
        error = None
        for _ in range(8):
            try:
                await fixture.handle(_fixture.ResponseWriter(), team=team)
            except web.ApiError as exc:
                error = exc
        await fixture.close()
        used = [target for target in targets if target.requests]
        await _fixture.wait_until(lambda: all(t.closed_at for t in used))
        await asyncio.sleep(0)
        self.asked = set(peers.asked)
        return {
            domain
            for domain, target in zip(domains, targets, strict=True)
            if target.requests
        }, error

    def run_all(self, **options):
        return asyncio.run(self.serve(**options))

    def test_without_home_regions_any_target_is_used(self):
        domains, error = self.run_all(domains=["west"], team=make_team())
        self.assertEqual(({"west"}, None), (domains, error))

    def test_only_targets_of_home_regions_are_used(self):
        both = ["east", "west"]
        for home, team, used in (
            (["south"], None, {"west"}),
            ([], make_team("south"), {"west"}),
            (["north", "south"], make_team("south"), {"west"}),
            (["south"], make_team("south", "north"), {"west"}),
        ):
            domains, error = self.run_all(domains=both, home=home, team=team)
            self.assertEqual((used, None), (domains, error))

    def test_request_without_a_target_at_home_is_refused(self):
        for home, team in (
            (["south"], None),
            (["south"], make_team("north")),
            ([], make_team("nowhere")),
        ):
            # The region of the second domain is not known.
            domains, error = self.run_all(
                domains=["east", "unknown"], home=home, team=team
            )
            self.assertEqual(set(), domains)
            self.assertEqual(503, error.status)
            self.assertEqual(
                web.ExecutionStatus.NOT_RUN, error.execution_status
            )
            self.assertIn("home regions", error.message)
            self.assertGreater(error.retry_after, 0)

    def test_body_is_forwarded_to_home_regions_only(self):
        for home, team, asked in (
            ([], None, None),
            (["south"], None, frozenset({"south"})),
            (["north", "south"], make_team("south"), frozenset({"south"})),
            (["north"], make_team("south"), frozenset()),
        ):
            _, error = self.run_all(
                domains=["east"], home=home, team=team, lost=True
            )
            self.assertEqual(503, error.status)
            self.assertEqual({asked}, self.asked)

    def test_regions_of_route_and_team(self):
        route = routes.Route(
            name="r",
            host="h",
            prefix="/",
            kind=routes.RouteKind.STREAM,
            shares=[],
            time_limit=1.0,
            home_regions=["a", "b"],
        )
        find = _regions.find_home_regions
        self.assertEqual({"a", "b"}, find(route, make_team()))
        self.assertEqual({"b"}, find(route, make_team("b", "c")))
        self.assertEqual(set(), find(route, make_team("c")))
