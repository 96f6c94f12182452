"""Loading and validation of the programs' settings from TOML files."""

import pathlib
import typing

import expression
import msgspec

from galenashed.config import _findings
from galenashed.config import _reader
from galenashed.protocol import rpc
from galenashed import web

PRESETS = ["overspend-first", "refusals-first"]


class LogSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Log level and format of a program."""

    level: str
    format: str


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of ``galenashed entry``; durations are in seconds."""

    name: str
    failure_domain: str
    callers_address: str
    max_body_bytes: int
    max_connections: int
    max_queue: int
    receive_timeout: float
    instances_max_age: float
    peers_address: str
    seeds: list[str]
    peer_key: str
    replicas: dict[str, str]
    target_key_hash: str
    operator_key_hash: str
    target_lease: float
    preset: str
    max_stale: float
    log: LogSettings
    statsd: str
    max_head_bytes: int = web.MAX_HEAD_BYTES
    max_held_bytes: int = web.MAX_HELD_BYTES
    stall_timeout: float = web.STALL_SECONDS
    max_peer_connections: int = rpc.MAX_CONNECTIONS


class ControlSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of ``galenashed control``."""

    name: str
    failure_domain: str
    data: str
    cluster: str
    address: str
    replicas: dict[str, str]
    peer_key: str
    operator_key_hash: str
    snapshot_every: int
    log: LogSettings
    statsd: str
    max_peer_connections: int = rpc.MAX_CONNECTIONS


class OperatorSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of the operator commands."""

    replicas: dict[str, str]
    operator_key: str


Settings = EntrySettings | ControlSettings | OperatorSettings


def load_settings(
    path: pathlib.Path, kind: str
) -> expression.Result[typing.Any, list[_findings.Finding]]:
    """Reads settings of a kind: ``entry``, ``control`` or ``operator``.

    Relative paths in the file are resolved against the file's directory.
    """
    path = pathlib.Path(path)
    builders = {
        "entry": _build_entry,
        "control": _build_control,
        "operator": _build_operator,
    }
    build = builders[kind]
    return _reader.read_document(path, lambda root: build(root, path.parent))


def detect_kind(path: pathlib.Path) -> str:
    """Guesses the kind of a settings file from the tables in it."""
    text = pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
    if "[callers]" in text:
        return "entry"
    if "[storage]" in text:
        return "control"
    return "operator"


def _build_entry(
    root: _reader.TableReader, directory: pathlib.Path
) -> EntrySettings:
    instance = root.table("instance")
    callers = root.table("callers")
    peers = root.table("peers")
    control = root.table("control")
    targets = root.table("targets")
    operators = root.table("operators")
    policy = root.table("policy", required=False)
    return EntrySettings(
        name=instance.name(),
        failure_domain=instance.name("failure_domain"),
        callers_address=callers.address("listen"),
        max_body_bytes=callers.integer(
            "max_body_bytes", 2**20, low=1024, high=2**30
        ),
        max_connections=callers.integer(
            "max_connections", 1000, low=1, high=100_000
        ),
        max_queue=callers.integer("max_queue", 256, low=0, high=100_000),
        receive_timeout=callers.number(
            "receive_timeout", 10.0, low=0.1, high=600.0
        ),
        instances_max_age=callers.number(
            "instances_max_age", 5.0, low=0.1, high=3600.0
        ),
        peers_address=peers.address("listen"),
        seeds=peers.addresses("seeds"),
        peer_key=_read_key(peers, directory),
        replicas=control.address_map("replicas"),
        target_key_hash=targets.key_hash(),
        operator_key_hash=operators.key_hash(),
        target_lease=targets.number("lease", 3.0, low=0.1, high=600.0),
        preset=policy.choice("preset", PRESETS, PRESETS[0]),
        max_stale=policy.number("max_stale", 10.0, low=0.5, high=86400.0),
        log=_build_log(root),
        statsd=_build_statsd(root),
        max_head_bytes=callers.integer(
            "max_head_bytes", web.MAX_HEAD_BYTES, low=1024, high=2**20
        ),
        max_held_bytes=callers.integer(
            "max_held_bytes", web.MAX_HELD_BYTES, low=2**20, high=2**40
        ),
        stall_timeout=callers.number(
            "stall_timeout", web.STALL_SECONDS, low=0.1, high=3600.0
        ),
        max_peer_connections=_read_max_connections(peers),
    )


def _read_max_connections(peers: _reader.TableReader) -> int:
    return peers.integer(
        "max_connections", rpc.MAX_CONNECTIONS, low=10, high=100_000
    )


def _build_control(
    root: _reader.TableReader, directory: pathlib.Path
) -> ControlSettings:
    instance = root.table("instance")
    storage = root.table("storage")
    peers = root.table("peers")
    control = root.table("control")
    operators = root.table("operators")
    name = instance.name()
    replicas = control.address_map("replicas")
    if name and replicas and name not in replicas:
        instance.add_error(
            "name",
            f"{name!r} is not a control replica; allowed:"
            f" {', '.join(replicas)}",
        )
    if replicas and len(replicas) not in (1, 3, 5, 7):
        control.add_error(
            "replicas", f"has {len(replicas)} replicas; allowed: 1, 3, 5, 7"
        )
    return ControlSettings(
        name=name,
        failure_domain=instance.name("failure_domain"),
        data=str(directory / storage.string("folder")),
        snapshot_every=storage.integer(
            "snapshot_every", 10_000, low=10, high=10**7
        ),
        cluster=control.name("cluster"),
        address=peers.address("listen"),
        replicas=replicas,
        peer_key=_read_key(peers, directory),
        operator_key_hash=operators.key_hash(),
        log=_build_log(root),
        statsd=_build_statsd(root),
        max_peer_connections=_read_max_connections(peers),
    )


def _build_operator(
    root: _reader.TableReader, directory: pathlib.Path
) -> OperatorSettings:
    control = root.table("control")
    operators = root.table("operators")
    return OperatorSettings(
        replicas=control.address_map("replicas"),
        operator_key=_read_key(operators, directory),
    )


def _build_log(root: _reader.TableReader) -> LogSettings:
    table = root.table("log", required=False)
    levels = ["DEBUG", "INFO", "WARNING", "ERROR"]
    return LogSettings(
        level=table.choice("level", levels, "INFO"),
        format=table.choice("format", ["json", "human"], "human"),
    )


def _build_statsd(root: _reader.TableReader) -> str:
    table = root.table("metrics", required=False)
    return table.address("statsd", "")


def _read_key(table: _reader.TableReader, directory: pathlib.Path) -> str:
    """Returns the key stored in the file that ``key_file`` refers to."""
    name = table.string("key_file")
    if not name:
        return ""
    try:
        key = (directory / name).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        table.add_error("key_file", f"can't be read: {exc}")
        return ""
    if len(key) < 16:
        table.add_error(
            "key_file",
            "contains a key that is too short; allowed: 16 characters or more",
        )
    return key


def format_key_hash(key: str) -> str:
    """Returns a key's hash as written in settings and notes."""
    return "sha256:" + rpc.hash_key(key)
