"""A node: an entry for callers, and a control replica where there is a disk.

The node composes the parts of the product in one process.  What callers,
operators and targets speak is another's concern: they reach the node by its
methods.
"""

import asyncio
import random
import time
import uuid

import loguru

from galenashed import budget
from galenashed import consensus
from galenashed import control
from galenashed import engines
from galenashed import gateway
from galenashed import gossip
from galenashed import membership
from galenashed.node import _entries
from galenashed.node import _loans
from galenashed.node import _replica
from galenashed.node import _replica_manager
from galenashed.node import _settings
from galenashed.protocol import control as wire
from galenashed.protocol import methods
from galenashed.protocol import routes as routes_wire
from galenashed.protocol import rpc
from galenashed.protocol import spread as spread_wire
from galenashed import routing
from galenashed import telemetry

LOG = loguru.logger

INSTANCE_LEASE_SECONDS = 2.5
REPLICA_MAX_AGE_SECONDS = 2.0
# Without a sign of life from control for this long an entry takes itself
# for cut off: three signs of life and the slack of a busy process.
CUT_OFF_SECONDS = 1.0
TARGETS_SECONDS = 0.25
# Seconds that an operator's change may take before it is left open.
COMMIT_SECONDS = 2.0
READ_SECONDS = 0.9
# What a node may save up of the shared allowance of retries at least.
LEAST_SAVED_RETRIES = 2.0
# Of a team's prepaid total, what the entries with a replica together take
# before there is any demand, so that a team's first request finds some.
PREFETCH_SHARE = 0.15
# An entry that is cut off and has refused a request for want of tokens is not
# named to callers for this long; several times as long as answers are kept.
SHORT_SECONDS = 5.0
CONNECT_SECONDS = 0.5
# Between two log lines of what callers are told; entries that have no replica
# are drawn anew for each answer.
NAMED_LOG_SECONDS = 1.0
# Failure domains that are remembered for it; several times the seven of the
# size in two years.
MOST_DOMAINS = 64
# Between two tries to start a replica whose disk has failed.
MEND_SECONDS = 0.5
# Between two lines on what all budgets stand at.
BUDGETS_SECONDS = 2.0
# After its start a node knows too few others to tell callers of entries.
LEARN_SECONDS = 2.0
# Seconds kept back from the time to stop, for the answers to arrive.
STOP_MARGIN_SECONDS = 0.5


class _NoWitnesses:
    """No other entry is told what this one may spend."""

    def choose(self) -> list[str]:
        """See :class:`galenashed.budget.Witnesses`."""
        return []

    def send(self, notes) -> None:
        """See :class:`galenashed.budget.Witnesses`."""


class Node:
    """One node.

    Parameters
    ----------
    cfg : NodeSettings
        Checked settings.
    codec : galenashed.gateway.TargetCodec
        How targets are spoken to.
    log : DecisionLog
        Takes decision lines.
    metrics : Metrics
        Takes counts and durations.
    rng : random.Random
        Spreads load and breaks ties.
    """

    def __init__(
        self,
        *,
        cfg: _settings.NodeSettings,
        codec: gateway.TargetCodec,
        log: telemetry.DecisionLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ):
        self.cfg = cfg
        self.log = log
        self.rng = rng
        self.incarnation = uuid.uuid4().hex[:12]
        # Only one process can listen there, so a new holder of a place
        # proves that the ones before it are gone.
        self.holder = f"{cfg.callers_address}/{self.incarnation}"
        self.started = time.time()
        self.draining = False
        self._sequence = 0
        # What callers of each failure domain were told, and when that was
        # logged last.
        self._named: dict[str, tuple[set[str], float]] = {}
        self._meter = telemetry.ProcessorMeter()
        self._fresh_at = 0.0
        self._budgets_at = 0.0
        self._caught_up = False
        self._known_cut_off = False
        self._tasks: list[asyncio.Task] = []
        self.directory = membership.Directory(lease=INSTANCE_LEASE_SECONDS)
        self.announced = membership.Directory(lease=cfg.target_lease)
        self.targets = gateway.Targets(domain=cfg.domain)
        self.replica = _replica.make_replica(cfg, rng)
        self._replica_manager = self._make_replica_manager()
        self._make_control_client()
        self._make_budget_manager()
        self._pool = engines.ConnectionPool(connect_timeout=CONNECT_SECONDS)
        self.gateway = gateway.Gateway(
            targets=self.targets,
            prepaid=gateway.PrepaidAccounts(
                budget_manager=self.budget_manager
            ),
            pool=self._pool,
            codec=codec,
            retries=routing.RetryBudget(
                share=cfg.retry_share, max_saved=LEAST_SAVED_RETRIES
            ),
            log=log,
            metrics=metrics,
            rng=rng,
        )
        self._make_peers()

    def _make_control_client(self) -> None:
        """Makes what reaches the control replicas and follows them."""
        cfg = self.cfg
        self.proposer = control.ControlClient(
            replicas={item: item for item in cfg.replicas}, key=cfg.peer_key
        )
        self._feed_client = control.FeedClient(
            client=self.proposer,
            report=self._report,
            on_event=self._on_event,
            rng=self.rng,
            max_age=REPLICA_MAX_AGE_SECONDS,
        )

    def _make_budget_manager(self) -> None:
        """Makes the holder of prepaid tokens, and whom it borrows from."""
        self._loans = _loans.LoanExchange(
            name=self.cfg.name,
            directory=self.directory,
            key=self.cfg.peer_key,
            rng=self.rng,
            log=self.log,
        )
        policy = "standby" if self.replica is None else "cut-tolerant"
        self.budget_manager = budget.BudgetManager(
            escrow=budget.Escrow(
                holder=self.holder, policy=budget.POLICIES[policy]
            ),
            control=self.proposer,
            witnesses=_NoWitnesses(),
            unavailable=control.ControlUnavailableError,
            control_reachable=lambda: not self.is_cut_off,
            loan_client=self._loans,
        )
        self._loans.attach(self.budget_manager)

    def _make_peers(self) -> None:
        """Makes what other nodes reach, and what tells them news."""
        cfg = self.cfg
        self._gossiper = gossip.Gossiper(
            name=cfg.name,
            instances=self.directory,
            targets=self.announced,
            describe=self.describe,
            seeds=cfg.seeds,
            key=cfg.peer_key,
            on_change=self.targets.update,
            rng=self.rng,
        )
        self._peers = rpc.Server(
            address=cfg.peers_address,
            keys={"peer": rpc.hash_key(cfg.peer_key)},
            handlers=[
                (methods.SPREAD, self._receive_spread),
                (methods.LEND, self._loans.serve),
            ],
        )

    def _make_replica_manager(self) -> _replica_manager.ReplicaManager | None:
        if self.replica is None:
            return None
        return _replica_manager.ReplicaManager(
            server=self.replica,
            directory=self.directory,
            wanted=self.cfg.voters,
            log=self.log,
        )

    async def start(self) -> None:
        """Starts all tasks; callers can be served once :attr:`ready`."""
        if self.replica is not None:
            await self.replica.start()
        await self._peers.start()
        await self.proposer.start()
        await self._feed_client.start()
        await self.budget_manager.start()
        await self._gossiper.start()
        if self._replica_manager is not None:
            await self._replica_manager.start()
            self._tasks.append(
                telemetry.start_task(self._mend_replica(), "replica")
            )
        self._tasks.append(
            telemetry.start_task(self._watch(), "watch of targets")
        )
        self._tasks.append(telemetry.start_task(self._succeed(), "succession"))
        self.log.write(
            "node started",
            incarnation=self.incarnation,
            replica=self.replica.name if self.replica else None,
            domain=self.cfg.domain,
        )

    def set_seeds(self, cfg: _settings.NodeSettings) -> None:
        """Takes other nodes to begin with from changed settings."""
        self._gossiper.set_seeds(cfg.seeds)
        self.proposer.add_replicas({item: item for item in cfg.replicas})

    async def wait_failed(self) -> None:
        """Never returns: a replica that fails is started again."""
        await asyncio.Event().wait()

    async def _mend_replica(self) -> None:
        """Starts the replica again when its disk has failed it.

        The entry goes on meanwhile, on the other replicas' word.
        """
        while self.replica is not None:
            try:
                await self.replica.wait_failed()
            except consensus.StorageError as exc:
                self.log.write("replica stopped", reason=str(exc))
            await self.replica.close()
            self.replica = await self._restart_replica()
            if self._replica_manager is not None:
                self._replica_manager.server = self.replica
            self.log.write("replica started again", replica=self.replica.name)

    async def _restart_replica(self) -> control.ControlServer:
        while True:
            await asyncio.sleep(MEND_SECONDS)
            try:
                replica = _replica.make_replica(self.cfg, self.rng)
                assert replica is not None
                await replica.start()
            except (consensus.StorageError, OSError) as exc:
                LOG.warning("replica can't start yet: {}", exc)
                continue
            return replica

    def begin_drain(self) -> None:
        """Has callers and other nodes told that this one stops."""
        self.draining = True
        self._gossiper.notify()
        self.log.write("node drains", in_flight=self.gateway.in_flight)

    async def close(self) -> None:
        """Bills what is open, gives grants back, and stops all tasks."""
        try:
            async with asyncio.timeout(STOP_MARGIN_SECONDS):
                await self.budget_manager.close()
        except TimeoutError:
            self.log.write(
                "grants not returned", reason="control does not answer"
            )
            await self.budget_manager.abort()
        if self._replica_manager is not None:
            await self._replica_manager.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._gossiper.close()
        await self._feed_client.close()
        await self.proposer.close()
        await self._pool.close()
        await self._loans.close()
        await self._peers.close()
        if self.replica is not None:
            await self.replica.close()
        self.log.write("node stopped")

    # Configuration

    @property
    def is_cut_off(self) -> bool:
        """Whether no up-to-date control replica has been heard lately."""
        return time.monotonic() - self._fresh_at > CUT_OFF_SECONDS

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return self._caught_up and not self.draining

    @property
    def routes_version(self) -> int:
        routing_in_force = self.gateway.routing
        return 0 if routing_in_force is None else routing_in_force.version

    async def replace_routes(
        self, table: routes_wire.RoutingTable, source: bytes
    ) -> wire.Reply:
        """Commits a table; raises ControlUnavailableError if that is open."""
        command = wire.ReplaceRoutes(table=table, source=source)
        reply = await self.proposer.propose(command, timeout=COMMIT_SECONDS)
        self.log.write(
            "routes offered",
            version=table.version,
            held=self.routes_version,
            reply=type(reply).__name__,
        )
        return reply

    async def read_routes(self) -> wire.QueryReply:
        """Returns the newest table's version and source, surely.

        Raises ControlUnavailableError if that can't be known now.
        """
        query = wire.Query(kind="routes")
        return await self.proposer.query(query, timeout=READ_SECONDS)

    def _report(self) -> wire.FollowReport:
        return wire.FollowReport(
            name=self.cfg.name,
            incarnation=self.incarnation,
            number=0,
            index=0,
            suspects=0,
            draining=self.draining,
            routes_version=self.routes_version,
        )

    def _on_event(self, event: wire.FollowEvent) -> None:
        if event.age < CUT_OFF_SECONDS:
            self._fresh_at = time.monotonic() - event.age
        if event.replicas is not None:
            self.proposer.set_replicas(event.replicas)
        for name in event.recalls:
            self.budget_manager.recall(name)
        if event.routes is not None and self.gateway.apply_routing_table(
            event.routes
        ):
            self._on_table(event.routes, event.age)
        if event.age < CUT_OFF_SECONDS and self.routes_version:
            self._caught_up = True

    def _on_table(self, table: routes_wire.RoutingTable, age: float) -> None:
        self.log.write(
            "routes in force",
            version=table.version,
            routes=len(table.routes),
            teams=len(table.teams),
            age=round(age, 3),
        )
        self._feed_client.notify()
        if self.replica is not None:
            self._prefetch(table)

    def _prefetch(self, table: routes_wire.RoutingTable) -> None:
        """Takes some tokens of each team; callers are sent here first."""
        replicas = sum(
            bool(entry.replica)
            for entry in self.directory.alive(time.monotonic())
        )
        for team in table.teams:
            if team.prepaid is not None:
                share = team.prepaid * PREFETCH_SHARE / max(1, replicas)
                self.budget_manager.prefetch(team.name, int(share))

    # Targets and other nodes

    def announce(self, target: spread_wire.Target) -> None:
        """Takes a target's word on itself."""
        held = self.announced.get(target.name)
        self._gossiper.announce(target)
        if held is None or held.state != target.state:
            self.log.write(
                "target announced",
                target=target.name,
                address=target.address,
                state=target.state,
                sequence=target.sequence,
            )

    def leave(self, name: str, started: float | None) -> bool:
        """Takes a target's word that it goes; False if it is not known.

        ``started`` tells its incarnation, if it says so.
        """
        held = self.announced.get(name)
        if not isinstance(held, spread_wire.Target) or started not in (
            None,
            held.started,
        ):
            return False
        gone = spread_wire.Target(
            name=held.name,
            incarnation=held.incarnation,
            started=held.started,
            sequence=held.sequence + 1,
            service=held.service,
            address=held.address,
            failure_domain=held.failure_domain,
            state="leaving",
            slots=held.slots,
        )
        self.announce(gone)
        return True

    def select_entries(self, domain: str, region: str) -> list[str]:
        """Returns where callers of a failure domain should connect.

        What a caller does not tell is taken to be as it is here.
        """
        named = self._choose_entries(domain, region)
        before, logged_at = self._named.get(domain, (None, float("-inf")))
        now = time.monotonic()
        if before != set(named) and now - logged_at >= NAMED_LOG_SECONDS:
            if len(self._named) >= MOST_DOMAINS:
                # Callers may name any; those in use come back at once.
                self._named.clear()
            self._named[domain] = (set(named), now)
            self.log.write(
                "entries named",
                domain=domain,
                entries=sorted(named),
                cut_off=self.is_cut_off,
            )
        return named

    def _choose_entries(self, domain: str, region: str) -> list[str]:
        if time.time() - self.started < LEARN_SECONDS:
            return []
        own = self.describe()
        if self.is_cut_off:
            last_refused_at = self.gateway.prepaid.last_refused_at
            return _entries.choose_cut_off(
                own,
                self.directory.all(),
                self.rng,
                short=time.monotonic() - last_refused_at < SHORT_SECONDS,
            )
        alive = self.directory.alive(time.monotonic())
        others = [entry for entry in alive if entry.name != self.cfg.name]
        return _entries.choose(
            [*others, own],
            domain or self.cfg.domain,
            region or self.cfg.region,
            self.rng,
        )

    def describe(self) -> spread_wire.Instance:
        """Returns this node's announcement, newer at each call."""
        self._sequence += 1
        state = "serving" if self.ready else "starting"
        if self.ready and self.is_cut_off:
            state = "cut-off"
        if self.draining:
            state = "draining"
        replica = self.replica
        return spread_wire.Instance(
            name=self.cfg.name,
            incarnation=self.incarnation,
            started=self.started,
            sequence=self._sequence,
            address=self.cfg.callers_address,
            peer_address=self.cfg.peers_address,
            failure_domain=self.cfg.domain,
            region=self.cfg.region,
            state=state,
            in_flight=self.gateway.in_flight,
            cores=self.cfg.cores,
            cores_used=self._meter.used(now=time.monotonic()),
            replica=replica.name if replica else "",
            replica_address=self.cfg.control_address if replica else "",
        )

    async def _receive_spread(self, requests, context) -> bool:
        async for messages in requests:
            for message in messages:
                self._gossiper.receive(message)
        return True

    async def _succeed(self) -> None:
        """Has control free what earlier processes at this place held."""
        command = wire.SucceedHolder(
            place=self.cfg.callers_address,
            holder=self.holder,
            started_at=self.started,
        )
        while True:
            try:
                reply = await self.proposer.propose(
                    command, timeout=COMMIT_SECONDS
                )
            except control.ControlUnavailableError as exc:
                LOG.warning("succession is not committed yet: {}", exc)
                continue
            assert isinstance(reply, wire.Succession)
            self.log.write(
                "succession",
                freed=reply.freed,
                lost=reply.lost,
                silent=reply.silent,
            )
            return

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(TARGETS_SECONDS)
            now = time.monotonic()
            self.targets.set_alive(
                (target.name for target in self.announced.alive(now)),
                self.announced.names(),
                now,
            )
            nodes = max(1, len(self.directory.alive(now)))
            self.gateway.retries.max_saved = max(
                LEAST_SAVED_RETRIES, self.cfg.retry_slack / nodes
            )
            self._note_contact()
            self._note_budgets(now)

    def _note_budgets(self, now: float) -> None:
        """Logs now and then what all budgets stand at, if this leads."""
        if self.replica is None or not self.replica.node.is_leader:
            return
        if now >= self._budgets_at:
            self._budgets_at = now + BUDGETS_SECONDS
            self.log.write(
                "budgets", **self.replica.state_machine.budget_totals()
            )

    def _note_contact(self) -> None:
        """Logs a lost or regained control, and looks for it elsewhere."""
        if self.is_cut_off != self._known_cut_off:
            self._known_cut_off = self.is_cut_off
            word = "lost" if self.is_cut_off else "regained"
            self.log.write(
                f"control {word}",
                age=round(time.monotonic() - self._fresh_at, 3),
                replicas=self.proposer.names,
            )
        if self.is_cut_off:
            now = time.monotonic()
            heard = {
                entry.replica: entry.replica_address
                for entry in self.directory.alive(now)
                if entry.replica
            }
            self.proposer.add_replicas(heard)
