"""Replication of an entry's spending limits and bills to other entries."""

import asyncio
import random
import time

import loguru

from galenashed import budget
from galenashed import control
from galenashed import membership
from galenashed.protocol import control as control_wire
from galenashed.protocol import gossip
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed.protocol import witness as wire
from galenashed import telemetry

LOG = loguru.logger

WITNESSES_PER_GRANT = 2
REPLY_TIMEOUT_SECONDS = 1.0
TICK_INTERVAL_SECONDS = 0.5
PAUSE_THRESHOLD_SECONDS = 2.0
HOLDER_TIMEOUT_SECONDS = 10.0
RECOVER_TIMEOUT_SECONDS = 5.0


class _Link:
    """The stream to one witness, its send queue and its task."""

    __slots__ = ("address", "name", "queue", "task", "wake")

    def __init__(self, *, name: str, address: str):
        self.name = name
        self.address = address
        self.queue: list[wire.WitnessRecord] = []
        self.wake = asyncio.Event()
        self.task: asyncio.Task | None = None


class WitnessLinks:
    """A holder's streams to its witnesses.

    Parameters
    ----------
    holder : str
        The name of this entry with its incarnation.
    failure_domain : str
        The failure domain of this entry; witnesses in others are preferred.
    directory : Directory
        The known entries, alive or not.
    key : str
        The key for connections between peers.
    rng : random.Random
        Spreads the load over the witnesses.
    """

    def __init__(
        self,
        *,
        holder: str,
        failure_domain: str,
        directory: membership.Directory,
        key: str,
        rng: random.Random,
    ):
        self.holder = holder
        self.failure_domain = failure_domain
        self.directory = directory
        self.key = key
        self.rng = rng
        self._budget_manager: budget.BudgetManager
        self._links: dict[str, _Link] = {}

    def attach(self, budget_manager: budget.BudgetManager) -> None:
        """Sets the budget manager that is notified of witness events."""
        self._budget_manager = budget_manager

    async def close(self) -> None:
        """Closes all streams."""
        tasks = [link.task for link in self._links.values() if link.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _available_witnesses(self) -> dict[str, gossip.Instance]:
        """Returns the other entries that can be witnesses, by name."""
        alive = self.directory.alive(time.monotonic())
        named = {incarnation_name(peer): peer for peer in alive}
        return {
            name: peer
            for name, peer in named.items()
            if peer.state == "serving" and name != self.holder
        }

    def choose(self) -> list[str]:
        """Returns the witnesses of a new grant.

        They are in failure domains other than this entry's and one
        another's, as far as possible.
        """
        peers = list(self._available_witnesses().items())
        self.rng.shuffle(peers)
        chosen: list[str] = []
        domains = {self.failure_domain}
        for name, peer in peers:
            if peer.failure_domain not in domains:
                domains.add(peer.failure_domain)
                chosen.append(name)
        rest = [name for name, _ in peers if name not in chosen]
        return [*chosen, *rest][:WITNESSES_PER_GRANT]

    def send(self, messages: list[budget.WitnessMessage]) -> None:
        """Queues records for their witnesses without waiting."""
        for name, record in messages:
            link = self._links.get(name) or self._open_link(name)
            if link is not None:
                link.queue.append(record)
                link.wake.set()

    def _open_link(self, name: str) -> _Link | None:
        peer = self._available_witnesses().get(name)
        if peer is None:
            # Deferred, because the budget manager is still inside send().
            asyncio.get_running_loop().call_soon(self._drop, name)
            return None
        link = _Link(name=name, address=peer.peer_address)
        self._links[name] = link
        link.task = telemetry.start_task(self._run(link), "witness link")
        return link

    def _drop(self, name: str) -> None:
        self._links.pop(name, None)
        self._budget_manager.on_witness_lost(name)

    def drop_unavailable(self) -> None:
        """Drops witnesses that are no longer alive or not serving."""
        serving = self._available_witnesses()
        for name, link in list(self._links.items()):
            if name not in serving and link.task is not None:
                link.task.cancel()
                self._drop(name)

    async def _run(self, link: _Link) -> None:
        channel = rpc.Channel(address=link.address, key=self.key)
        try:
            await self._send_batches(link, channel.open(methods.WITNESS))
        except (rpc.RpcError, TimeoutError, asyncio.InvalidStateError):
            LOG.info("no reply from witness {}; dropping it", link.name)
        finally:
            await channel.close()
        if self._links.get(link.name) is link:
            self._drop(link.name)

    async def _send_batches(self, link: _Link, call) -> None:
        """Sends batches of records until the stream fails."""
        while True:
            await link.wake.wait()
            link.wake.clear()
            batch, link.queue = link.queue, []
            term = self._budget_manager.escrow.term
            request = wire.WitnessRequest(
                holder=self.holder,
                term=term,
                witness=link.name,
                settled=self._budget_manager.escrow.bills.last_settled,
                notes=batch,
            )
            async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                await call.write(request)
                reply = await call.read()
            if not isinstance(reply, wire.WitnessReply):
                return
            if reply.closed:
                LOG.warning("witness {} has closed term {}", link.name, term)
                self._budget_manager.on_term_closed(term)
                continue
            self._budget_manager.on_witness_acknowledged(link.name, batch)


class WitnessServer:
    """The role of this entry as a witness for others.

    Parameters
    ----------
    records : WitnessRecords
        Owned by the server.
    directory : Directory
        The known entries, alive or not.
    links : WitnessLinks
        The links to this entry's own witnesses; unavailable ones are
        dropped periodically.
    control_client : ControlClient
        Commits the records of holders that are gone.
    """

    def __init__(
        self,
        *,
        records: budget.WitnessRecords,
        directory: membership.Directory,
        links: WitnessLinks,
        control_client: control.ControlClient,
    ):
        self.records = records
        self.directory = directory
        self.links = links
        self.control_client = control_client
        self._task: asyncio.Task | None = None
        self._recovery_tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Starts the task that detects holders that are gone."""
        self._task = telemetry.start_task(self._run(), "witness")

    async def close(self) -> None:
        """Stops the tasks."""
        tasks = list(self._recovery_tasks)
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def serve(self, requests, context):
        """Serves one holder's stream; an async generator of replies."""
        async for request in requests:
            yield self.records.record(request, time.monotonic())

    async def _run(self) -> None:
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            now = time.monotonic()
            if now - last > PAUSE_THRESHOLD_SECONDS:
                # This process was paused, so missed messages are no evidence
                # against the holders.
                self.records.reset_liveness(now)
            last = now
            self.links.drop_unavailable()
            alive = {
                incarnation_name(peer) for peer in self.directory.alive(now)
            }
            for command in self.records.tick(alive=alive, now=now):
                LOG.warning(
                    "holder {} is gone; recovering its records",
                    command.holder,
                )
                task = telemetry.start_task(self._recover(command), "recovery")
                self._recovery_tasks.add(task)
                task.add_done_callback(self._recovery_tasks.discard)

    async def _recover(self, command: control_wire.RecoverHolder) -> None:
        while True:
            try:
                await self.control_client.propose(
                    command, timeout=RECOVER_TIMEOUT_SECONDS
                )
            except control.ControlUnavailableError:
                continue
            return


def incarnation_name(peer: gossip.Instance) -> str:
    """Returns an entry's name with its incarnation."""
    return f"{peer.name}/{peer.incarnation}"
