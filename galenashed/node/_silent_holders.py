"""The task of the leader that frees tokens of holders that are silent.

A holder that is gone for good has no successor that proves it dead, and that
of another one may come too late for control to trust the announced limits.
The guards know whether a holder may have exceeded them.
"""

import asyncio
import time
import typing

import loguru

from galenashed import budget
from galenashed import control
from galenashed import membership
from galenashed.node import _guards
from galenashed.protocol import control as control_wire
from galenashed.protocol import guards as wire
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed import telemetry

LOG = loguru.logger

CHECK_INTERVAL_SECONDS = 0.3
# After a longer pause, such as a freeze, silence counts from its end.
MAX_PAUSE_SECONDS = 2.0
TIMEOUT_SECONDS = 0.5


class SilenceTracker:
    """For how long this leader has not heard holders; does no I/O.

    Example::

        tracker = SilenceTracker()
        tracker.update([("a/1", 7)], now=1.0)
        tracker.update([("a/1", 7)], now=12.0)
        assert tracker.silent(10.0, now=12.0) == {"a/1"}
    """

    __slots__ = ("_heard", "_ignored")

    def __init__(self) -> None:
        # By holder, the index of its last command, and when it was new here.
        self._heard: dict[str, tuple[int, float]] = {}
        self._ignored: set[str] = set()

    def clear(self) -> None:
        """Forgets everything, as another replica may have heard more."""
        self._heard.clear()
        self._ignored.clear()

    def update(
        self, holders: typing.Iterable[tuple[str, int]], now: float
    ) -> None:
        """Records the index of the last command of each holder."""
        heard = {}
        for holder, index in holders:
            known, at = self._heard.get(holder, (index, now))
            if known != index:
                at = now
                self._ignored.discard(holder)
            heard[holder] = (index, at)
        self._heard = heard
        self._ignored &= heard.keys()

    def ignore(self, holder: str) -> None:
        """Leaves out a holder, which has nothing to free, until it speaks."""
        self._ignored.add(holder)

    def silent(self, seconds: float, now: float) -> set[str]:
        """Returns the holders that were not heard for longer than that."""
        return {
            holder
            for holder, (_, at) in self._heard.items()
            if now - at > seconds and holder not in self._ignored
        }


class SilentHolders:
    """Frees what silent holders cannot have spent, while its replica leads.

    Parameters
    ----------
    server : ControlServer
        The replica of this process.
    directory : Directory
        Lists the entries, among them the guards.
    records : GuardRecords
        What this process has recorded as a guard.
    key : str
        Key that all nodes share.
    log : DecisionLog
        Receives a line for each holder.
    """

    def __init__(
        self,
        *,
        server: control.ControlServer,
        directory: membership.Directory,
        records: _guards.GuardRecords,
        key: str,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
    ):
        self.server = server
        self.directory = directory
        self.records = records
        self.log = log
        self._tracker = SilenceTracker()
        # Holder and closed guards of the last log line.
        self._logged: tuple[str, int] | None = None
        self._channels = rpc.ChannelPool(key=key)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task."""
        self._task = telemetry.start_task(self._run(), "silent holders")

    async def close(self) -> None:
        """Stops the task and closes the connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._channels.close()

    async def _run(self) -> None:
        checked_at = time.monotonic()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            now = time.monotonic()
            paused = now - checked_at > MAX_PAUSE_SECONDS
            checked_at = now
            self._channels.close_idle(now)
            # Another replica may lead, or may have led meanwhile.
            if paused or self.server.node.contact_age() > 0.0:
                self._tracker.clear()
                continue
            for holder, grants in self._silent_grants().items():
                await self._free(holder, grants)

    def _silent_grants(
        self,
    ) -> dict[str, list[control.UnannouncedGrant]]:
        """Returns the guarded grants of silent holders, by holder."""
        now = time.monotonic()
        state_machine = self.server.state_machine
        heard = state_machine.heard
        self._tracker.update(
            ((name, heard.get(name, 0)) for name in state_machine.holders()),
            now,
        )
        silent = self._tracker.silent(budget.CLOSE_AFTER_SILENCE_SECONDS, now)
        if not silent:
            return {}
        grants: dict[str, list[control.UnannouncedGrant]] = {}
        for grant in state_machine.unannounced_grants():
            if grant.holder in silent and grant.guards:
                grants.setdefault(grant.holder, []).append(grant)
        for holder in silent - grants.keys():
            self._tracker.ignore(holder)
        return grants

    async def free_predecessors(
        self, command: control_wire.SucceedHolder
    ) -> None:
        """Frees what dead holders at a place had not announced.

        Their successor proves that they are dead, however short the silence.
        """
        if self.server.node.contact_age() > 0.0:
            return
        grants: dict[str, list[control.UnannouncedGrant]] = {}
        for grant in self.server.state_machine.unannounced_grants():
            place = grant.holder.rpartition("/")[0]
            if (
                place == command.place
                and grant.holder != command.holder
                and grant.guards
            ):
                grants.setdefault(grant.holder, []).append(grant)
        for holder, held in grants.items():
            await self._free(holder, held)

    async def _free(
        self, holder: str, grants: list[control.UnannouncedGrant]
    ) -> None:
        """Frees the tokens of grants of whose guards enough agree.

        Should the holder announce higher limits meanwhile, it does not use
        them: they are acknowledged too late.
        """
        guards = sorted({name for grant in grants for name in grant.guards})
        term = max(grant.term for grant in grants)
        replies = await asyncio.gather(
            *[self._close_term(name, holder, term) for name in guards]
        )
        closed = {
            name for name, reply in zip(guards, replies, strict=True) if reply
        }
        freed = 0
        for grant in grants:
            agreed = len(closed.intersection(grant.guards))
            if agreed < _guards.close_quorum(len(grant.guards)):
                continue
            command = control_wire.ShrinkGrant(
                grant=grant.grant, holder=holder, amount=grant.limit
            )
            if await self.server.commit(command) is None:
                return
            freed += grant.tokens
        outcome = (holder, len(closed))
        if freed or outcome != self._logged:
            self._logged = outcome
            self.log.write(
                "silent holder",
                holder=holder,
                freed=freed,
                guards=guards,
                closed=len(closed),
            )

    async def _close_term(self, name: str, holder: str, term: int) -> bool:
        """Returns whether a guard lets a holder exceed its limits no more."""
        msg = wire.CloseTerm(guard=name, holder=holder, term=term)
        if name == self.records.name:
            return self.records.close_term(msg)
        addresses = {
            _guards.holder_name(entry): entry.peer_address
            for entry in self.directory.all()
        }
        if name not in addresses:
            return False
        try:
            return await self._channels.get(addresses[name]).call(
                methods.CLOSE_TERM, msg, timeout=TIMEOUT_SECONDS
            )
        except rpc.RpcError as exc:
            LOG.debug("guard {} does not answer: {}", name, exc.code())
            return False
