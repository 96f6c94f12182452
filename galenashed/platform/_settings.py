"""Reads the platform's settings file and derives the node's settings.

The platform defines the format of the file and its field names.  Fields that
the node does not use are not declared here, and are ignored.
"""

import os
import pathlib
import tomllib
import typing

import loguru
import msgspec

from galenashed import node
from galenashed.platform import _place
from galenashed import web

LOG = loguru.logger

# Offsets from the first port of the range that is reserved for internal use.
PEERS_PORT_OFFSET = 0
CONTROL_PORT_OFFSET = 1
RELAY_PORT_OFFSET = 2
# Not a secret: the platform isolates its network and provides no shared secret
# to the nodes.  The key only rejects programs that connect to a wrong address.
PEER_KEY = "galenashed-platform-peers"
# Heartbeats that a target may miss before it is considered gone; they
# sometimes arrive seconds late.
MAX_MISSED_HEARTBEATS = 5
# How long callers may cache the addresses of entries.  Short, since callers of
# an entry that has been partitioned learn of the others only from the next
# lookup.
DISCOVERY_MAX_AGE_SECONDS = 1.0
# The share of the platform's common retry budget that the nodes use.
RETRY_BUDGET_SHARE = 0.5
BYTES_PER_MEGABIT = 125_000
BYTES_PER_MEGABYTE = 1_000_000
# Of the process's descriptors, the shares for connections of callers, for
# those of operators, targets and lookups, and for those of other nodes at each
# of two addresses; connections to targets need the rest.
CALLER_DESCRIPTOR_SHARE = 1 / 2
MANAGEMENT_DESCRIPTOR_SHARE = 1 / 8
INTERNAL_DESCRIPTOR_SHARE = 1 / 8
# Of the process's memory, the share that clients' requests and responses hold.
HELD_MEMORY_SHARE = 0.25
# What operators, targets and lookups may make it hold, as a share of that.
MANAGEMENT_HELD_SHARE = 0.25
MIN_VOTERS = 3
MAX_VOTERS = 7


class Listen(msgspec.Struct, frozen=True, rename="camel"):
    """Listening addresses, each ``ip:port``.

    ``front`` is for callers, ``control`` for operators and targets,
    ``directory`` for callers that look up the addresses of entries, and
    ``readiness`` for the readiness probes of the platform.
    """

    front: str
    readiness: str
    control: str
    directory: str


class Tolerance(msgspec.Struct, frozen=True, rename="camel"):
    """Simultaneous failures to tolerate.

    ``machines`` is a number of machines with ``counts_as_loss``.
    """

    machines: int = 1


class Bounds(msgspec.Struct, frozen=True, rename="camel"):
    """Time limits and retry limits; the suffix ``_s`` is for seconds.

    ``hedge_ratio`` is the share of a route's requests that may be sent to a
    second target while the first is slow; 0 for none.
    """

    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    hedge_ratio: typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.0
    ttl_max_s: float = msgspec.field(name="ttl_max_s", default=5.0)


class Limits(msgspec.Struct, frozen=True, rename="camel"):
    """Limits on the resources of a process.

    ``cpu_share`` is a fraction of one core of the machine.  Such a core is
    ``cores`` times as fast as the platform's unit of processor time.
    ``link_mbps`` is the bandwidth of the machine's link in Mbit/s; the last
    three are 0 if unknown.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: int = 0
    max_fds: int = 0
    link_mbps: float = 0.0


_Count = typing.Annotated[int, msgspec.Meta(ge=1, le=100_000)]
_HeadBytes = typing.Annotated[int, msgspec.Meta(ge=1024, le=1024 * 1024)]
_Megabytes = typing.Annotated[float, msgspec.Meta(ge=0.0, le=100_000.0)]
_Seconds = typing.Annotated[float, msgspec.Meta(ge=0.1, le=3600.0)]


class Connections(msgspec.Struct, frozen=True, rename="camel"):
    """Limits on what clients make the process hold; not set by the platform.

    ``max_open`` limits the connections of callers, those of operators,
    targets and lookups, and those of other nodes at each address.
    ``max_held_mb`` is 0 for a quarter of the memory limit, if that is known.
    """

    max_open: _Count = 2000
    max_head_bytes: _HeadBytes = web.MAX_HEAD_BYTES
    max_held_mb: _Megabytes = 0.0
    stall_s: _Seconds = web.STALL_SECONDS


class Naming(msgspec.Struct, frozen=True, rename="camel"):
    """How the entries that callers use are selected; not the platform's.

    With ``all_resources``, by link, memory and descriptors as well as by
    processor.
    """

    all_resources: bool = False


class Settings(msgspec.Struct, frozen=True, rename="camel"):
    """The contents of the settings file.

    ``counts_as_loss`` marks the machines whose simultaneous failures are
    limited by ``tolerance``; those of them with a ``data_dir`` run a control
    replica.  ``seeds`` are the ``control`` addresses of three machines.
    ``bootstrap`` is set at the first start of the whole system.  ``zones``
    maps each failure domain to its region.
    """

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    listen: Listen
    region: str = ""
    seeds: list[str] = []
    bootstrap: bool = False
    counts_as_loss: bool = False
    data_dir: str = ""
    heartbeat_ms: float = 1000.0
    limits: Limits = Limits()
    tolerance: Tolerance = Tolerance()
    bounds: Bounds = Bounds()
    connections: Connections = Connections()
    naming: Naming = Naming()
    zones: dict[str, str] = {}


class SettingsError(Exception):
    """The settings file is missing or invalid; the message says why."""


def get_settings_path() -> pathlib.Path:
    """Returns the path of the file; raises SettingsError if not set."""
    value = os.environ.get(_place.SETTINGS_VARIABLE)
    if not value:
        raise SettingsError(
            f"environment variable {_place.SETTINGS_VARIABLE} is not set;"
            " expected the path of the settings file"
        )
    return pathlib.Path(value)


def read_file_version(path: pathlib.Path) -> tuple[int, int]:
    """Returns values that differ after a change of the file."""
    try:
        status = path.stat()
    except OSError as exc:
        LOG.warning("can't check the settings file for changes: {}", exc)
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and checks the file; raises SettingsError."""
    try:
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
        return msgspec.convert(fields, Settings)
    except (OSError, ValueError) as exc:
        # TOMLDecodeError and msgspec.ValidationError are both ValueErrors.
        raise SettingsError(f"{path}: {exc}") from exc


def make_caller_limits(cfg: Settings) -> web.ConnectionLimits:
    """Returns the limits of the server for callers and relays."""
    return _make_limits(cfg, CALLER_DESCRIPTOR_SHARE, 1.0)


def make_management_limits(cfg: Settings) -> web.ConnectionLimits:
    """Returns the limits of the server for all other clients."""
    return _make_limits(
        cfg, MANAGEMENT_DESCRIPTOR_SHARE, MANAGEMENT_HELD_SHARE
    )


def _make_limits(
    cfg: Settings, descriptor_share: float, held_share: float
) -> web.ConnectionLimits:
    held_bytes: float = web.MAX_HELD_BYTES
    if cfg.connections.max_held_mb:
        held_bytes = cfg.connections.max_held_mb * BYTES_PER_MEGABYTE
    elif cfg.limits.memory_mb:
        memory_bytes = cfg.limits.memory_mb * BYTES_PER_MEGABYTE
        held_bytes = HELD_MEMORY_SHARE * memory_bytes
    return web.ConnectionLimits(
        max_connections=_limit_connections(cfg, descriptor_share),
        max_head_bytes=cfg.connections.max_head_bytes,
        max_held_bytes=int(held_share * held_bytes),
        stall_timeout=cfg.connections.stall_s,
    )


def _limit_connections(cfg: Settings, descriptor_share: float) -> int:
    if not cfg.limits.max_fds:
        return cfg.connections.max_open
    share = max(1, int(descriptor_share * cfg.limits.max_fds))
    return min(cfg.connections.max_open, share)


def make_node_settings(cfg: Settings) -> node.NodeSettings:
    """Derives the node's settings from those of the platform."""
    port_range = cfg.port_range
    seeds = [seed.rpartition(":")[0] for seed in cfg.seeds]
    hosts_replica = bool(cfg.data_dir) and cfg.counts_as_loss
    voters = 2 * cfg.tolerance.machines + 1
    return node.NodeSettings(
        name=cfg.node_name,
        failure_domain=cfg.zone,
        region=cfg.region,
        cores=cfg.limits.cpu_share * cfg.limits.cores,
        callers_address=cfg.listen.front,
        peers_address=_make_address(cfg.ip, port_range, PEERS_PORT_OFFSET),
        control_address=_make_address(cfg.ip, port_range, CONTROL_PORT_OFFSET),
        relay_address=_make_address(cfg.ip, port_range, RELAY_PORT_OFFSET),
        seeds=[
            _make_address(ip, port_range, PEERS_PORT_OFFSET) for ip in seeds
        ],
        replicas=[
            _make_address(ip, port_range, CONTROL_PORT_OFFSET) for ip in seeds
        ],
        data_directory=pathlib.Path(cfg.data_dir) if hosts_replica else None,
        bootstrap=cfg.bootstrap,
        desired_voters=min(MAX_VOTERS, max(MIN_VOTERS, voters)),
        peer_key=PEER_KEY,
        target_lease=MAX_MISSED_HEARTBEATS * cfg.heartbeat_ms / 1000.0,
        discovery_max_age=min(DISCOVERY_MAX_AGE_SECONDS, cfg.bounds.ttl_max_s),
        shutdown_timeout=cfg.bounds.grace_s,
        retry_share=RETRY_BUDGET_SHARE * cfg.bounds.retry_ratio,
        retry_burst=RETRY_BUDGET_SHARE * cfg.bounds.retry_slack,
        regions_by_domain=cfg.zones,
        link_bytes_per_second=cfg.limits.link_mbps * BYTES_PER_MEGABIT,
        memory_bytes=cfg.limits.memory_mb * BYTES_PER_MEGABYTE,
        max_descriptors=cfg.limits.max_fds,
        max_peer_connections=_limit_connections(
            cfg, INTERNAL_DESCRIPTOR_SHARE
        ),
        max_hedge_share=cfg.bounds.hedge_ratio,
        names_by_all_resources=cfg.naming.all_resources,
        tolerated_losses=cfg.tolerance.machines,
    )


def _make_address(ip: str, port_range: tuple[int, int], offset: int) -> str:
    return f"{ip}:{port_range[0] + offset}"
