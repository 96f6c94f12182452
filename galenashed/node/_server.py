"""A node: an entry for callers and, optionally, a control replica.

A node has a control replica if it has a data directory.

The node runs all parts of the product in one process.  It knows nothing of
the protocols of callers, operators and targets: adapters decode their requests
and call the node's methods.
"""

import asyncio
import math
import random
import time
import uuid

import loguru
import msgspec

from galenashed import budget
from galenashed import consensus
from galenashed import control
from galenashed import engines
from galenashed import gateway
from galenashed import gossip
from galenashed import membership
from galenashed.node import _budget_log
from galenashed.node import _entries
from galenashed.node import _evacuations
from galenashed.node import _guards
from galenashed.node import _loans
from galenashed.node import _origins
from galenashed.node import _replica
from galenashed.node import _replica_manager
from galenashed.node import _resources
from galenashed.node import _settings
from galenashed.node import _silent_holders
from galenashed.node import _spending_file
from galenashed.node import _token_holders
from galenashed.node import _versions
from galenashed.protocol import control as wire
from galenashed.protocol import gossip as gossip_wire
from galenashed.protocol import methods
from galenashed.protocol import routes as routes_wire
from galenashed.protocol import rpc
from galenashed import quarantine
from galenashed import routing
from galenashed import telemetry

LOG = loguru.logger

INSTANCE_LEASE_SECONDS = 2.5
REPLICA_MAX_AGE_SECONDS = 2.0
# An entry that has not heard from an up-to-date control replica for this long
# counts as cut off: three keepalives, and slack for a busy process.
CONTROL_TIMEOUT_SECONDS = 1.0
MONITOR_INTERVAL_SECONDS = 0.25
# After this long the outcome of an operator's change is reported as unknown.
COMMIT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 0.9
# A node may save up at least this many retries, even if its share of
# ``retry_burst`` is smaller.
MIN_SAVED_RETRIES = 2.0
# An entry that is cut off and has refused a request for lack of tokens leaves
# itself out of discovery responses for this long; several times as long as
# callers cache a response.
REFUSAL_BACKOFF_SECONDS = 5.0
CONNECT_TIMEOUT_SECONDS = 0.5
# Minimum time between two log lines on the entries that callers of a failure
# domain are sent to: entries without a replica are drawn at random for each
# response, so the selection changes often.
SELECTION_LOG_INTERVAL_SECONDS = 1.0
# Failure domains whose last logged selection is kept; several times the seven
# that are expected in two years.
MAX_LOGGED_DOMAINS = 64
# Time between attempts to restart a replica whose disk has failed.
REPLICA_RESTART_INTERVAL_SECONDS = 0.5
NAMED_CHECK_INTERVAL_SECONDS = 2.0
# Higher than the sequence number of any report that a target sends.
LAST_SEQUENCE = 1 << 40
# A node that has just started knows too few other entries to answer discovery
# requests.
DISCOVERY_WARMUP_SECONDS = 2.0
# Part of the shutdown timeout that is reserved for returning grants.
GRANT_RETURN_TIMEOUT_SECONDS = 0.5


class Node:
    """The entry of this process and, optionally, a control replica.

    The node has a replica if it has a data directory.

    Parameters
    ----------
    cfg : NodeSettings
        Validated settings.
    codec : galenashed.gateway.TargetCodec
        Encodes requests to targets and decodes their responses.
    log : DecisionLog
        Receives a line for each decision.
    metrics : Metrics
        Receives counts and durations.
    rng : random.Random
        Spreads load and breaks ties.
    place_held_since : float or None
        Time of day since which this process has held the callers' address,
        so that earlier processes there were gone; None for now.
    """

    def __init__(
        self,
        *,
        cfg: _settings.NodeSettings,
        codec: gateway.TargetCodec,
        log: telemetry.DecisionLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
        place_held_since: float | None = None,
    ):
        self.cfg = cfg
        self.log = log
        self.rng = rng
        self.incarnation = uuid.uuid4().hex[:12]
        # Only one process can listen on the address, so a new holder there
        # proves that the earlier ones are gone.
        self.holder = f"{cfg.callers_address}/{self.incarnation}"
        self.started = time.time()
        self.place_held_since = place_held_since or self.started
        self.draining = False
        self._sequence = 0
        self._named_entries = _entries.NamedEntries(
            by_all_resources=cfg.names_by_all_resources,
            losses=cfg.tolerated_losses,
        )
        self._naming = _token_holders.Naming()
        self._next_named_check_at = 0.0
        # By failure domain: the last logged selection of entries, and the
        # monotonic time of that log line.
        self._logged_selections: dict[str, tuple[set[str], float]] = {}
        self.resource_meter = _resources.ResourceMeter(
            cfg=cfg, log=log, metrics=metrics, rng=rng
        )
        self._control_contact_at = 0.0
        self._has_current_routes = False
        self._logged_cut_off = False
        self._tasks: list[asyncio.Task] = []
        self.instance_directory = membership.Directory(
            lease=INSTANCE_LEASE_SECONDS
        )
        self.target_directory = membership.Directory(lease=cfg.target_lease)
        self.target_limits = routing.TargetLimits(name=cfg.name)
        self.targets = gateway.Targets(
            domain=cfg.failure_domain,
            limits=self.target_limits,
            regions_by_domain=cfg.regions_by_domain,
        )
        self.replica = _replica.make_replica(cfg, rng)
        self._replica_manager = self._make_replica_manager()
        self._make_control_client()
        self._make_budget_manager()
        self._silent_holders = self._make_silent_holders()
        self.evacuations = _evacuations.Evacuations(
            client=self.control_client,
            targets=self.targets,
            directory=self.instance_directory,
            domains={cfg.failure_domain, *cfg.regions_by_domain},
            is_warming_up=lambda: self._is_warming_up,
            log=log,
            metrics=metrics,
        )
        self._pool = engines.ConnectionPool(
            connect_timeout=CONNECT_TIMEOUT_SECONDS
        )
        self._reach_exchange = gossip.ReachExchange(
            directory=self.instance_directory,
            key=cfg.peer_key,
            prober=self._pool,
            targets=self.targets,
            rng=rng,
        )
        self._make_stream_records()
        self.quarantine = quarantine.Quarantine(
            control=self.control_client,
            unavailable=control.ControlUnavailableError,
            log=log,
        )
        self.paths = engines.Paths(
            pool=self._pool,
            targets=self.targets,
            log=log,
            metrics=metrics,
            rng=rng,
        )
        self.gateway = gateway.Gateway(
            targets=self.targets,
            prepaid=gateway.PrepaidReserver(
                budget_manager=self.budget_manager,
                rng=rng,
                log=log,
                metrics=metrics,
            ),
            pool=self._pool,
            codec=codec,
            crash_quarantine=self.quarantine,
            paths=self.paths,
            peers=self,
            origins=self._origin_exchange,
            retries=routing.RetryBudget(
                share=cfg.retry_share, max_saved=MIN_SAVED_RETRIES
            ),
            log=log,
            metrics=metrics,
            rng=rng,
        )
        self._make_peer_services()
        self.gateway.hedges.policy.max_share = cfg.max_hedge_share
        self.gateway.on_leaving = self._on_target_leaving
        self.targets.cold.attach(log, metrics)
        self.paths.on_change = self._gossiper.trigger_round

    def _make_stream_records(self) -> None:
        """Creates the records of where streams began, and of versions."""
        cfg, log = self.cfg, self.log
        # Addresses of the voting replicas, none before they are known.
        self._voters: list[str] = []
        self._version_recorder = _versions.VersionRecorder(
            key=cfg.peer_key,
            voters=self._known_voters,
            current=self.targets.current_versions,
            log=log,
        )
        self.targets.on_new_version = self._version_recorder.notify
        self._origin_exchange = _origins.OriginExchange(
            name=cfg.name,
            region=cfg.region,
            domain=cfg.failure_domain,
            directory=self.instance_directory,
            key=cfg.peer_key,
            sees_all_targets=self._sees_all_targets,
            has_versions=self._has_versions,
            versions=self._version_recorder,
            log=log,
        )

    def _make_control_client(self) -> None:
        """Creates the clients of the control replicas."""
        self.control_client = control.ControlClient(
            replicas={address: address for address in self.cfg.replicas},
            key=self.cfg.peer_key,
        )
        self._feed_client = control.FeedClient(
            client=self.control_client,
            report=self._make_follow_report,
            on_event=self._on_follow_event,
            rng=self.rng,
            max_age=REPLICA_MAX_AGE_SECONDS,
        )

    def _make_budget_manager(self) -> None:
        """Creates the budget manager and what it uses of other entries."""
        self._guard_exchange = _guards.GuardExchange(
            name=self.cfg.name,
            domain=self.cfg.failure_domain,
            holder=self.holder,
            directory=self.instance_directory,
            key=self.cfg.peer_key,
            rng=self.rng,
            log=self.log,
        )
        self._loan_exchange = _loans.LoanExchange(
            name=self.cfg.name,
            domain=self.cfg.failure_domain,
            directory=self.instance_directory,
            key=self.cfg.peer_key,
            rng=self.rng,
            log=self.log,
        )
        self._spending_file: _spending_file.SpendingFile | None = None
        if self.cfg.data_directory is not None:
            self._spending_file = _spending_file.SpendingFile(
                path=self.cfg.data_directory / "spending", holder=self.holder
            )
            self._spending_file.open()
        self.budget_manager = budget.BudgetManager(
            escrow=budget.Escrow(
                holder=self.holder,
                policy=_token_holders.policy(is_named=False),
            ),
            control=self.control_client,
            witnesses=_token_holders.NullWitnesses(),
            unavailable=control.ControlUnavailableError,
            control_reachable=lambda: not self.is_cut_off,
            loan_client=self._loan_exchange,
            guards=self._guard_exchange,
            bounds_store=self._spending_file,
            log=self.log,
        )
        self._loan_exchange.attach(self.budget_manager)
        self._budget_log = _budget_log.BudgetLog(
            budget_manager=self.budget_manager, log=self.log
        )

    def _make_peer_services(self) -> None:
        """Creates the gossiper and the server for requests of other nodes."""
        cfg = self.cfg
        self._gossiper = gossip.Gossiper(
            name=cfg.name,
            instances=self.instance_directory,
            targets=self.target_directory,
            describe=self.describe,
            seeds=cfg.seeds,
            key=cfg.peer_key,
            on_change=self.targets.update,
            rng=self.rng,
            limits=self.target_limits,
        )
        self._peer_server = rpc.Server(
            address=cfg.peers_address,
            keys={"peer": rpc.hash_key(cfg.peer_key)},
            handlers=[
                (methods.SPREAD, self._receive_gossip),
                (methods.SPREAD_COMPACT, self._receive_gossip),
                (methods.LEND, self._loan_exchange.lend),
                (methods.SET_LIFTED, self._guard_exchange.receive),
                (methods.CLOSE_TERM, self._guard_exchange.answer),
                (methods.RECORD_ORIGINS, self._origin_exchange.receive),
                (methods.REACH_TARGET, self._reach_exchange.answer),
                (methods.FIND_ORIGIN, self._origin_exchange.answer),
            ],
            max_connections=cfg.max_peer_connections,
        )

    def _make_replica_manager(self) -> _replica_manager.ReplicaManager | None:
        if self.replica is None:
            return None
        return _replica_manager.ReplicaManager(
            server=self.replica,
            directory=self.instance_directory,
            desired_voters=self.cfg.desired_voters,
            log=self.log,
        )

    def _make_silent_holders(self) -> _silent_holders.SilentHolders | None:
        if self.replica is None:
            return None
        return _silent_holders.SilentHolders(
            server=self.replica,
            directory=self.instance_directory,
            records=self._guard_exchange.records,
            key=self.cfg.peer_key,
            log=self.log,
        )

    def _attach_silent_holders(self) -> None:
        """Connects the task of the leader to the present replica."""
        if self.replica is not None and self._silent_holders is not None:
            self._silent_holders.server = self.replica
            self.replica.before_succession = (
                self._silent_holders.free_predecessors
            )

    async def start(self) -> None:
        """Starts all tasks; callers can be served once :attr:`ready`."""
        if self.replica is not None:
            await self.replica.start()
        await self._peer_server.start()
        await self.control_client.start()
        await self._feed_client.start()
        await self._guard_exchange.start()
        await self.budget_manager.start()
        await self._gossiper.start()
        await self._version_recorder.start()
        await self._origin_exchange.start()
        await self.paths.start()
        if self._silent_holders is not None:
            await self._silent_holders.start()
            self._attach_silent_holders()
        if self._replica_manager is not None:
            await self._replica_manager.start()
            self._tasks.append(
                telemetry.start_task(self._supervise_replica(), "replica")
            )
        self._tasks.append(
            telemetry.start_task(self._monitor(), "target monitor")
        )
        self._tasks.append(
            telemetry.start_task(self._succeed_holders(), "succession")
        )
        self.log.write(
            "node started",
            incarnation=self.incarnation,
            replica=self.replica.name if self.replica else None,
            domain=self.cfg.failure_domain,
        )

    def apply_settings(self, cfg: _settings.NodeSettings) -> None:
        """Applies the seeds and control replicas of changed settings."""
        self._gossiper.set_seeds(cfg.seeds)
        self.control_client.add_replicas(
            {address: address for address in cfg.replicas}
        )

    async def wait_for_failure(self) -> None:
        """Never returns: a replica that fails is restarted."""
        await asyncio.Event().wait()

    async def _supervise_replica(self) -> None:
        """Restarts the replica whenever its storage has failed.

        Meanwhile the entry keeps serving and follows the other replicas.
        """
        while self.replica is not None:
            try:
                await self.replica.wait_for_failure()
            except consensus.StorageError as exc:
                self.log.write("replica stopped", reason=str(exc))
            await self.replica.close()
            self.replica = await self._restart_replica()
            if self._replica_manager is not None:
                self._replica_manager.server = self.replica
            self._attach_silent_holders()
            self.log.write("replica started again", replica=self.replica.name)

    async def _restart_replica(self) -> control.ControlServer:
        while True:
            await asyncio.sleep(REPLICA_RESTART_INTERVAL_SECONDS)
            try:
                replica = _replica.make_replica(self.cfg, self.rng)
                assert replica is not None
                await replica.start()
            except (consensus.StorageError, OSError) as exc:
                LOG.warning("replica failed to start, retrying: {}", exc)
                continue
            return replica

    def begin_drain(self, stop: gateway.PlannedStop) -> None:
        """Announces to callers and other nodes that this one stops."""
        self.draining = True
        self.gateway.begin_drain(stop)
        self._gossiper.trigger_round()
        self.log.write("node drains", in_flight=self.gateway.in_flight)

    async def close(self) -> None:
        """Settles open bills, returns grants, and stops all tasks."""
        try:
            async with asyncio.timeout(GRANT_RETURN_TIMEOUT_SECONDS):
                await self.budget_manager.close()
        except TimeoutError:
            self.log.write(
                "grants not returned", reason="control does not answer"
            )
            await self.budget_manager.abort()
        if self._replica_manager is not None:
            await self._replica_manager.close()
        if self._silent_holders is not None:
            await self._silent_holders.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.paths.close()
        await self.gateway.close()
        await self.quarantine.close()
        await self._gossiper.close()
        await self._feed_client.close()
        await self.control_client.close()
        await self._pool.close()
        await self._loan_exchange.close()
        await self._guard_exchange.close()
        await self._origin_exchange.close()
        await self._version_recorder.close()
        await self._reach_exchange.close()
        await self._peer_server.close()
        if self.replica is not None:
            await self.replica.close()
        self.log.write("node stopped")

    # Configuration

    @property
    def is_cut_off(self) -> bool:
        """Whether no up-to-date control replica was heard from recently."""
        return (
            time.monotonic() - self._control_contact_at
            > CONTROL_TIMEOUT_SECONDS
        )

    @property
    def ready(self) -> bool:
        """Whether callers may be sent to this node."""
        return self._has_current_routes and not self.draining

    @property
    def routes_version(self) -> int:
        table = self.gateway.route_index
        return 0 if table is None else table.version

    async def replace_routes(
        self, table: routes_wire.RoutingTable, source: bytes
    ) -> wire.Reply:
        """Commits a routing table.

        Raises ControlUnavailableError if the outcome is unknown.
        """
        command = wire.ReplaceRoutes(table=table, source=source)
        reply = await self.control_client.propose(
            command, timeout=COMMIT_TIMEOUT_SECONDS
        )
        self.log.write(
            "routes offered",
            version=table.version,
            held=self.routes_version,
            reply=type(reply).__name__,
        )
        return reply

    async def read_routes(self) -> wire.QueryReply:
        """Returns version and source of the last committed routing table.

        The read is linearizable; raises ControlUnavailableError if control
        can't confirm it in time.
        """
        query = wire.Query(kind="routes")
        return await self.control_client.query(
            query, timeout=READ_TIMEOUT_SECONDS
        )

    def _known_voters(self) -> list[str]:
        """Returns the addresses of the voting replicas.

        A replica of the last landing names them only before it knows that it
        is up to date.
        """
        if self._voters or not self._has_current_routes:
            return self._voters
        return list(self.control_client.replicas.values())

    def _make_follow_report(self) -> wire.FollowReport:
        return wire.FollowReport(
            name=self.cfg.name,
            incarnation=self.incarnation,
            number=0,
            index=0,
            suspects=0,
            draining=self.draining,
            routes_version=self.routes_version,
            evacuations=self.evacuations.index,
        )

    def _on_follow_event(self, event: wire.FollowEvent) -> None:
        if event.age < CONTROL_TIMEOUT_SECONDS:
            self._control_contact_at = time.monotonic() - event.age
        if event.replicas is not None:
            self.control_client.set_replicas(event.replicas)
            if math.isfinite(event.age):
                self._voters = list(event.replicas.values())
                self._version_recorder.notify()
        for name in event.recalls:
            self.budget_manager.recall(name)
        if event.quarantine is not None:
            self.quarantine.apply(event.quarantine)
        # Before the first routing table, with which the entry begins to serve.
        if self.evacuations.apply(event):
            self._feed_client.notify()
        if event.routes is not None and self.gateway.apply_routing_table(
            event.routes
        ):
            self._on_routing_table(event.routes, event.age)
        if event.age < CONTROL_TIMEOUT_SECONDS and self.routes_version:
            self._has_current_routes = True

    def _on_routing_table(
        self, table: routes_wire.RoutingTable, age: float
    ) -> None:
        self.log.write(
            "routes in force",
            version=table.version,
            routes=len(table.routes),
            teams=len(table.teams),
            age=round(age, 3),
        )
        self._feed_client.notify()
        self._hold_tokens(table, prefetch=self._naming.prefetched)

    def _update_named(self, now: float) -> None:
        """Learns whether callers are sent here, and holds tokens if so."""
        if now < self._next_named_check_at or self.is_cut_off:
            return
        self._next_named_check_at = now + NAMED_CHECK_INTERVAL_SECONDS
        if not self.ready or self._is_warming_up:
            return
        named = self._named_entries.choose_all(
            self._known_alive(now), self.rng, now
        )
        is_named = self.cfg.callers_address in named
        if self._naming.update(is_named=is_named, count=len(named), now=now):
            self.log.write(
                "named to callers", named=is_named, entries=len(named)
            )
            self.budget_manager.set_policy(
                _token_holders.policy(is_named=is_named)
            )
        if self.gateway.route_index is not None:
            self._hold_tokens(
                self.gateway.route_index.table,
                prefetch=self._naming.prefetch_due(now),
            )

    def _hold_tokens(
        self, table: routes_wire.RoutingTable, *, prefetch: bool
    ) -> None:
        """Limits the tokens held without demand, and requests them."""
        _token_holders.hold_tokens(
            self.budget_manager, table, self._naming.count, prefetch=prefetch
        )

    # Targets and other nodes

    def _has_versions(self, service: str) -> bool:
        """Whether the targets of a service have had several versions."""
        return len(self.targets.versions(service, float("-inf"))) > 1

    def _sees_all_targets(self) -> bool:
        """Whether a target that this entry doesn't know is unlikely.

        Targets announce themselves to any entry, so one that has lost most
        others, or has just started, may not have heard of some.
        """
        now = time.monotonic()
        known = [
            entry
            for entry in self.instance_directory.all()
            if entry.state != "draining"
        ]
        alive = self.instance_directory.alive(now)
        return (
            not self.is_cut_off
            and not self._is_warming_up
            and len(alive) > len(known) / 2
        )

    def announce_target(self, target: gossip_wire.Target) -> None:
        """Stores and spreads a target's own announcement."""
        known = self.target_directory.get(target.name)
        self._gossiper.announce(target)
        if known is None or known.state != target.state:
            self.log.write(
                "target announced",
                target=target.name,
                address=target.address,
                state=target.state,
                version=target.version,
                sequence=target.sequence,
            )

    def deregister_target(self, name: str, started: float | None) -> bool:
        """Marks a target as leaving; returns False if it is not known.

        ``started`` identifies its incarnation, None if the target did not
        send it.
        """
        known = self.target_directory.get(name)
        if not isinstance(known, gossip_wire.Target) or started not in (
            None,
            known.started,
        ):
            return False
        # Other nodes may have had later reports of the target, and reports
        # that it sent before may still arrive.
        sequence = max(known.sequence, LAST_SEQUENCE) + 1
        leaving = msgspec.structs.replace(
            known, sequence=sequence, state="leaving"
        )
        self.announce_target(leaving)
        return True

    def _on_target_leaving(self, target: gossip_wire.Target) -> None:
        """Marks a target that says in its answers that it leaves."""
        known = self.target_directory.get(target.name)
        if known is not None and known.state == "ready":
            self.deregister_target(target.name, target.started)

    def select_entries(self, domain: str, region: str) -> list[str]:
        """Returns addresses that callers of a failure domain should use.

        An empty ``domain`` or ``region`` stands for that of this node.
        """
        selected = self._choose_entries(domain, region)
        previous, logged_at = self._logged_selections.get(
            domain, (None, float("-inf"))
        )
        now = time.monotonic()
        if (
            previous != set(selected)
            and now - logged_at >= SELECTION_LOG_INTERVAL_SECONDS
        ):
            if len(self._logged_selections) >= MAX_LOGGED_DOMAINS:
                # Callers may send any name, so the number is bounded; the
                # domains in use are added again with their next request.
                self._logged_selections.clear()
            self._logged_selections[domain] = (set(selected), now)
            self.log.write(
                "entries named",
                domain=domain,
                entries=sorted(selected),
                cut_off=self.is_cut_off,
                silent=_entries.longest_silence(
                    self.instance_directory, selected, now
                ),
            )
        return selected

    def _choose_entries(self, domain: str, region: str) -> list[str]:
        if self._is_warming_up:
            return []
        now = time.monotonic()
        if self.is_cut_off:
            last_refused_at = self.gateway.prepaid.last_refused_at
            return _entries.choose_while_cut_off(
                self.describe(),
                _entries.last_known(
                    self.instance_directory,
                    contact_at=self._control_contact_at,
                    now=now,
                ),
                self.rng,
                lacks_tokens=now - last_refused_at < REFUSAL_BACKOFF_SECONDS,
            )
        return self._named_entries.choose(
            self._known_alive(now),
            domain or self.cfg.failure_domain,
            region or self.cfg.region,
            self.rng,
            now,
        )

    @property
    def _is_warming_up(self) -> bool:
        """Whether this node started too recently to know the others."""
        return time.time() - self.started < DISCOVERY_WARMUP_SECONDS

    def _known_alive(self, now: float) -> list[gossip_wire.Instance]:
        """Returns all nodes that are alive, this one included."""
        alive = self.instance_directory.alive(now)
        others = [entry for entry in alive if entry.name != self.cfg.name]
        return [*others, self.describe()]

    def describe(self) -> gossip_wire.Instance:
        """Returns this node's announcement with a new sequence number."""
        self._sequence += 1
        state = "serving" if self.ready else "starting"
        if self.ready and self.is_cut_off:
            state = "cut-off"
        if self.draining:
            state = "draining"
        replica = self.replica
        return gossip_wire.Instance(
            name=self.cfg.name,
            incarnation=self.incarnation,
            started=self.started,
            sequence=self._sequence,
            address=self.cfg.callers_address,
            peer_address=self.cfg.peers_address,
            failure_domain=self.cfg.failure_domain,
            region=self.cfg.region,
            state=state,
            in_flight=self.gateway.in_flight,
            cores=self.cfg.cores,
            cores_used=self.resource_meter.cores_used(),
            replica=replica.name if replica else "",
            replica_address=self.cfg.control_address if replica else "",
            request_rate=round(
                self.gateway.request_rate.value(time.monotonic()), 2
            ),
            relay_address=self.cfg.relay_address,
            unreachable=sorted(self.paths.lost),
            isolated=self.paths.isolated,
            understands_evacuations=True,
            **self.resource_meter.announced(),
        )

    def entries_with_path(
        self, service: str, regions: frozenset[str] | None
    ) -> list[str]:
        """See :class:`galenashed.gateway.PeerFinder`."""
        return _entries.with_path(
            self.instance_directory.alive(time.monotonic()),
            service,
            self.cfg.failure_domain,
            self.rng,
            regions=regions,
        )

    async def any_reaches(self, address: str) -> bool:
        """See :class:`galenashed.gateway.PeerFinder`."""
        return await self._reach_exchange.any_reaches(address)

    async def _receive_gossip(self, requests, context) -> bool:
        async for messages in requests:
            for message in messages:
                self._gossiper.receive(message)
        return True

    async def _succeed_holders(self) -> None:
        """Has control take back the grants of earlier processes here.

        These are the processes that listened on the same callers' address.
        """
        # Control applies what the disk knows before it counts the rest.
        bounded = 0
        file = self._spending_file
        for item in [] if file is None else file.predecessors:
            await asyncio.gather(
                *[
                    self._propose_until_committed(
                        wire.ShrinkGrant(
                            grant=grant, holder=item.holder, amount=bound
                        )
                    )
                    for grant, bound in item.bounds.items()
                ]
            )
            bounded += len(item.bounds)
        reply = await self._propose_until_committed(
            wire.SucceedHolder(
                place=self.cfg.callers_address,
                holder=self.holder,
                started_at=self.place_held_since,
            )
        )
        assert isinstance(reply, wire.Succession)
        if file is not None:
            file.forget_predecessors()
        self.log.write(
            "succession",
            freed=reply.freed,
            lost=reply.lost,
            silent=reply.silent,
            unannounced=reply.unannounced,
            bounded=bounded,
        )

    async def _propose_until_committed(
        self, command: wire.Command
    ) -> wire.Reply:
        while True:
            try:
                return await self.control_client.propose(
                    command, timeout=COMMIT_TIMEOUT_SECONDS
                )
            except control.ControlUnavailableError as exc:
                LOG.warning("succession not committed, retrying: {}", exc)

    async def _monitor(self) -> None:
        while True:
            await asyncio.sleep(MONITOR_INTERVAL_SECONDS)
            now = time.monotonic()
            self.targets.set_alive(
                (target.name for target in self.target_directory.alive(now)),
                self.target_directory.names(),
                now,
            )
            self.resource_meter.update(now)
            self.paths.check_silence(self.gateway.waiting_since(), now)
            alive = self.instance_directory.alive(now)
            everyone = self._known_alive(now)
            self.target_limits.set_senders(_entries.serving(everyone), now)
            self.targets.cold.set_entries(
                everyone,
                in_contact=not self.is_cut_off,
                now=now,
                unix_now=time.time(),
            )
            burst = self.cfg.retry_burst / max(1, len(alive))
            self.gateway.retries.max_saved = max(MIN_SAVED_RETRIES, burst)
            self._check_control_contact()
            self._update_named(now)
            self._budget_log.write(self.replica, now)

    @property
    def gossip_kind(self) -> str:
        """See :attr:`galenashed.gossip.Gossiper.kind`."""
        return self._gossiper.kind

    def resources(self) -> dict[str, int]:
        """Returns what may grow in this process, by the log's fields."""
        counts = {
            "tasks": len(asyncio.all_tasks()),
            "in_flight": self.gateway.in_flight,
            "links": self._gossiper.link_count,
            "loan_channels": self._loan_exchange.channel_count,
            "stream_origins": len(self._origin_exchange.records),
            "pending_commands": self.control_client.pending_count,
        }
        if self.replica is not None:
            counts.update(self.replica.resources())
        return counts

    def _check_control_contact(self) -> None:
        """Logs loss and recovery of the contact with control.

        While it is lost, the replicas that other entries announce are tried
        too.
        """
        if self.is_cut_off != self._logged_cut_off:
            self._logged_cut_off = self.is_cut_off
            change = "lost" if self.is_cut_off else "regained"
            self.log.write(
                f"control {change}",
                age=round(time.monotonic() - self._control_contact_at, 3),
                replicas=self.control_client.names,
            )
        if self.is_cut_off:
            now = time.monotonic()
            announced = {
                entry.replica: entry.replica_address
                for entry in self.instance_directory.alive(now)
                if entry.replica
            }
            self.control_client.add_replicas(announced)
