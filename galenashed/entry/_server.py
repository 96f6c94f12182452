"""The server of an entry and its asyncio tasks."""

import asyncio
import random
import time
import uuid

import loguru

from galenashed import budget
from galenashed import clients
from galenashed import config
from galenashed import control
from galenashed import engines
from galenashed.entry import _app
from galenashed.entry import _calls
from galenashed.entry import _claims
from galenashed.entry import _configuration
from galenashed.entry import _crashes
from galenashed.entry import _dispatcher
from galenashed.entry import _forwarding
from galenashed.entry import _instances
from galenashed.entry import _models
from galenashed.entry import _reservations
from galenashed.entry import _runs
from galenashed.entry import _suspects
from galenashed.entry import _witnesses
from galenashed import gossip
from galenashed import membership
from galenashed.protocol import control as control_wire
from galenashed.protocol import gossip as wire
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed import quarantine
from galenashed import routing
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

MAX_QUEUE_SECONDS = 10.0
INSTANCE_LEASE_SECONDS = 3.0
CATCH_UP_POLL_SECONDS = 0.02
# Time until gossip has told the other entries that this one is draining.
GOSSIP_DELAY_SECONDS = 1.0
REPLICA_MAX_AGE_SECONDS = 2.0
SENDERS_INTERVAL_SECONDS = 0.25


class EntryServer:
    """One entry: its HTTP server, its peer server and their tasks.

    Parameters
    ----------
    cfg : galenashed.config.EntrySettings
        Validated settings.
    rng : random.Random
        Spreads load and breaks ties.

    Example::

        entry = EntryServer(cfg=cfg, rng=random.Random())
        await entry.start()
        ...
        await entry.drain()
    """

    def __init__(self, *, cfg: config.EntrySettings, rng: random.Random):
        self.cfg = cfg
        self.incarnation = uuid.uuid4().hex[:12]
        self.holder = f"{cfg.name}/{self.incarnation}"
        self.started = time.time()
        self._sequence = 0
        self._state = "serving"
        self._senders_task: asyncio.Task | None = None
        self._metrics = telemetry.open_metrics(
            cfg.statsd, f"galenashed.{cfg.name}"
        )
        self._make_control(rng)
        self._make_routing(rng)
        self.app = self._make_app()
        self._http = web.HttpServer(
            app=self.app,
            address=cfg.callers_address,
            limits=web.ConnectionLimits(
                max_connections=cfg.max_connections,
                head_timeout=cfg.receive_timeout,
                max_head_bytes=cfg.max_head_bytes,
                max_held_bytes=cfg.max_held_bytes,
                stall_timeout=cfg.stall_timeout,
            ),
            metrics=self._metrics,
        )
        self._peers = rpc.Server(
            address=cfg.peers_address,
            keys={"peer": rpc.hash_key(cfg.peer_key)},
            handlers=[
                (methods.SPREAD, self._receive_gossip),
                (methods.SPREAD_COMPACT, self._receive_gossip),
                (methods.WITNESS, self._witness.serve),
                (methods.REACH_TARGET, self._reach_exchange.answer),
            ],
            max_connections=cfg.max_peer_connections,
        )

    def _make_control(self, rng: random.Random) -> None:
        """Creates the components that talk to the control replicas."""
        cfg = self.cfg
        policy = budget.POLICIES[cfg.preset]
        self.configuration = _configuration.Configuration(
            max_stale=cfg.max_stale, serve_when_stale=policy.serve_when_stale
        )
        self.control_client = control.ControlClient(
            replicas=cfg.replicas, key=cfg.peer_key
        )
        self.quarantine = quarantine.Quarantine(
            control=self.control_client,
            unavailable=control.ControlUnavailableError,
            log=_suspects.ProcessLog(),
        )
        self._feed_client = control.FeedClient(
            client=self.control_client,
            report=self._follow_report,
            on_event=self._on_event,
            rng=rng,
            max_age=REPLICA_MAX_AGE_SECONDS,
        )
        self.instance_directory = membership.Directory(
            lease=INSTANCE_LEASE_SECONDS
        )
        self._witness_links = _witnesses.WitnessLinks(
            holder=self.holder,
            failure_domain=cfg.failure_domain,
            directory=self.instance_directory,
            key=cfg.peer_key,
            rng=rng,
        )
        self.budget_manager = budget.BudgetManager(
            escrow=budget.Escrow(holder=self.holder, policy=policy),
            control=self.control_client,
            witnesses=self._witness_links,
            unavailable=control.ControlUnavailableError,
        )
        self._witness_links.attach(self.budget_manager)
        self._witness = _witnesses.WitnessServer(
            records=budget.WitnessRecords(
                name=self.holder,
                holder_timeout=_witnesses.HOLDER_TIMEOUT_SECONDS,
            ),
            directory=self.instance_directory,
            links=self._witness_links,
            control_client=self.control_client,
        )

    def _make_routing(self, rng: random.Random) -> None:
        """Creates the target directory, the dispatcher and the gossiper."""
        cfg = self.cfg
        self.target_directory = membership.Directory(lease=cfg.target_lease)
        self.target_limits = routing.TargetLimits(name=cfg.name)
        self.dispatcher = _dispatcher.Dispatcher(
            router=routing.make_router("affinity", rng, self.target_limits),
            targets=self.target_directory,
            configuration=self.configuration,
            max_queue=cfg.max_queue,
            max_wait=MAX_QUEUE_SECONDS,
        )
        self._gossiper = gossip.Gossiper(
            name=cfg.name,
            instances=self.instance_directory,
            targets=self.target_directory,
            describe=self.describe,
            seeds=cfg.seeds,
            key=cfg.peer_key,
            on_change=self.dispatcher.on_target_update,
            rng=rng,
            limits=self.target_limits,
        )
        self._client = clients.TargetClient()
        self.paths = engines.Paths(
            pool=self._client,
            targets=self.dispatcher,
            log=_suspects.ProcessLog(),
            metrics=self._metrics,
            rng=rng,
        )
        self._client.on_failed = self.paths.on_connect_failed
        self.paths.on_change = self._gossiper.trigger_round
        self._reach_exchange = gossip.ReachExchange(
            directory=self.instance_directory,
            key=cfg.peer_key,
            prober=self._client,
            targets=self.dispatcher,
            rng=rng,
        )
        self._instances = _instances.Instances(
            directory=self.instance_directory,
            describe=self.describe,
            max_age=cfg.instances_max_age,
            target_lease=cfg.target_lease,
            rng=rng,
        )

    def _make_app(self) -> _app.EntryApp:
        """Creates the request handlers and the HTTP application."""
        self._forwarder = _forwarding.PeerForwarder(
            name=self.cfg.name,
            paths=self.paths,
            instances=self._instances,
            metrics=self._metrics,
        )
        crashes = _crashes.CrashDetector(
            client=self._client, paths=self.paths, reach=self._reach_exchange
        )
        self._claims = _claims.Claims(
            control_client=self.control_client,
            holder=self.holder,
            is_alive=self._is_alive,
        )
        reservations = _reservations.Reservations(
            budget_manager=self.budget_manager, metrics=self._metrics
        )
        self._crash_quarantine = _suspects.CrashQuarantine(
            control_client=self.control_client,
            configuration=self.configuration,
            alive_entries=lambda: self.instance_directory.alive(
                time.monotonic()
            ),
            parts=self.quarantine,
            on_acknowledged=self._feed_client.notify,
        )
        runner = _runs.EngineRunner(
            dispatcher=self.dispatcher,
            client=self._client,
            crash_handler=self._crash_quarantine,
            crashes=crashes,
            metrics=self._metrics,
        )
        return _app.EntryApp(
            cfg=self.cfg,
            configuration=self.configuration,
            models=_models.ModelHandler(
                configuration=self.configuration,
                dispatcher=self.dispatcher,
                reservations=reservations,
                runner=runner,
                quarantine=self._crash_quarantine,
                metrics=self._metrics,
            ),
            calls=_calls.CallHandler(
                dispatcher=self.dispatcher,
                reservations=reservations,
                client=self._client,
                claims=self._claims,
                crash_quarantine=self.quarantine,
                crashes=crashes,
                metrics=self._metrics,
            ),
            forwarder=self._forwarder,
            instances=self._instances,
            control_client=self.control_client,
            flush_bills=self.budget_manager.flush,
            announce=self._gossiper.announce,
            targets=self.target_directory,
        )

    async def start(self) -> None:
        """Starts serving once the current configuration is loaded."""
        await self._client.start()
        await self._forwarder.start()
        await self.control_client.start()
        await self._feed_client.start()
        await self.budget_manager.start()
        await self.dispatcher.start()
        await self.paths.start()
        await self._peers.start()
        await self.app.start()
        while not self.configuration.serving:
            await asyncio.sleep(CATCH_UP_POLL_SECONDS)
        await self._http.start()
        await self._gossiper.start()
        await self._witness.start()
        self._senders_task = telemetry.start_task(
            self._update_senders(), "senders"
        )
        LOG.info("entry {} is serving on port {}", self.holder, self.port)

    async def drain(self) -> None:
        """Shuts down gracefully.

        Serves callers until their cached response of ``/v1/instances`` has
        expired, and lets all running requests finish.  Responses close their
        connections.
        """
        LOG.info("entry {} is draining", self.holder)
        self._state = "draining"
        self._http.begin_drain()
        self._gossiper.trigger_round()
        await asyncio.sleep(self.cfg.instances_max_age + GOSSIP_DELAY_SECONDS)
        await self._http.close()
        await self._claims.close()
        await self.budget_manager.close()
        await self._close_tasks()
        LOG.info("entry {} has stopped", self.holder)

    async def wait_for_failure(self) -> None:
        """Waits forever: no part of an entry fails on its own."""
        await asyncio.Event().wait()

    async def abort(self) -> None:
        """Stops immediately, as close to a crash as possible."""
        await self._http.abort()
        await self.budget_manager.abort()
        await self._close_tasks()

    async def _close_tasks(self) -> None:
        if self._senders_task is not None:
            self._senders_task.cancel()
            await asyncio.gather(self._senders_task, return_exceptions=True)
        await self._witness.close()
        await self._witness_links.close()
        await self._gossiper.close()
        await self.paths.close()
        await self.dispatcher.close()
        await self.quarantine.close()
        await self._crash_quarantine.close()
        await self._feed_client.close()
        await self.control_client.close()
        await self._peers.close()
        await self._reach_exchange.close()
        await self._forwarder.close()
        await self._client.close()

    @property
    def port(self) -> int:
        return self._http.port

    def describe(self) -> wire.Instance:
        """Returns this entry's announcement with a new sequence number."""
        self._sequence += 1
        state = self._state
        if state == "serving" and not self.configuration.serving:
            state = "cut-off"
        host = self.cfg.callers_address.rpartition(":")[0]
        return wire.Instance(
            name=self.cfg.name,
            incarnation=self.incarnation,
            started=self.started,
            sequence=self._sequence,
            address=f"{host}:{self.port}",
            peer_address=self.cfg.peers_address,
            failure_domain=self.cfg.failure_domain,
            state=state,
            in_flight=self.app.in_flight,
            request_rate=round(
                self.dispatcher.request_rate.value(time.monotonic()), 2
            ),
            unreachable=sorted(self.paths.lost),
            isolated=self.paths.isolated,
            understands_evacuations=True,
        )

    async def _update_senders(self) -> None:
        """Tells the limits of targets which entries serve callers.

        Also has the paths checked when no target responds.
        """
        while True:
            now = time.monotonic()
            self.paths.check_silence(self.dispatcher.waiting_since(), now)
            known = [self.describe(), *self.instance_directory.alive(now)]
            self.target_limits.set_senders(
                [entry for entry in known if entry.state == "serving"], now
            )
            await asyncio.sleep(SENDERS_INTERVAL_SECONDS)

    def _is_alive(self, holder: str, waited: float) -> bool:
        """Returns whether an incarnation of an entry may be alive.

        An incarnation of an entry that is not in the directory, as shortly
        after a start, may be alive until a lease has passed; ``waited`` is
        in seconds.
        """
        if holder == self.holder:
            return True
        if self.instance_directory.get(holder.rpartition("/")[0]) is None:
            return waited < INSTANCE_LEASE_SECONDS
        return any(
            _witnesses.incarnation_name(peer) == holder
            for peer in self.instance_directory.alive(time.monotonic())
        )

    def _follow_report(self) -> control_wire.FollowReport:
        release = self.configuration.release
        return control_wire.FollowReport(
            name=self.cfg.name,
            incarnation=self.incarnation,
            number=release.number,
            index=release.index,
            suspects=self._crash_quarantine.informed_index,
            draining=self._state == "draining",
            evacuations=self.configuration.evacuated.index,
        )

    def _on_event(self, event: control_wire.FollowEvent) -> None:
        previous = self.configuration.release.number
        evacuated = self.configuration.evacuated
        if self.configuration.on_event(event):
            self._feed_client.notify()
        number = self.configuration.release.number
        if number != previous:
            LOG.info("release note {} is in force", number)
        if self.configuration.evacuated is not evacuated:
            domains = self.configuration.evacuated.domains
            self.dispatcher.set_evacuated(domains)
            self._metrics.count("evacuations.changes")
            LOG.info("evacuated failure domains: {}", domains or "none")
        if event.quarantine is not None:
            self.quarantine.apply(event.quarantine)
        if event.replicas is not None:
            self.control_client.set_replicas(event.replicas)
        for name in event.recalls:
            self.budget_manager.recall(name)

    async def _receive_gossip(self, requests, context) -> bool:
        async for messages in requests:
            for message in messages:
                self._gossiper.receive(message)
        return True
