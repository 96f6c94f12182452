"""Messages of the routing table: what callers may ask for and who runs it.

A table is whole: one with a higher version replaces all of the one before
it.  Times are in seconds, amounts in whole tokens.
"""

import enum

import msgspec


class Kind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


class Share(msgspec.Struct, frozen=True, kw_only=True):
    """A service's part of a route's requests, relative to the others."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host whose path begins with ``prefix``.

    ``time_limit`` bounds the whole request, ``objective`` is within what
    time an answer, or a stream's first event, is worth most, ``max_pause``
    the longest pause between two events.  At most ``max_targets`` targets
    run one request.  Lower ``priority`` goes first.  With ``keyless`` no
    key is asked for.  A ``resumable`` stream may go on at another target.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: list[Share]
    time_limit: float
    objective: float = 1.0
    max_pause: float = 0.0
    priority: int = 0
    max_targets: int = 1
    keyless: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind is Kind.IDEMPOTENT


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of the model engines of a service.

    ``memory`` is what running requests and cached prompts share, in tokens.
    """

    slots: int = 0
    memory: int = 0
    tokens_per_event: int = 1


class RoutedService(msgspec.Struct, frozen=True, kw_only=True):
    """A group of equal targets; ``engine`` if they generate tokens."""

    name: str
    health_path: str = "/"
    max_connections: int = 0
    engine: Engine | None = None


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how slowly."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


class KeyedTeam(msgspec.Struct, frozen=True, kw_only=True):
    """A team with the SHA-256 of its keys, in hexadecimal.

    ``priority`` goes before that of the route; ``prepaid`` is all that the
    team may use, None if it may use as much as it likes.
    """

    name: str
    key_hashes: list[str]
    priority: int | None = None
    prepaid: int | None = None


class RoutingTable(msgspec.Struct, frozen=True, kw_only=True):
    """All that is in force; version 0 is the empty table."""

    version: int = 0
    routes: list[Route] = []
    services: list[RoutedService] = []
    limits: CallerLimits = CallerLimits()
    teams: list[KeyedTeam] = []


def find_errors(table: RoutingTable) -> list[str]:
    """Returns what keeps a table from being put in force.

    Example::

        assert find_errors(RoutingTable(version=1)) == []
    """
    findings = []
    if table.version < 1:
        findings.append(f"version: {table.version}; allowed: 1 and more")
    services = {service.name for service in table.services}
    places: set[tuple[str, str]] = set()
    for route in table.routes:
        findings += _route_faults(route, services)
        place = (route.host, route.prefix)
        if place in places:
            findings.append(
                f"route {route.name!r}: another route has host"
                f" {route.host!r} and prefix {route.prefix!r}"
            )
        places.add(place)
    owners: dict[str, str] = {}
    for team in table.teams:
        for key_hash in team.key_hashes:
            owner = owners.setdefault(key_hash, team.name)
            if owner != team.name:
                findings.append(
                    f"team {team.name!r}: shares a key with {owner!r}"
                )
    return findings


def _route_faults(route: Route, services: set[str]) -> list[str]:
    found = []
    for share in route.shares:
        if share.service not in services:
            found.append(f"unknown service {share.service!r}")
        if share.weight < 0:
            found.append(f"weight: {share.weight}; allowed: 0 and more")
    if sum(share.weight for share in route.shares) <= 0:
        found.append("the weights add up to 0")
    if route.time_limit <= 0:
        found.append(f"time limit: {route.time_limit} s; allowed: over 0")
    return [f"route {route.name!r}: {text}" for text in found]
