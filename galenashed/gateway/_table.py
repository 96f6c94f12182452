"""Indexes over the current routing table."""

import hashlib

import xxhash

from galenashed.protocol import routes as wire


class RouteIndex:
    """Finds the route and the team of a request.

    Example::

        index = RouteIndex(table=table)
        route = index.match("depot.example", "/rounds/today")
    """

    __slots__ = ("_by_host_and_prefix", "_services", "_teams", "table")

    def __init__(self, *, table: wire.RoutingTable):
        self.table = table
        self._by_host_and_prefix = {
            (route.host, route.prefix): route for route in table.routes
        }
        self._services = {service.name: service for service in table.services}
        self._teams = {
            key_hash: team
            for team in table.teams
            for key_hash in team.key_hashes
        }

    @property
    def version(self) -> int:
        return self.table.version

    def match(self, host: str, path: str) -> wire.Route | None:
        """Returns the route with the longest matching path prefix."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_host_and_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def team_for_key(self, key: str) -> wire.RoutedTeam | None:
        """Returns the team that owns an API key."""
        return self._teams.get(hash_key(key))

    def service(self, name: str) -> wire.RoutedService | None:
        """Returns a service by its name."""
        return self._services.get(name)


def hash_key(key: str) -> str:
    """Returns the hexadecimal SHA-256 of an API key."""
    return hashlib.sha256(key.encode("latin-1", "replace")).hexdigest()


def services(route: wire.Route) -> list[str]:
    """Returns the services that requests of a route may go to."""
    return [share.service for share in route.shares if share.weight > 0]


def select_service(route: wire.Route, request_id: str) -> str:
    """Returns the service of a request, in proportion to the weights.

    The choice is a hash of the request id, so within one routing table a
    request always goes to the same service.
    """
    shares = [share for share in route.shares if share.weight > 0]
    if len(shares) == 1:
        return shares[0].service
    total = sum(share.weight for share in shares)
    point = xxhash.xxh64_intdigest(request_id.encode()) % total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    raise AssertionError("point is not below the total weight")
