"""The settings file of the platform, decoded into the node's settings.

The platform fixes the file's format and names; the fields that no part of
the node needs are left out here.
"""

import os
import pathlib
import tomllib

import msgspec

from galenashed import node

SETTINGS_VARIABLE = "GALENASHED_BOOT"
# Offsets into the range of ports that are free for the system itself.
PEERS_PORT = 0
CONTROL_PORT = 1
# The platform isolates its network and gives the nodes no secret to share;
# the key only keeps out programs that speak to a wrong address.
PEER_KEY = "galenashed-platform-peers"
# Announcements that may be missed before a target counts as gone; they
# arrive seconds late at times.
MISSED_ANNOUNCEMENTS = 5
# Seconds for which a caller may keep an answer of where to connect; short,
# as callers of an entry that is cut off are told of others by the next one.
DISCOVERY_MAX_AGE_SECONDS = 1.0
# Of the platform's shared allowance of retries, what the nodes use.
RETRY_PART = 0.5
LEAST_VOTERS = 3
MOST_VOTERS = 7


class Listen(msgspec.Struct, frozen=True, rename="camel"):
    """Addresses, each ``ip:port``.

    ``front`` is for callers, ``control`` for operators and targets,
    ``directory`` for callers who look for entries, ``readiness`` for the
    platform's own checks.
    """

    front: str
    readiness: str
    control: str
    directory: str


class Tolerance(msgspec.Struct, frozen=True, rename="camel"):
    """What may be lost at once; ``machines`` are those that count."""

    machines: int = 1


class Bounds(msgspec.Struct, frozen=True, rename="camel"):
    """Times and shares that the platform sets; names say their units."""

    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: float = 0.0
    ttl_max_s: float = msgspec.field(name="ttl_max_s", default=5.0)


class Limits(msgspec.Struct, frozen=True, rename="camel"):
    """What a process may use.

    ``cpu_share`` is a part of one of the machine's cores, which is ``cores``
    times as fast as the platform's unit of processor time.
    """

    cpu_share: float = 1.0
    cores: float = 1.0


class Settings(msgspec.Struct, frozen=True, rename="camel"):
    """The file.

    ``counts_as_loss`` marks the machines whose loss is bounded; those with
    a ``data_dir`` keep the replicated state.  ``seeds`` are ``control``
    addresses of three machines, ``bootstrap`` is set at the first start of
    the whole system.
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


class SettingsError(Exception):
    """The settings file can't be used; the message says why."""


def settings_path() -> pathlib.Path:
    """Returns where the platform has put the file."""
    value = os.environ.get(SETTINGS_VARIABLE)
    if not value:
        raise SettingsError(f"{SETTINGS_VARIABLE}: not set; allowed: a path")
    return pathlib.Path(value)


def read_settings(path: pathlib.Path) -> Settings:
    """Reads and checks the file; raises SettingsError."""
    try:
        fields = tomllib.loads(path.read_text(encoding="utf-8"))
        return msgspec.convert(fields, Settings)
    except (OSError, ValueError) as exc:
        # Faults of the format and of its fields are ValueErrors both.
        raise SettingsError(f"{path}: {exc}") from exc


def node_settings(cfg: Settings) -> node.NodeSettings:
    """Returns what the node is to be told."""
    ports = cfg.port_range
    seeds = [seed.rpartition(":")[0] for seed in cfg.seeds]
    stores = bool(cfg.data_dir) and cfg.counts_as_loss
    voters = 2 * cfg.tolerance.machines + 1
    return node.NodeSettings(
        name=cfg.node_name,
        domain=cfg.zone,
        region=cfg.region,
        cores=cfg.limits.cpu_share * cfg.limits.cores,
        callers_address=cfg.listen.front,
        peers_address=_inner(cfg.ip, ports, PEERS_PORT),
        control_address=_inner(cfg.ip, ports, CONTROL_PORT),
        seeds=[_inner(ip, ports, PEERS_PORT) for ip in seeds],
        replicas=[_inner(ip, ports, CONTROL_PORT) for ip in seeds],
        data_folder=pathlib.Path(cfg.data_dir) if stores else None,
        bootstrap=cfg.bootstrap,
        voters=min(MOST_VOTERS, max(LEAST_VOTERS, voters)),
        peer_key=PEER_KEY,
        target_lease=MISSED_ANNOUNCEMENTS * cfg.heartbeat_ms / 1000.0,
        discovery_max_age=min(DISCOVERY_MAX_AGE_SECONDS, cfg.bounds.ttl_max_s),
        shutdown_timeout=cfg.bounds.grace_s,
        retry_share=RETRY_PART * cfg.bounds.retry_ratio,
        retry_slack=RETRY_PART * cfg.bounds.retry_slack,
    )


def _inner(ip: str, ports: tuple[int, int], offset: int) -> str:
    return f"{ip}:{ports[0] + offset}"
