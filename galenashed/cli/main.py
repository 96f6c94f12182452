"""The ``galenashed`` command."""

import pathlib
import random
import secrets
import sys
import typing

import cyclopts
import loguru

import galenashed
from galenashed.cli import _emulate
from galenashed.cli import _operator
from galenashed.cli import _output
from galenashed.cli import _programs
from galenashed.cli import _quickstart
from galenashed.cli import _replicas
from galenashed.cli import _standins
from galenashed import config
from galenashed import consensus
from galenashed import control
from galenashed import entry
from galenashed.protocol import rpc
from galenashed import telemetry

LOG = loguru.logger

EPILOGUE = """
Exit codes: 0 done, 1 failed, 2 bad input (every fault is printed).
"""

APP = cyclopts.App(
    name="galenashed",
    help="A router fleet for prepaid token budgets.\n" + EPILOGUE,
    version=galenashed.__version__,
)
CONFIG = cyclopts.App(name="config", help="Checks settings.")
KEY = cyclopts.App(name="key", help="Makes keys and their hashes.")
APP.command(CONFIG)
APP.command(KEY)
APP.command(_operator.NOTE)
APP.command(_operator.BUDGET)
APP.command(_replicas.REPLICA)
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
    """Serves callers: one entry.

    Stops on SIGTERM once every request has ended.

    Parameters
    ----------
    config_path
        Settings of the entry, a TOML file.
    """
    cfg = _output.take(
        config.load_settings(config_path, "entry"), str(config_path)
    )
    telemetry.configure_logging(
        level=cfg.log.level, format=cfg.log.format, instance=cfg.name
    )
    _programs.run_daemon(
        lambda: entry.EntryServer(cfg=cfg, rng=random.Random())
    )
    return _output.EXIT_OK


@APP.command(name="control")
def run_control(
    config_path: ConfigPath, create: bool = False, join: bool = False
) -> int:
    """Runs one control replica.

    Parameters
    ----------
    config_path
        Settings of the replica, a TOML file.
    create
        Makes the data folder first, for a replica of a new cluster.  Not
        for one that lost its disk: it must come back by --join.
    join
        Makes the data folder first, for a replica that an operator adds to
        a running cluster.  Its name must be one that never took part.
    """
    if create and join:
        print("--create and --join: allowed: one of them")
        return _output.EXIT_BAD_INPUT
    cfg = _output.take(
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
        _programs.run_daemon(lambda: _make_control(cfg, storage))
    except consensus.StorageError as exc:
        return _output.fail(str(exc))
    return _output.EXIT_OK


def _make_control(cfg: config.ControlSettings, storage):
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
    )


@CONFIG.command(name="check")
def check_config(path: pathlib.Path, kind: str = "") -> int:
    """Checks a settings file and prints every fault with its place.

    Parameters
    ----------
    path
        The file.
    kind
        ``entry``, ``control`` or ``operator``; told from the file if it is
        not given.
    """
    kinds = ["entry", "control", "operator"]
    if kind and kind not in kinds:
        print(f"kind: {kind!r}; allowed: {', '.join(kinds)}")
        return _output.EXIT_BAD_INPUT
    if not kind and path.exists():
        kind = config.detect_kind(path)
    _output.take(config.load_settings(path, kind or kinds[0]), str(path))
    print(f"{path}: good {kind} settings")
    return _output.EXIT_OK


@KEY.command(name="new")
def new_key() -> int:
    """Prints a new random key."""
    print(secrets.token_urlsafe(32))
    return _output.EXIT_OK


@KEY.command(name="hash")
def hash_key(path: pathlib.Path) -> int:
    """Prints the hash of the key in a file, as settings and notes take it.

    Parameters
    ----------
    path
        A file that holds the key alone.
    """
    try:
        key = path.read_text(encoding="utf-8").strip()
    except OSError as exc:
        return _output.fail(str(exc))
    print(config.hash_key(key))
    return _output.EXIT_OK


def run() -> None:
    """Runs the command line and exits with its code."""
    try:
        code = APP()
    except (KeyboardInterrupt, BrokenPipeError):
        code = _output.EXIT_FAILED
    except OSError as exc:
        code = _output.fail(str(exc))
    sys.exit(code)
