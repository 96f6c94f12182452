"""Settings of a node, independent of the platform that it runs on."""

import pathlib

from galenashed.protocol import rpc


class NodeSettings:
    """Validated settings of a node.

    Parameters
    ----------
    name : str
        Name of the instance.
    failure_domain, region : str
        Its failure domain, and the region that contains it.
    cores : float
        Processor time that it may use, in seconds per second.
    callers_address : str
        ``ip:port`` that callers connect to.
    peers_address, control_address : str
        ``ip:port`` that other nodes connect to.
    relay_address : str
        ``ip:port`` where other nodes pass callers' requests on to this one.
    seeds : list of str
        ``peers_address`` of the nodes that are contacted first.
    replicas : list of str
        ``control_address`` of the control replicas that are contacted first.
    data_directory : pathlib.Path or None
        Data directory of the control replica; None for a node without one.
    bootstrap : bool
        Whether ``replicas`` are the initial members of a new cluster.
    desired_voters : int
        Number of control replicas that should vote.
    peer_key : str
        Key that all nodes share; authenticates them to one another.
    target_lease : float
        Seconds without an announcement after which a target counts as gone.
    discovery_max_age : float
        Seconds for which callers may cache a discovery response.
    shutdown_timeout : float
        Seconds from the stop signal until the process is killed.
    retry_share : float
        Retries that all nodes together may make, as a share of the first
        attempts.
    retry_burst : float
        Retries that all nodes together may make in a burst beyond that share.
    max_hedge_share : float
        The largest share of a route's requests that are sent to a second
        target while the first is slow; 0 for none.
    regions_by_domain : dict of str to str or None
        The region of each failure domain, as far as the settings name it.
    link_bytes_per_second : float
        What the machine's link carries each way; 0 if unknown.
    memory_bytes, max_descriptors : int
        Limits of the process; 0 if unknown.
    max_peer_connections : int
        Connections that other nodes may open to each internal address.
    names_by_all_resources : bool
        Whether callers are sent to entries by link, memory and descriptors
        as well as by processor.
    tolerated_losses : int
        Number of nodes whose simultaneous loss is tolerated.
    """

    __slots__ = (
        "bootstrap",
        "callers_address",
        "control_address",
        "cores",
        "data_directory",
        "desired_voters",
        "discovery_max_age",
        "failure_domain",
        "link_bytes_per_second",
        "max_descriptors",
        "max_hedge_share",
        "max_peer_connections",
        "memory_bytes",
        "name",
        "names_by_all_resources",
        "peer_key",
        "peers_address",
        "region",
        "regions_by_domain",
        "relay_address",
        "replicas",
        "retry_burst",
        "retry_share",
        "seeds",
        "shutdown_timeout",
        "target_lease",
        "tolerated_losses",
    )

    def __init__(
        self,
        *,
        name: str,
        failure_domain: str,
        region: str,
        cores: float,
        callers_address: str,
        peers_address: str,
        control_address: str,
        relay_address: str,
        seeds: list[str],
        replicas: list[str],
        data_directory: pathlib.Path | None,
        bootstrap: bool,
        desired_voters: int,
        peer_key: str,
        target_lease: float,
        discovery_max_age: float,
        shutdown_timeout: float,
        retry_share: float,
        retry_burst: float,
        regions_by_domain: dict[str, str] | None = None,
        link_bytes_per_second: float = 0.0,
        memory_bytes: int = 0,
        max_descriptors: int = 0,
        max_peer_connections: int = rpc.MAX_CONNECTIONS,
        max_hedge_share: float = 0.0,
        names_by_all_resources: bool = False,
        tolerated_losses: int = 1,
    ):
        self.name = name
        self.failure_domain = failure_domain
        self.region = region
        self.cores = cores
        self.callers_address = callers_address
        self.peers_address = peers_address
        self.control_address = control_address
        self.relay_address = relay_address
        self.seeds = seeds
        self.replicas = replicas
        self.data_directory = data_directory
        self.bootstrap = bootstrap
        self.desired_voters = desired_voters
        self.peer_key = peer_key
        self.target_lease = target_lease
        self.discovery_max_age = discovery_max_age
        self.shutdown_timeout = shutdown_timeout
        self.retry_share = retry_share
        self.retry_burst = retry_burst
        self.regions_by_domain = regions_by_domain or {}
        self.link_bytes_per_second = link_bytes_per_second
        self.memory_bytes = memory_bytes
        self.max_descriptors = max_descriptors
        self.max_peer_connections = max_peer_connections
        self.max_hedge_share = max_hedge_share
        self.names_by_all_resources = names_by_all_resources
        self.tolerated_losses = tolerated_losses
