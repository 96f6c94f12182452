"""What a node must be told, whatever platform it runs on."""

import pathlib


class NodeSettings:
    """Checked settings of a node.

    Parameters
    ----------
    name : str
        The instance's name.
    domain, region : str
        Its failure domain, and the region that lies in.
    cores : float
        Seconds of processor time a second that it may use.
    callers_address : str
        ``ip:port`` that callers connect to.
    peers_address, control_address : str
        ``ip:port`` that other nodes connect to.
    seeds : list of str
        ``peers_address`` of nodes to begin with.
    replicas : list of str
        ``control_address`` of control replicas to begin with.
    data_folder : pathlib.Path or None
        Where a control replica stores its log; None where there is none.
    bootstrap : bool
        Whether the replicas named are to found a new cluster.
    voters : int
        Control replicas that should vote.
    peer_key : str
        Shared by all nodes.
    target_lease : float
        Seconds after which a silent target counts as gone.
    discovery_max_age : float
        Seconds for which callers may keep an answer of where to connect.
    shutdown_timeout : float
        Seconds from the order to stop until the process is killed.
    retry_share : float
        Sendings beyond the first that all nodes together may add, as a
        share of the first ones.
    retry_slack : float
        How many more all nodes together may add at once.
    """

    __slots__ = (
        "bootstrap",
        "callers_address",
        "control_address",
        "cores",
        "data_folder",
        "discovery_max_age",
        "domain",
        "name",
        "peer_key",
        "peers_address",
        "region",
        "replicas",
        "retry_share",
        "retry_slack",
        "seeds",
        "shutdown_timeout",
        "target_lease",
        "voters",
    )

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        region: str,
        cores: float,
        callers_address: str,
        peers_address: str,
        control_address: str,
        seeds: list[str],
        replicas: list[str],
        data_folder: pathlib.Path | None,
        bootstrap: bool,
        voters: int,
        peer_key: str,
        target_lease: float,
        discovery_max_age: float,
        shutdown_timeout: float,
        retry_share: float,
        retry_slack: float,
    ):
        self.name = name
        self.domain = domain
        self.region = region
        self.cores = cores
        self.callers_address = callers_address
        self.peers_address = peers_address
        self.control_address = control_address
        self.seeds = seeds
        self.replicas = replicas
        self.data_folder = data_folder
        self.bootstrap = bootstrap
        self.voters = voters
        self.peer_key = peer_key
        self.target_lease = target_lease
        self.discovery_max_age = discovery_max_age
        self.shutdown_timeout = shutdown_timeout
        self.retry_share = retry_share
        self.retry_slack = retry_slack
