"""The control replica of a node that has a disk."""

import pathlib
import random
import uuid

from galenashed import consensus
from galenashed import control
from galenashed.node import _settings
from galenashed.protocol import rpc

CLUSTER = "node"
# Seconds; three heartbeats may be lost before an election begins.
ELECTION_SECONDS = 0.8
HEARTBEAT_SECONDS = 0.2


def make_replica(
    cfg: _settings.NodeSettings, rng: random.Random
) -> control.ControlServer | None:
    """Returns the node's replica, its folder made if it has none yet.

    A replica of a new cluster is named by its address.  Any other that
    finds its folder empty is new, also if one with that address took part
    before: it gets a name that was never used, and a vote only once the
    leader says so.  Raises StorageError.
    """
    directory = cfg.data_folder
    if directory is None:
        return None
    name = _stored_name(directory)
    if name is None:
        name = _create(cfg, directory)
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
        election_timeout=ELECTION_SECONDS,
        heartbeat=HEARTBEAT_SECONDS,
    )


def _stored_name(directory: pathlib.Path) -> str | None:
    path = directory / "identity"
    if not path.exists():
        return None
    return consensus.read_identity(directory).name


def _create(cfg: _settings.NodeSettings, directory: pathlib.Path) -> str:
    members: consensus.Members = ()
    name = f"{cfg.control_address}/{uuid.uuid4().hex[:8]}"
    if cfg.bootstrap and cfg.control_address in cfg.replicas:
        name = cfg.control_address
        members = control.make_members({item: item for item in cfg.replicas})
    # What a start that was cut short has left holds no promise yet.
    if directory.exists():
        for path in directory.iterdir():
            path.unlink()
    storage = consensus.Storage(
        directory=directory, cluster=CLUSTER, name=name
    )
    storage.create(members)
    return name
