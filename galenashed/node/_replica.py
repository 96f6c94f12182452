"""Creates the control replica of a node that has a data directory."""

import pathlib
import random
import uuid

from galenashed import consensus
from galenashed import control
from galenashed.node import _settings
from galenashed.protocol import rpc

CLUSTER = "node"
# Three heartbeats may be lost before an election begins.
ELECTION_TIMEOUT_SECONDS = 0.8
HEARTBEAT_INTERVAL_SECONDS = 0.2


def make_replica(
    cfg: _settings.NodeSettings, rng: random.Random
) -> control.ControlServer | None:
    """Returns the node's replica; None for a node without a data directory.

    An initial replica of a new cluster has its address as its name.  Any
    other replica without stored state counts as new, even if one with the
    same address was a member before: it gets a name that was never used, and
    has no vote until the leader promotes it.  Raises StorageError.
    """
    directory = cfg.data_directory
    if directory is None:
        return None
    name = _stored_name(directory)
    versions = control.VersionRecords(path=directory / "versions")
    # On a disk in use, the last landing kept no such file.
    complete = name is not None or cfg.bootstrap
    if name is None:
        name = _create_storage(cfg, directory)
    versions.open(complete=complete)
    storage = consensus.Storage(
        directory=directory, cluster=CLUSTER, name=name
    )
    return control.ControlServer(
        name=name,
        address=cfg.control_address,
        replicas={name: cfg.control_address},
        storage=storage,
        peer_key=cfg.peer_key,
        key_hashes={"peer": rpc.hash_key(cfg.peer_key)},
        rng=rng,
        election_timeout=ELECTION_TIMEOUT_SECONDS,
        heartbeat=HEARTBEAT_INTERVAL_SECONDS,
        versions=versions,
        max_connections=cfg.max_peer_connections,
    )


def _stored_name(directory: pathlib.Path) -> str | None:
    path = directory / "identity"
    if not path.exists():
        return None
    return consensus.read_identity(directory).name


def _create_storage(
    cfg: _settings.NodeSettings, directory: pathlib.Path
) -> str:
    members: consensus.Members = ()
    name = f"{cfg.control_address}/{uuid.uuid4().hex[:8]}"
    if cfg.bootstrap and cfg.control_address in cfg.replicas:
        name = cfg.control_address
        members = control.make_members(
            {address: address for address in cfg.replicas}
        )
    # Without an identity file the previous start did not finish, so its files
    # contain no vote and no acknowledged entry.
    if directory.exists():
        for path in directory.iterdir():
            path.unlink()
    storage = consensus.Storage(
        directory=directory, cluster=CLUSTER, name=name
    )
    storage.create(members)
    return name
