"""Messages of the routing table, which maps requests to services.

A table is always complete: a table with a higher version replaces the
previous one entirely.  Durations are in seconds, amounts in whole tokens.
"""

import enum
import typing

import msgspec


class RouteKind(enum.Enum):
    """Retry semantics of a route's requests."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True, kw_only=True):
    """A service of a route with its relative weight."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A rule for requests to ``host`` whose path starts with ``prefix``.

    ``time_limit`` is the timeout of the whole request, ``objective`` the
    latency objective for the response or the first event of a stream, and
    ``max_pause`` the longest pause allowed between two events.  A request
    is run by at most ``max_targets`` targets.  Requests with a lower
    ``priority`` are served first.  A ``keyless`` route needs no API key.  A
    ``resumable`` stream may continue at another target.  If there are
    ``home_regions``, only targets there run its requests.  ``hedge_share`` is
    the share of the requests that may be sent to a second target while the
    first is slow; None leaves it to the settings of the instances.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: list[WeightedService]
    time_limit: float
    objective: float = 1.0
    max_pause: float = 0.0
    priority: int = 0
    max_targets: int = 1
    keyless: bool = False
    resumable: bool = False
    home_regions: list[str] = []
    hedge_share: float | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request that may already have run may be retried."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity of each model engine of a service, where it is known.

    ``slots`` is the number of requests that run at once.  ``memory`` is the
    KV cache capacity, shared by running requests and cached prompts, in
    tokens.
    """

    slots: int = 0
    memory: int = 0
    tokens_per_event: int = 1


class RoutedService(msgspec.Struct, frozen=True, kw_only=True):
    """A group of equivalent targets; ``engine`` is set for model engines.

    A target is cold for ``cold_seconds`` after its start.  It then takes
    ``cold_rate`` requests a second from all entries together.  If one of both
    is 0, targets are never cold.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    engine: Engine | None = None
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size limits and timeouts for requests from callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


class RoutedTeam(msgspec.Struct, frozen=True, kw_only=True):
    """A team with the SHA-256 hashes of its keys, in hexadecimal.

    ``priority`` takes precedence over that of the route.  ``prepaid`` is the
    total number of tokens that the team may use, None if there is no limit.
    ``home_regions`` are as those of a route; both apply.
    """

    name: str
    key_hashes: list[str]
    priority: int | None = None
    prepaid: int | None = None
    home_regions: list[str] = []


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """The complete routing table; version 0 is the empty table."""

    version: int = 0
    routes: list[Route] = []
    services: list[RoutedService] = []
    limits: CallerLimits = CallerLimits()
    teams: list[RoutedTeam] = []


# Fields and positions that lead from a table to a value in it.
Place = tuple[str | int, ...]


class TableError(typing.NamedTuple):
    """An error of a table, and the place of the value."""

    place: Place
    message: str


def find_errors(table: RoutingTable) -> list[str]:
    """Returns the errors that make a table invalid.

    Example::

        assert find_errors(RoutingTable(version=1)) == []
    """
    return [error.message for error in locate_errors(table)]


def locate_errors(table: RoutingTable) -> list[TableError]:
    """Returns the errors that make a table invalid, with their places."""
    errors = []
    if table.version < 1:
        message = f"version: {table.version}; allowed: 1 and more"
        errors.append(TableError(("version",), message))
    services = {service.name for service in table.services}
    route_matches: set[tuple[str, str]] = set()
    for number, route in enumerate(table.routes):
        place = ("routes", number)
        errors += [
            TableError(
                (*place, *error.place),
                f"route {route.name!r}: {error.message}",
            )
            for error in _locate_route_errors(route, services)
        ]
        route_match = (route.host, route.prefix)
        if route_match in route_matches:
            message = (
                f"route {route.name!r}: another route has host"
                f" {route.host!r} and prefix {route.prefix!r}"
            )
            errors.append(TableError((*place, "prefix"), message))
        route_matches.add(route_match)
    key_owners: dict[str, str] = {}
    for number, team in enumerate(table.teams):
        for position, key_hash in enumerate(team.key_hashes):
            owner = key_owners.setdefault(key_hash, team.name)
            if owner != team.name:
                message = f"team {team.name!r}: shares a key with {owner!r}"
                key_place = ("teams", number, "key_hashes", position)
                errors.append(TableError(key_place, message))
    return errors


def _locate_route_errors(route: Route, services: set[str]) -> list[TableError]:
    errors = []
    for number, share in enumerate(route.shares):
        if share.service not in services:
            message = f"unknown service {share.service!r}"
            errors.append(TableError(("shares", number, "service"), message))
        if share.weight < 0:
            message = f"weight: {share.weight}; allowed: 0 and more"
            errors.append(TableError(("shares", number, "weight"), message))
    if sum(share.weight for share in route.shares) <= 0:
        errors.append(TableError(("shares",), "the weights add up to 0"))
    if route.time_limit <= 0:
        message = f"time limit: {route.time_limit} s; allowed: over 0"
        errors.append(TableError(("time_limit",), message))
    return errors
