"""Guards of announced limits: entries that record when one exceeds them.

An entry that is cut off from control may exceed the limits that it announced,
once enough of its guards have recorded it.  Control asks the guards of an
entry that is silent for long.  If enough of them have no record, and accept
none from then on, it frees what the entry has not announced.  Any two such
sets of guards have one in common; of three guards, one may be lost.
"""

import asyncio
import random
import time
import typing

import loguru

from galenashed import membership
from galenashed.protocol import gossip
from galenashed.protocol import guards as wire
from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed import telemetry

LOG = loguru.logger

GUARDS = 3
CHECK_SECONDS = 0.5
# A guard that was not heard of for this long is replaced.
GUARD_LOST_SECONDS = 2.0
TIMEOUT_SECONDS = 0.3
# Addresses that are kept: several times the guards of a few terms.
MAX_ADDRESSES = 64


def lift_quorum(guards: int) -> int:
    """Returns how many of the guards have to record that limits are exceeded.

    Entries of an earlier version have two guards, and need one of them.
    """
    return max(1, (guards + 1) // 2)


def close_quorum(guards: int) -> int:
    """Returns how many of the guards have to refuse that for good."""
    return guards - lift_quorum(guards) + 1


class HolderRecord:
    """What a guard knows of a holder."""

    __slots__ = ("closed_term", "lifted", "sequence")

    def __init__(self) -> None:
        self.closed_term = 0
        self.lifted = False
        self.sequence = -1


class GuardRecords:
    """What this process has recorded as a guard of others; does no I/O.

    Parameters
    ----------
    name : str
        Name of this process as a holder.  Another process in its place does
        not know what this one has recorded.
    """

    __slots__ = ("_records", "name")

    def __init__(self, *, name: str):
        self.name = name
        self._records: dict[str, HolderRecord] = {}

    def set_lifted(self, msg: wire.SetLifted) -> bool:
        """Records whether a holder may exceed its limits, if it still may."""
        if msg.guard != self.name:
            return False
        record = self._records.setdefault(msg.holder, HolderRecord())
        if msg.sequence <= record.sequence:
            return False
        if msg.lifted and msg.term <= record.closed_term:
            return False
        record.sequence = msg.sequence
        record.lifted = msg.lifted
        return True

    def close_term(self, msg: wire.CloseTerm) -> bool:
        """Refuses later records of a holder's term, if there is none yet."""
        if msg.guard != self.name:
            return False
        record = self._records.setdefault(msg.holder, HolderRecord())
        if record.lifted:
            return False
        record.closed_term = max(record.closed_term, msg.term)
        return True


def holder_name(entry: gossip.Instance) -> str:
    """Returns the name of an entry's process as a holder."""
    return f"{entry.address}/{entry.incarnation}"


def rank_guards(
    own: str,
    domain: str,
    alive: typing.Iterable[gossip.Instance],
    rng: random.Random,
) -> list[gossip.Instance]:
    """Returns the entries to ask as guards, in order.

    Every second one is of the own failure domain, the first too, for cuts
    between failure domains.  Those without a replica come before others, as
    an entry that loses control has often lost the machines of all replicas.
    """
    ranked = [
        entry
        for entry in alive
        if entry.state == "serving" and entry.name != own
    ]
    rng.shuffle(ranked)
    ranked.sort(key=lambda entry: bool(entry.replica))
    inside = [e for e in ranked if e.failure_domain == domain]
    outside = [e for e in ranked if e.failure_domain != domain]
    paired = [
        entry for pair in zip(inside, outside, strict=False) for entry in pair
    ]
    count = len(paired) // 2
    return [*paired, *inside[count:], *outside[count:]]


class GuardExchange:
    """Finds guards for this entry, and is a guard of others.

    Parameters
    ----------
    name : str
        Name of this entry.
    domain : str
        Failure domain of this entry.
    holder : str
        Name of this process as a holder.
    directory : Directory
        Lists the other entries.
    key : str
        Key that all nodes share.
    rng : random.Random
        Selects the guards.
    log : DecisionLog
        Receives a line whenever the guards change.
    """

    def __init__(
        self,
        *,
        name: str,
        domain: str,
        holder: str,
        directory: membership.Directory,
        key: str,
        rng: random.Random,
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
    ):
        self.log = log
        self.name = name
        self.domain = domain
        self.holder = holder
        self.directory = directory
        self.rng = rng
        self.records = GuardRecords(name=holder)
        self.names: list[str] = []
        # Addresses of the guards of this term and of earlier ones.
        self._addresses: dict[str, str] = {}
        self._heard_at: dict[str, float] = {}
        # Guards that may have a record of this holder, and the term in which
        # enough of them are known to have it.
        self._recorded_by: set[str] = set()
        self._lifted_term = 0
        self._sequence = 0
        self._channels = rpc.ChannelPool(key=key)
        self._tasks: set[asyncio.Task] = set()
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that looks for guards."""
        self._task = telemetry.start_task(self._run(), "guards")

    async def close(self) -> None:
        """Stops all tasks and closes the connections."""
        tasks = [*self._tasks]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._channels.close()

    # As a holder

    def is_lifted(self, term: int) -> bool:
        """See :class:`galenashed.budget.Guards`."""
        return self._lifted_term == term

    async def lift(self, names: list[str], term: int) -> bool:
        """See :class:`galenashed.budget.Guards`."""
        self._recorded_by.update(names)
        replies = await self._set_lifted(names, term, lifted=True)
        if sum(replies) < lift_quorum(len(names)):
            return False
        self._lifted_term = term
        return True

    def lower(self) -> None:
        """See :class:`galenashed.budget.Guards`."""
        self._lifted_term = 0
        if not self._recorded_by or self._tasks:
            return
        task = telemetry.start_task(self._lower(), "lower limits")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _lower(self) -> None:
        names = list(self._recorded_by)
        # A guard that is asked again from now on may have a new record.
        self._recorded_by.clear()
        replies = await self._set_lifted(names, 0, lifted=False)
        self._recorded_by.update(
            name
            for name, reply in zip(names, replies, strict=True)
            if not reply and name in self.names
        )

    async def _set_lifted(
        self, names: list[str], term: int, *, lifted: bool
    ) -> list[bool]:
        """Sends the same to guards; returns which of them recorded it."""
        self._sequence += 1
        return await asyncio.gather(
            *[
                self._call(
                    self._addresses.get(name),
                    methods.SET_LIFTED,
                    wire.SetLifted(
                        guard=name,
                        holder=self.holder,
                        term=term,
                        sequence=self._sequence,
                        lifted=lifted,
                    ),
                )
                for name in names
            ]
        )

    async def _call(
        self, address: str | None, method: rpc.Method, msg
    ) -> bool:
        if address is None:
            return False
        try:
            return await self._channels.get(address).call(
                method, msg, timeout=TIMEOUT_SECONDS
            )
        except rpc.RpcError as exc:
            LOG.debug("guard {} does not answer: {}", address, exc.code())
            return False

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            now = time.monotonic()
            alive = self.directory.alive(now)
            for entry in alive:
                if entry.state in ("serving", "cut-off"):
                    self._heard_at[holder_name(entry)] = now
            lost = [
                name
                for name in self.names
                if now - self._heard_at[name] >= GUARD_LOST_SECONDS
            ]
            if lost or len(self.names) < GUARDS:
                await self._replace(lost, alive, now)
            self._prune(now)
            self._channels.close_idle(now)

    async def _replace(
        self,
        lost: list[str],
        alive: typing.Iterable[gossip.Instance],
        now: float,
    ) -> None:
        """Finds other guards; keeps those that are lost if there are none.

        An entry of an earlier version can't be a guard, and does not reply.
        """
        found = [name for name in self.names if name not in lost]
        for entry in rank_guards(self.name, self.domain, alive, self.rng):
            name = holder_name(entry)
            if len(found) >= GUARDS:
                break
            # A record that is still needed must not be replaced.
            if name in found or name in self._recorded_by:
                continue
            # Two of three guards must not be lost together, neither in a cut
            # between failure domains nor with the replicas.
            if len(found) == 2 and (
                entry.failure_domain != self.domain or entry.replica
            ):
                continue
            self._addresses[name] = entry.peer_address
            replies = await self._set_lifted([name], 0, lifted=False)
            if replies[0]:
                self._heard_at[name] = now
                found.append(name)
        found += lost[: max(0, GUARDS - len(found))]
        if set(found) != set(self.names):
            self.log.write("guards chosen", guards=found)
            self.names = found

    def _prune(self, now: float) -> None:
        """Forgets entries that are not needed as guards."""
        self._heard_at = {
            name: at
            for name, at in self._heard_at.items()
            if now - at < GUARD_LOST_SECONDS or name in self.names
        }
        for name in list(self._addresses)[:-MAX_ADDRESSES]:
            if name not in self.names and name not in self._recorded_by:
                del self._addresses[name]

    # As a guard

    async def receive(self, msg: wire.SetLifted, context) -> bool:
        """Handles the record of a holder that this process guards."""
        return self.records.set_lifted(msg)

    async def answer(self, msg: wire.CloseTerm, context) -> bool:
        """Handles the question of control about a silent holder."""
        return self.records.close_term(msg)
