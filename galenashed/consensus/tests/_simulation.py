"""Simulates replicas under seeded disk and network faults."""

import random

from galenashed import consensus
from galenashed.protocol import consensus as wire

ELECTION_TIMEOUT = 1.0
HEARTBEAT = 0.2
STEP_SECONDS = 0.05


class Disk:
    """State that a replica has synced to disk."""

    def __init__(self, members: consensus.Members):
        self.hard_state = wire.HardState()
        self.snapshot = wire.SnapshotMeta(members=members)
        self.snapshot_data = b""
        self.entries: list[wire.Entry] = []

    def save(self, ready: consensus.Ready) -> None:
        if ready.snapshot is not None:
            self.snapshot = ready.snapshot
            self.snapshot_data = ready.snapshot_data
            self.entries = []
        if ready.hard_state is not None:
            self.hard_state = ready.hard_state
        for entry in ready.entries:
            first = self.entries[0].index if self.entries else entry.index
            del self.entries[max(0, entry.index - first) :]
            self.entries.append(entry)

    def restored(self) -> consensus.Restored:
        return consensus.Restored(
            hard_state=self.hard_state,
            snapshot=self.snapshot,
            snapshot_data=self.snapshot_data,
            entries=list(self.entries),
        )


class Replica:
    """A replica's core, its disk and the commands it has applied."""

    def __init__(self, name: str, members: consensus.Members):
        self.name = name
        self.disk = Disk(members)
        self.core: consensus.Core | None = None
        self.applied: list[tuple[int, bytes]] = []


class Simulation:
    """Replicas under injected faults.

    ``check`` raises AssertionError if an invariant is violated.
    ``core_class`` may be a deliberately faulty variant, to show that the
    checks detect it.
    """

    def __init__(
        self, *, seed: int, replicas: int = 3, core_class=consensus.Core
    ):
        self.rng = random.Random(seed)
        self.core_class = core_class
        self.now = 0.0
        self.names = [f"r{n}" for n in range(replicas)]
        self.members = tuple(consensus.Member(name) for name in self.names)
        self.replicas = {
            name: Replica(name, self.members) for name in self.names
        }
        self.messages_in_flight: list[
            tuple[float, str, str, wire.Message]
        ] = []
        self.blocked_links: set[tuple[str, str]] = set()
        self.leaders: dict[int, str] = {}
        self.acked: dict[int, bytes] = {}
        self.committed: dict[int, wire.Entry] = {}
        self.faults = True
        self._commands = 0
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        replica = self.replicas[name]
        replica.core = self.core_class(
            name=name,
            election_timeout=ELECTION_TIMEOUT,
            heartbeat=HEARTBEAT,
            rng=random.Random(self.rng.random()),
            restored=replica.disk.restored(),
            now=self.now,
        )
        replica.applied = [
            item
            for item in replica.applied
            if item[0] <= replica.disk.snapshot.index
        ]

    def crash(self, name: str) -> None:
        self.replicas[name].core = None

    # Simulation steps

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step()

    def step(self) -> None:
        self.now += STEP_SECONDS
        if self.faults:
            self._inject_fault()
        self._deliver()
        for replica in self.replicas.values():
            if replica.core is not None:
                replica.core.tick(self.now)
                self._flush(replica)
        self.check()

    def _inject_fault(self) -> None:
        roll = self.rng.random()
        name = self.rng.choice(self.names)
        replica = self.replicas[name]
        if roll < 0.01:
            self.crash(name)
        elif roll < 0.03 and replica.core is None:
            self.start(name)
        elif roll < 0.04:
            self._partition()
        elif roll < 0.06:
            self.blocked_links.clear()
        elif roll < 0.07:
            self._snapshot(replica)
        elif roll < 0.4:
            self.propose()

    def _partition(self) -> None:
        other = self.rng.choice(self.names)
        one_way = self.rng.random() < 0.5
        for name in self.names:
            self.blocked_links.add((other, name))
            if not one_way:
                self.blocked_links.add((name, other))

    def propose(self) -> None:
        for replica in self.replicas.values():
            if replica.core is None:
                continue
            data = f"command-{self._commands}".encode()
            if replica.core.propose(data) is not None:
                self._commands += 1
                replica.core.replicate()

    def _snapshot(self, replica: Replica) -> None:
        core = replica.core
        if core is None or core.applied <= core.snapshot.index:
            return
        term = core.log.term_at(core.applied)
        meta = wire.SnapshotMeta(
            index=core.applied,
            term=term,
            members=core.membership.members_at(core.applied),
        )
        data = repr(replica.applied).encode()
        replica.disk.snapshot = meta
        replica.disk.snapshot_data = data
        replica.disk.entries = core.log.between(meta.index, core.durable_index)
        core.compact(meta, data, keep=0)

    def _deliver(self) -> None:
        due = [m for m in self.messages_in_flight if m[0] <= self.now]
        self.messages_in_flight = [
            m for m in self.messages_in_flight if m[0] > self.now
        ]
        if self.faults:
            self.rng.shuffle(due)
        for _, source, target, message in due:
            replica = self.replicas.get(target)
            core = replica.core if replica is not None else None
            if core is not None and (source, target) not in self.blocked_links:
                core.step(self.now, message)
                self._flush(replica)

    def _enqueue(self, source: str, target: str, message) -> None:
        copies = 1
        delay = STEP_SECONDS
        if self.faults:
            roll = self.rng.random()
            copies = 0 if roll < 0.05 else 2 if roll < 0.08 else 1
            delay *= self.rng.choice([1, 1, 1, 2, 8])
        for _ in range(copies):
            self.messages_in_flight.append(
                (self.now + delay, source, target, message)
            )

    def _flush(self, replica: Replica) -> None:
        core = replica.core
        while core is not None and core.has_ready():
            ready = core.take_ready()
            if self.faults and self.rng.random() < 0.002:
                # Power fails between the write and the sync.
                self.crash(replica.name)
                return
            replica.disk.save(ready)
            core.on_persisted(ready, self.now)
            for target, message in ready.messages:
                self._enqueue(replica.name, target, message)
            if ready.snapshot is not None:
                replica.applied = eval(ready.snapshot_data.decode())
            for entry in ready.committed:
                replica.applied.append((entry.index, entry.data))
                if core.role.value == "leader":
                    self.acked[entry.index] = entry.data

    # Checks

    def check(self) -> None:
        """Raises AssertionError if an invariant of the log is violated."""
        for replica in self.replicas.values():
            core = replica.core
            if core is not None and core.role.value == "leader":
                first = self.leaders.setdefault(core.term, core.name)
                assert first == core.name, f"two leaders in term {core.term}"
            for index, data in replica.applied[-3:]:
                known = self.committed.setdefault(index, data)
                assert known == data, f"entry {index} differs"

    def recover_and_check(self) -> None:
        """Stops the faults and checks that all replicas converge."""
        self.faults = False
        self.blocked_links.clear()
        for name in self.names:
            if self.replicas[name].core is None:
                self.start(name)
        self.run(int(20 / STEP_SECONDS))
        self.propose()
        self.run(int(10 / STEP_SECONDS))
        logs = [replica.applied for replica in self.replicas.values()]
        assert logs[0], "nothing was committed"
        assert all(log == logs[0] for log in logs), "logs differ"
        final = dict(logs[0])
        for index, data in self.acked.items():
            assert final.get(index) == data, (
                f"acknowledged entry {index} was lost"
            )
