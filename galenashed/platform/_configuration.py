"""Routing configurations that operators send, decoded."""

import re
import typing

import msgspec

from galenashed import gateway
from galenashed.protocol import routes as wire

MILLISECONDS_PER_SECOND = 1000.0

# A "split", a term of the platform, is a service's share of a route.


class Split(msgspec.Struct, frozen=True):
    """The share of a route that one service receives."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, rename="camel"):
    """A route from a host and a path prefix to services.

    ``service`` is short for a ``split`` with a single service.  ``anonymous``
    routes require no API key.  ``home_regions`` are the only regions whose
    targets run its requests, any if empty.  ``hedge_share`` is the share of
    the requests that may be sent to a second target while the first is slow;
    the settings of the instances bound it and apply where it is missing.
    """

    name: str
    host: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    service: str | None = None
    split: list[Split] = []
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False
    max_gap_ms: float = 0.0
    home_regions: list[str] = []
    hedge_share: typing.Annotated[float, msgspec.Meta(ge=0, le=1)] | None = (
        None
    )


class Engine(msgspec.Struct, frozen=True, rename="camel"):
    """Capacity of each of a service's model engines.

    ``kv_capacity`` is that of the KV cache in tokens, ``stride`` the number
    of tokens per event.
    """

    slots: int = 0
    kv_capacity: int = 0
    stride: int = 1


class Service(msgspec.Struct, frozen=True, rename="camel"):
    """A service that runs on one or more targets.

    ``max_conns`` limits the connections to each target, from all callers
    together.  A target is cold for ``coldS`` seconds after its start, and
    then sustains ``coldPerS`` requests a second.
    """

    name: str
    health_path: str = "/"
    max_conns: int = 0
    engine: Engine | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class Limits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits for the requests and connections of callers."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


class Tenant(msgspec.Struct, frozen=True, rename="camel"):
    """A team; ``prepaid`` is the total of tokens that it may use.

    ``homeRegions`` are as those of a route; both apply.
    """

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None
    home_regions: list[str] = []


class Configuration(msgspec.Struct, frozen=True, rename="camel"):
    """A complete configuration, which replaces the previous one."""

    version: int
    routes: list[Route]
    services: list[Service]
    limits: Limits = Limits()
    tenants: list[Tenant] = []


ROUTE_KINDS = {
    "safe": wire.RouteKind.IDEMPOTENT,
    "unsafe": wire.RouteKind.AT_MOST_ONCE,
    "streaming": wire.RouteKind.STREAM,
}

# Names of a routing table's fields in the configuration, where they differ.
_SECTION_NAMES = {"teams": "tenants"}
_FIELD_NAMES = {
    "routes": {
        "prefix": "pathPrefix",
        "kind": "routeKind",
        "shares": "split",
        "time_limit": "timeoutMs",
        "objective": "targetLatencyMs",
        "max_pause": "maxGapMs",
        "max_targets": "maxAttempts",
        "keyless": "anonymous",
        "hedge_share": "hedgeShare",
    },
    "services": {
        "health_path": "healthPath",
        "max_connections": "maxConns",
    },
    "teams": {"key_hashes": "apiKeys"},
    "limits": {
        "max_header_bytes": "maxHeaderBytes",
        "max_body_bytes": "maxBodyBytes",
        "header_timeout": "headerTimeoutMs",
        "idle_timeout": "idleTimeoutMs",
    },
}
_PLACE_PART = re.compile(r"\.(\w+)|\[(\d+)\]")

_CONFIGURATION_DECODER = msgspec.json.Decoder(Configuration)


class ConfigurationError(Exception):
    """An invalid configuration.

    Parameters
    ----------
    findings : list of str
        One message for each error found.
    places : list of Place
        Where each of them is, empty if that is not known.
    """

    def __init__(self, findings: list[str], places: list[wire.Place]):
        super().__init__("; ".join(findings))
        self.findings = findings
        self.places = places


def decode_routing_table(document: bytes) -> wire.RoutingTable:
    """Returns the routing table; raises ConfigurationError if invalid."""
    return convert(decode(document))


def decode(document: bytes) -> Configuration:
    """Returns a configuration; raises ConfigurationError."""
    try:
        return _CONFIGURATION_DECODER.decode(document)
    except (msgspec.DecodeError, ValueError) as exc:
        raise ConfigurationError(
            [f"configuration: {exc}"], [_place_of_decoding(str(exc))]
        ) from None


def convert(cfg: Configuration) -> wire.RoutingTable:
    """Returns the routing table; raises ConfigurationError if invalid."""
    unreadable: list[tuple[str, wire.Place]] = [
        (
            f"route {route.name!r}: kind {route.route_kind!r}; allowed:"
            f" {', '.join(ROUTE_KINDS)}",
            ("routes", number, "routeKind"),
        )
        for number, route in enumerate(cfg.routes)
        if route.route_kind not in ROUTE_KINDS
    ]
    # Not in ``find_errors``: replicas apply it, and those of older builds
    # would accept what this one refuses.
    unreadable += [
        (
            f"service {service.name!r}: {name} {value}; allowed: 0 and more",
            ("services", number, name),
        )
        for number, service in enumerate(cfg.services)
        for name, value in (
            ("coldS", service.cold_s),
            ("coldPerS", service.cold_per_s),
        )
        if value < 0
    ]
    if unreadable:
        raise ConfigurationError(
            [message for message, _ in unreadable],
            [place for _, place in unreadable],
        )
    table = wire.RoutingTable(
        version=cfg.version,
        routes=[_convert_route(route) for route in cfg.routes],
        services=[_convert_service(service) for service in cfg.services],
        limits=_convert_limits(cfg.limits),
        teams=[_convert_tenant(tenant) for tenant in cfg.tenants],
    )
    errors = wire.locate_errors(table)
    if errors:
        raise ConfigurationError(
            [error.message for error in errors],
            [translate_place(cfg, error.place) for error in errors],
        )
    return table


def _place_of_decoding(message: str) -> wire.Place:
    """Returns the place that a message of the decoder ends with."""
    _, _, path = message.rpartition(" - at `$")
    if not path.endswith("`"):
        return ()
    return tuple(
        int(number) if number else name
        for name, number in _PLACE_PART.findall(path)
    )


def translate_place(cfg: Configuration, place: wire.Place) -> wire.Place:
    """Returns a place in a routing table as one in its configuration."""
    section = place[0] if place else ""
    if section == "routes" and "shares" in place:
        number = place[1]
        assert isinstance(number, int)
        if cfg.routes[number].service is not None:
            return ("routes", number, "service")
    names = _FIELD_NAMES.get(str(section), {})
    parts = [
        names.get(part, part) if isinstance(part, str) else part
        for part in place[1:]
    ]
    return (_SECTION_NAMES.get(str(section), section), *parts)


def _convert_route(route: Route) -> wire.Route:
    shares = [
        wire.WeightedService(service=part.service, weight=part.weight)
        for part in route.split
    ]
    if route.service is not None:
        shares = [wire.WeightedService(service=route.service, weight=1)]
    return wire.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=ROUTE_KINDS[route.route_kind],
        shares=shares,
        time_limit=route.timeout_ms / MILLISECONDS_PER_SECOND,
        objective=route.target_latency_ms / MILLISECONDS_PER_SECOND,
        max_pause=route.max_gap_ms / MILLISECONDS_PER_SECOND,
        priority=route.priority,
        max_targets=max(1, route.max_attempts),
        keyless=route.anonymous,
        resumable=route.resumable,
        home_regions=route.home_regions,
        hedge_share=route.hedge_share,
    )


def _convert_service(service: Service) -> wire.RoutedService:
    engine = service.engine
    return wire.RoutedService(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.max_conns,
        engine=None
        if engine is None
        else wire.Engine(
            slots=engine.slots,
            memory=engine.kv_capacity,
            tokens_per_event=max(1, engine.stride),
        ),
        cold_seconds=service.cold_s,
        cold_rate=service.cold_per_s,
    )


def _convert_limits(limits: Limits) -> wire.CallerLimits:
    return wire.CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms / MILLISECONDS_PER_SECOND,
        idle_timeout=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
    )


def _convert_tenant(tenant: Tenant) -> wire.RoutedTeam:
    return wire.RoutedTeam(
        name=tenant.name,
        key_hashes=[gateway.hash_key(key) for key in tenant.api_keys],
        priority=tenant.priority,
        prepaid=tenant.prepaid,
        home_regions=tenant.home_regions,
    )
