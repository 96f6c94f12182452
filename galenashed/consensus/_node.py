"""Asyncio task that runs a replica's consensus core and its storage."""

import asyncio
import random
import time
import typing

import loguru

from galenashed.consensus import _core
from galenashed.consensus import _membership
from galenashed.consensus import _state
from galenashed.consensus import _storage
from galenashed.protocol import consensus as wire
from galenashed import telemetry

LOG = loguru.logger

SNAPSHOT_EVERY_ENTRIES = 10_000
SNAPSHOT_EVERY_BYTES = 16 * 1024 * 1024
# Entries that stay in memory after a snapshot, for replicas that lag behind.
SNAPSHOT_KEEP_ENTRIES = 1_000
SNAPSHOT_KEEP_BYTES = 4 * 1024 * 1024


MembershipChange = typing.Callable[[_membership.Members], _membership.Members]


class NotLeaderError(Exception):
    """This replica is not the leader; ``leader`` is the last known one."""

    def __init__(self, leader: str):
        super().__init__(f"not the leader; last known leader: {leader!r}")
        self.leader = leader


class StateMachine(typing.Protocol):
    """Application state that commands modify; must be deterministic."""

    def apply(self, index: int, data: bytes) -> object:
        """Applies a committed command and returns its result."""

    def snapshot(self) -> bytes:
        """Returns the complete state in serialized form."""

    def restore(self, index: int, data: bytes) -> None:
        """Replaces the complete state by that of a snapshot."""


class Transport(typing.Protocol):
    """Sends messages to other replicas; may lose and reorder them."""

    def set_members(self, members: _membership.Members) -> None:
        """Sets the replicas that messages can be sent to."""

    def send(self, peer: str, message: wire.Message) -> None:
        """Queues a message without blocking."""


class _Proposal(typing.NamedTuple):
    data: bytes
    fut: asyncio.Future
    change: MembershipChange | None


class Node:
    """One running replica.

    Parameters
    ----------
    name : str
        The replica's name.
    storage : Storage
        The replica's data directory.  The node opens it in :meth:`start`
        and owns it from then on.
    state_machine : StateMachine
        Receives committed commands, in the node's task only.
    transport : Transport
        Sends messages to the other replicas.
    election_timeout, heartbeat : float
        Seconds.
    rng : random.Random
        Source of the election jitter.
    snapshot_every : int
        Number of applied entries between two snapshots.
    snapshot_every_bytes : int
        Bytes of applied commands after which a snapshot is taken even if
        there are fewer entries; bounds the log on disk and in memory.
    on_failure : callable
        Called with the error after a storage failure has stopped the node.
    """

    def __init__(
        self,
        *,
        name: str,
        storage: _storage.Storage,
        state_machine: StateMachine,
        transport: Transport,
        election_timeout: float = 0.5,
        heartbeat: float = 0.1,
        rng: random.Random,
        snapshot_every: int = SNAPSHOT_EVERY_ENTRIES,
        snapshot_every_bytes: int = SNAPSHOT_EVERY_BYTES,
        on_failure: typing.Callable[[Exception], None],
    ):
        self.name = name
        self.storage = storage
        self.state_machine = state_machine
        self.transport = transport
        self.election_timeout = election_timeout
        self.heartbeat = heartbeat
        self.rng = rng
        self.snapshot_every = snapshot_every
        self.snapshot_every_bytes = snapshot_every_bytes
        self.on_failure = on_failure
        self.core: _core.Core
        self._inbox: list[wire.Message] = []
        self._proposals: list[_Proposal] = []
        self._uncommitted: dict[int, tuple[int, asyncio.Future]] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task | None = None
        self._last_snapshot = 0
        self._bytes_since_snapshot = 0
        # Whether the state is to be stored in the form of this build, which
        # may take less space.
        self._replaces_snapshot = False
        self._applied = 0
        self._current_as_of = float("-inf")
        self._members: _membership.Members = ()

    async def start(self) -> None:
        """Opens the storage, restores the state and starts the task."""
        restored = self.storage.open()
        if restored.snapshot.index:
            self.state_machine.restore(
                restored.snapshot.index, restored.snapshot_data
            )
        self._last_snapshot = restored.snapshot.index
        self._replaces_snapshot = self._is_large(restored.snapshot_data)
        self._applied = restored.snapshot.index
        self.core = _core.Core(
            name=self.name,
            election_timeout=self.election_timeout,
            heartbeat=self.heartbeat,
            rng=self.rng,
            restored=restored,
            now=time.monotonic(),
        )
        self._members = self.core.membership.members
        self.transport.set_members(self._members)
        self._task = telemetry.start_task(self._run(), "replica")

    async def close(self) -> None:
        """Stops the task and closes the storage."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._fail_pending()
        self.storage.close()

    @property
    def is_leader(self) -> bool:
        return self.core.role is _state.Role.LEADER

    @property
    def leader(self) -> str:
        """Name of the last known leader, or an empty string."""
        return self.core.leader

    def contact_age(self) -> float:
        """Returns the seconds since this replica was known to be up to date.

        Zero on a leader that hears from a majority and has applied what was
        committed before its term.  Infinite on a replica that has not been
        up to date since it started: its state is that of its last snapshot,
        however old.
        """
        now = time.monotonic()
        if self._is_current_leader(now):
            return 0.0
        return now - self._current_as_of

    def _is_current_leader(self, now: float) -> bool:
        return (
            self.is_leader
            and self._applied >= self.core.term_start_index
            and self.core.has_quorum_contact(now)
        )

    def _update_currency(self) -> None:
        """Records since when the state, with all output applied, is valid."""
        now = time.monotonic()
        if self._is_current_leader(now):
            self._current_as_of = now
        else:
            self._current_as_of = max(
                self._current_as_of, self.core.current_as_of
            )

    def deliver(self, messages: list[wire.Message]) -> None:
        """Queues messages received from other replicas."""
        self._inbox.extend(messages)
        self._wake.set()

    def report_unreachable(self, peer: str) -> None:
        """Handles a hint that another replica may be down."""
        self.core.report_unreachable(peer, time.monotonic())
        self._wake.set()

    async def propose(self, data: bytes) -> object:
        """Commits a command and returns the state machine's result.

        Raises NotLeaderError if this replica is not the leader or loses
        leadership before the command is committed.  In the latter case the
        command may still be committed later, so it must be safe to retry.
        """
        return await self._propose(data, None)

    async def change_members(
        self, change: MembershipChange, data: bytes
    ) -> object:
        """Commits a membership change; returns the result of ``data``.

        ``change`` is called with the membership at the time of the append,
        which may differ from that at the time of this call.  Raises
        MembershipError if the change is not possible, and NotLeaderError as
        :meth:`propose` does.
        """
        return await self._propose(data, change)

    async def _propose(
        self, data: bytes, change: MembershipChange | None
    ) -> object:
        if not self.is_leader:
            raise NotLeaderError(self.leader)
        fut = asyncio.get_running_loop().create_future()
        self._proposals.append(_Proposal(data, fut, change))
        self._wake.set()
        return await fut

    async def _run(self) -> None:
        try:
            while True:
                await self._wait()
                self._process_input()
                while self.core.has_ready():
                    await self._handle_ready()
                self._update_currency()
                await self._maybe_snapshot()
        except _storage.StorageError as exc:
            LOG.error("replica stopped after a storage error: {}", exc)
            self._fail_pending()
            self.on_failure(exc)

    async def _wait(self) -> None:
        if self._inbox or self._proposals:
            # Yields to other tasks even under continuous load.
            await asyncio.sleep(0)
            return
        self._wake.clear()
        delay = self.core.next_tick() - time.monotonic()
        if delay > 0:
            try:
                async with asyncio.timeout(delay):
                    await self._wake.wait()
            except TimeoutError:
                pass

    def _process_input(self) -> None:
        now = time.monotonic()
        was_leader = self.is_leader
        inbox, self._inbox = self._inbox, []
        for message in inbox:
            self.core.step(now, message)
        proposals, self._proposals = self._proposals, []
        for proposal in proposals:
            self._append(proposal, now)
        if proposals and self.is_leader:
            self.core.replicate()
        self.core.tick(now)
        if was_leader and not self.is_leader:
            LOG.info("replica {} is no longer leader", self.name)
            self._fail_pending()
        elif not was_leader and self.is_leader:
            LOG.info(
                "replica {} became leader in term {}",
                self.name,
                self.core.term,
            )

    def _append(self, proposal: _Proposal, now: float) -> None:
        try:
            if proposal.change is None:
                entry = self.core.propose(proposal.data)
            else:
                entry = self.core.propose_membership_change(
                    proposal.change, proposal.data, now
                )
        except _membership.MembershipError as exc:
            if not proposal.fut.done():
                proposal.fut.set_exception(exc)
            return
        if entry is None:
            _fail_not_leader(proposal.fut, self.leader)
        else:
            self._uncommitted[entry.index] = (entry.term, proposal.fut)

    def _update_transport(self) -> None:
        """Passes a changed membership to the transport."""
        members = self.core.membership.members
        if members != self._members:
            self._members = members
            self.transport.set_members(members)

    async def _handle_ready(self) -> None:
        self._update_transport()
        ready = self.core.take_ready()
        if ready.must_persist:
            loop = asyncio.get_running_loop()
            await loop.run_in_executor(None, self.storage.save, ready)
            self.core.on_persisted(ready, time.monotonic())
        for peer, message in ready.messages:
            self.transport.send(peer, message)
        if ready.snapshot is not None:
            self.state_machine.restore(
                ready.snapshot.index, ready.snapshot_data
            )
            self._last_snapshot = ready.snapshot.index
            self._bytes_since_snapshot = 0
            self._replaces_snapshot = self._is_large(ready.snapshot_data)
            self._applied = ready.snapshot.index
        for entry in ready.committed:
            self._apply(entry)

    def _apply(self, entry: wire.Entry) -> None:
        result = None
        self._bytes_since_snapshot += len(entry.data)
        if entry.data:
            result = self.state_machine.apply(entry.index, entry.data)
        self._applied = entry.index
        term, fut = self._uncommitted.pop(entry.index, (0, None))
        if fut is None or fut.done():
            return
        if term == entry.term:
            fut.set_result(result)
        else:
            _fail_not_leader(fut, self.leader)

    def _is_large(self, snapshot_data: bytes) -> bool:
        """Whether a restored snapshot should be replaced by an own one."""
        return len(snapshot_data) >= self.snapshot_every_bytes

    async def _maybe_snapshot(self) -> None:
        core = self.core
        if (
            core.applied - self._last_snapshot < self.snapshot_every
            and self._bytes_since_snapshot < self.snapshot_every_bytes
            and not self._replaces_snapshot
        ):
            return
        self._replaces_snapshot = False
        term = core.log.term_at(core.applied)
        assert term is not None
        meta = wire.SnapshotMeta(
            index=core.applied,
            term=term,
            members=core.membership.members_at(core.applied),
        )
        data = self.state_machine.snapshot()
        hard_state = wire.HardState(
            term=core.term, voted_for=core.voted_for, commit=core.commit
        )
        entries = core.log.between(meta.index, core.log.last_index)
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(
            None, self.storage.save_snapshot, meta, data, hard_state, entries
        )
        core.compact(
            meta,
            data,
            keep=core.log.count_last(
                meta.index, SNAPSHOT_KEEP_ENTRIES, SNAPSHOT_KEEP_BYTES
            ),
        )
        self._last_snapshot = meta.index
        self._bytes_since_snapshot = 0

    def _fail_pending(self) -> None:
        uncommitted, self._uncommitted = self._uncommitted, {}
        for _, fut in uncommitted.values():
            _fail_not_leader(fut, "")
        proposals, self._proposals = self._proposals, []
        for proposal in proposals:
            _fail_not_leader(proposal.fut, "")


def _fail_not_leader(fut: asyncio.Future, leader: str) -> None:
    if not fut.done():
        fut.set_exception(NotLeaderError(leader))
