"""The operators' calls: a configuration sent, and one read back."""

import msgspec

from galenashed import gateway
from galenashed.protocol import routes as wire

MILLISECONDS = 1000.0

# The platform calls a pool's part of a route a split, a prompt-aware route
# sticky, and a target's model memory its KV capacity.


class Split(msgspec.Struct, frozen=True):
    """One service's part of a route."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True, rename="camel"):
    """A route; ``service`` stands for a split with one part.

    ``anonymous`` means that no key is asked for.
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


class Engine(msgspec.Struct, frozen=True, rename="camel"):
    """A service's model engines; ``stride`` is the tokens of one event."""

    slots: int = 0
    kv_capacity: int = 0
    stride: int = 1


class Service(msgspec.Struct, frozen=True, rename="camel"):
    """A service; ``max_conns`` holds for one target, over all callers."""

    name: str
    health_path: str = "/"
    max_conns: int = 0
    engine: Engine | None = None


class Limits(msgspec.Struct, frozen=True, rename="camel"):
    """Bounds on what callers send."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0


class Tenant(msgspec.Struct, frozen=True, rename="camel"):
    """A team; ``prepaid`` is all the tokens that it may use."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    prepaid: int | None = None


class Configuration(msgspec.Struct, frozen=True, rename="camel"):
    """A whole configuration."""

    version: int
    routes: list[Route]
    services: list[Service]
    limits: Limits = Limits()
    tenants: list[Tenant] = []


KINDS = {
    "safe": wire.Kind.IDEMPOTENT,
    "unsafe": wire.Kind.AT_MOST_ONCE,
    "streaming": wire.Kind.STREAM,
}

_DECODER = msgspec.json.Decoder(Configuration)


class ConfigurationError(Exception):
    """A configuration that must not be put in force; says all that is wrong.

    Parameters
    ----------
    findings : list of str
        What is wrong.
    """

    def __init__(self, findings: list[str]):
        super().__init__("; ".join(findings))
        self.findings = findings


def read_table(document: bytes) -> wire.RoutingTable:
    """Returns the routing table of a document; raises ConfigurationError."""
    try:
        cfg = _DECODER.decode(document)
    except (msgspec.DecodeError, ValueError) as exc:
        raise ConfigurationError([f"configuration: {exc}"]) from None
    unknown = [
        f"route {route.name!r}: kind {route.route_kind!r}; allowed:"
        f" {', '.join(KINDS)}"
        for route in cfg.routes
        if route.route_kind not in KINDS
    ]
    if unknown:
        raise ConfigurationError(unknown)
    table = wire.RoutingTable(
        version=cfg.version,
        routes=[_route(route) for route in cfg.routes],
        services=[_service(service) for service in cfg.services],
        limits=_limits(cfg.limits),
        teams=[_team(tenant) for tenant in cfg.tenants],
    )
    findings = wire.find_errors(table)
    if findings:
        raise ConfigurationError(findings)
    return table


def _route(route: Route) -> wire.Route:
    shares = [
        wire.Share(service=part.service, weight=part.weight)
        for part in route.split
    ]
    if route.service is not None:
        shares = [wire.Share(service=route.service, weight=1)]
    return wire.Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        kind=KINDS[route.route_kind],
        shares=shares,
        time_limit=route.timeout_ms / MILLISECONDS,
        objective=route.target_latency_ms / MILLISECONDS,
        max_pause=route.max_gap_ms / MILLISECONDS,
        priority=route.priority,
        max_targets=max(1, route.max_attempts),
        keyless=route.anonymous,
        resumable=route.resumable,
    )


def _service(service: Service) -> wire.RoutedService:
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
    )


def _limits(limits: Limits) -> wire.CallerLimits:
    return wire.CallerLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout=limits.header_timeout_ms / MILLISECONDS,
        idle_timeout=limits.idle_timeout_ms / MILLISECONDS,
    )


def _team(tenant: Tenant) -> wire.KeyedTeam:
    return wire.KeyedTeam(
        name=tenant.name,
        key_hashes=[gateway.hash_key(key) for key in tenant.api_keys],
        priority=tenant.priority,
        prepaid=tenant.prepaid,
    )
