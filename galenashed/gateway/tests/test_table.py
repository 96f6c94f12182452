"""Lookups in a routing table, and its validation."""

import collections

import testtools

from galenashed.gateway import _table
from galenashed.protocol import routes as wire


def route(name, prefix, *, host="depot.example", shares=(("app", 1),)):
    return wire.Route(
        name=name,
        host=host,
        prefix=prefix,
        kind=wire.RouteKind.IDEMPOTENT,
        shares=[wire.WeightedService(service=s, weight=w) for s, w in shares],
        time_limit=1.0,
    )


def table(*routes, teams=(), services=("app", "other")):
    return wire.RoutingTable(
        version=1,
        routes=list(routes),
        services=[wire.RoutedService(name=name) for name in services],
        teams=list(teams),
    )


class TestRouting(testtools.TestCase):
    """Lookup of routes, teams and weighted services."""

    def match(self, index, path, host="depot.example"):
        found = index.match(host, path)
        return None if found is None else found.name

    def test_longest_prefix_wins(self):
        index = _table.RouteIndex(
            table=table(
                route("all", "/"), route("a", "/a/"), route("ab", "/a/b/")
            )
        )
        self.assertEqual("ab", self.match(index, "/a/b/c"))
        self.assertEqual("a", self.match(index, "/a/bc"))
        self.assertEqual("a", self.match(index, "/a/"))
        self.assertEqual("all", self.match(index, "/a"))
        self.assertIsNone(self.match(index, "/a/b/c", host="x.example"))

    def test_no_route(self):
        index = _table.RouteIndex(table=table(route("a", "/a/")))
        self.assertIsNone(self.match(index, "/b/"))
        self.assertIsNone(self.match(index, "a"))

    def test_shares_follow_the_weights(self):
        weighted_route = route("r", "/", shares=(("app", 90), ("other", 10)))
        counts = collections.Counter(
            _table.select_service(weighted_route, f"request-{n}")
            for n in range(5000)
        )
        self.assertTrue(400 < counts["other"] < 600, counts)

    def test_service_of_weight_zero_gets_nothing(self):
        weighted_route = route("r", "/", shares=(("app", 0), ("other", 1)))
        found = {
            _table.select_service(weighted_route, str(n)) for n in range(100)
        }
        self.assertEqual({"other"}, found)

    def test_team_by_key(self):
        team = wire.RoutedTeam(
            name="rounds", key_hashes=[_table.hash_key("k1")]
        )
        index = _table.RouteIndex(table=table(teams=[team]))
        self.assertEqual(team, index.team_for_key("k1"))
        self.assertIsNone(index.team_for_key("k2"))


class TestFindErrors(testtools.TestCase):
    """Validation reports all errors of a table at once."""

    def errors(self, *routes, teams=()):
        return wire.find_errors(table(*routes, teams=teams))

    def test_valid_table_has_no_errors(self):
        self.assertEqual([], self.errors(route("a", "/a/")))

    def test_all_errors_are_reported_together(self):
        bad = wire.Route(
            name="b",
            host="depot.example",
            prefix="/a/",
            kind=wire.RouteKind.STREAM,
            shares=[wire.WeightedService(service="none", weight=0)],
            time_limit=0.0,
        )
        found = " ".join(self.errors(route("a", "/a/"), bad))
        for word in ("unknown service", "weights", "time limit", "prefix"):
            self.assertIn(word, found)

    def test_shared_key(self):
        teams = [
            wire.RoutedTeam(name=name, key_hashes=["same"])
            for name in ("rounds", "roster")
        ]
        self.assertIn("shares a key", self.errors(teams=teams)[0])
