"""The ``galenashed`` command and its subcommands."""

import pathlib
import random
import secrets
import sys
import typing

import cyclopts
import loguru

import galenashed
from galenashed.cli import _emulate
from galenashed.cli import _evacuations
from galenashed.cli import _operator
from galenashed.cli import _output
from galenashed.cli import _quickstart
from galenashed.cli import _replicas
from galenashed.cli import _runner
from galenashed.cli import _standins
from galenashed import config
from galenashed import consensus
from galenashed import control
from galenashed import entry
from galenashed.protocol import rpc
from galenashed import telemetry

LOG = loguru.logger

EXIT_CODES = """
Exit codes: 0 success, 1 failure, 2 invalid input (all errors are printed).
"""

APP = cyclopts.App(
    name="galenashed",
    help="A router fleet for prepaid token budgets.\n" + EXIT_CODES,
    version=galenashed.__version__,
)
CONFIG = cyclopts.App(name="config", help="Checks settings files.")
KEY = cyclopts.App(name="key", help="Generates keys and their hashes.")
APP.command(CONFIG)
APP.command(KEY)
APP.command(_operator.NOTE)
APP.command(_operator.BUDGET)
APP.command(_replicas.REPLICA)
APP.command(_evacuations.EVACUATION)
APP.command(_operator.show_audit, name="audit")
APP.command(_operator.show_status, name="status")
APP.command(_standins.STANDIN)
APP.command(_quickstart.quickstart, name="quickstart")
APP.command(_emulate.emulate, name="emulate")

ConfigPath = typing.Annotated[
    pathlib.Path, cyclopts.Parameter(name="--config")
]


@APP.command(name="entry")
def run_entry(config_path: ConfigPath) -> int:
    """Runs one entry, a server that accepts callers' requests.

    Stops on SIGTERM after all requests in progress have ended.

    Parameters
    ----------
    config_path
        Entry settings, a TOML file.
    """
    cfg = _output.unwrap_or_exit(
        config.load_settings(config_path, "entry"), str(config_path)
    )
    telemetry.configure_logging(
        level=cfg.log.level, format=cfg.log.format, instance=cfg.name
    )
    _runner.run_daemon(lambda: entry.EntryServer(cfg=cfg, rng=random.Random()))
    return _output.EXIT_OK


@APP.command(name="control")
def run_control(
    config_path: ConfigPath, create: bool = False, join: bool = False
) -> int:
    """Runs one control replica.

    Parameters
    ----------
    config_path
        Replica settings, a TOML file.
    create
        Creates the data directory first, for a replica of a new cluster.
        Don't use it for a replica that lost its disk, which must rejoin
        with --join under a new name.
    join
        Creates the data directory first, for a replica that an operator
        adds to a running cluster.  Its name must be new: no earlier replica
        of the cluster may have had it.
    """
    if create and join:
        print("--create and --join can't be used together")
        return _output.EXIT_BAD_INPUT
    cfg = _output.unwrap_or_exit(
        config.load_settings(config_path, "control"), str(config_path)
    )
    telemetry.configure_logging(
        level=cfg.log.level, format=cfg.log.format, instance=cfg.name
    )
    storage = consensus.Storage(
        directory=pathlib.Path(cfg.data), cluster=cfg.cluster, name=cfg.name
    )
    try:
        if create:
            storage.create(control.make_members(cfg.replicas))
        if join:
            storage.create(())
        _runner.run_daemon(lambda: _make_control_server(cfg, storage))
    except consensus.StorageError as exc:
        return _output.fail(str(exc))
    return _output.EXIT_OK


def _make_control_server(cfg: config.ControlSettings, storage):
    return control.ControlServer(
        name=cfg.name,
        address=cfg.address,
        replicas=cfg.replicas,
        storage=storage,
        peer_key=cfg.peer_key,
        key_hashes={
            "peer": rpc.hash_key(cfg.peer_key),
            "operator": cfg.operator_key_hash,
        },
        rng=random.Random(),
        snapshot_every=cfg.snapshot_every,
        max_connections=cfg.max_peer_connections,
    )


@CONFIG.command(name="check")
def check_config(path: pathlib.Path, kind: str = "") -> int:
    """Checks a settings file and prints all errors with their locations.

    Parameters
    ----------
    path
        Settings file in TOML.
    kind
        ``entry``, ``control`` or ``operator``; detected from the file if
        not given.
    """
    kinds = ["entry", "control", "operator"]
    if kind and kind not in kinds:
        print(f"--kind: {kind!r} is unknown; allowed: {', '.join(kinds)}")
        return _output.EXIT_BAD_INPUT
    if not kind and path.exists():
        kind = config.detect_kind(path)
    _output.unwrap_or_exit(
        config.load_settings(path, kind or kinds[0]), str(path)
    )
    print(f"{path}: valid {kind} settings")
    return _output.EXIT_OK


@KEY.command(name="new")
def new_key() -> int:
    """Prints a new random key."""
    print(secrets.token_urlsafe(32))
    return _output.EXIT_OK


@KEY.command(name="hash")
def hash_key(path: pathlib.Path) -> int:
    """Prints the hash of a key, for use in settings and release notes.

    Parameters
    ----------
    path
        File that contains only the key.
    """
    try:
        key = path.read_text(encoding="utf-8").strip()
    except OSError as exc:
        return _output.fail(str(exc))
    print(config.format_key_hash(key))
    return _output.EXIT_OK


def run() -> None:
    """Runs the command line and exits with its exit code."""
    try:
        exit_code = APP()
    except (KeyboardInterrupt, BrokenPipeError):
        exit_code = _output.EXIT_FAILED
    except OSError as exc:
        exit_code = _output.fail(str(exc))
    sys.exit(exit_code)
