"""Simulates replicas under seeded disk and network faults."""

import pathlib
import random
import shutil
import tempfile
import weakref

from galenashed import consensus
from galenashed.consensus.tests import _filesystem
from galenashed.protocol import consensus as wire

ELECTION_TIMEOUT = 1.0
HEARTBEAT = 0.2
STEP_SECONDS = 0.05


MAX_STEPS_OF_SAVE = 12


class Disk:
    """Data directory of a replica, which may lose what is not synced."""

    def __init__(
        self,
        directory: pathlib.Path,
        name: str,
        members: consensus.Members,
        storage_class=consensus.Storage,
    ):
        self.snapshot = wire.SnapshotMeta(members=members)
        self.files = _filesystem.FileSystem(directory)
        self.storage = storage_class(
            directory=directory, cluster="simulation", name=name
        )
        with self.files.installed():
            self.storage.create(members)

    def save(self, ready: consensus.Ready) -> None:
        with self.files.installed():
            self.storage.save(ready)
        if ready.snapshot is not None:
            self.snapshot = ready.snapshot

    def save_snapshot(
        self, meta: wire.SnapshotMeta, data: bytes, core: consensus.Core
    ) -> None:
        hard_state = wire.HardState(
            term=core.term, voted_for=core.voted_for, commit=core.commit
        )
        entries = core.log.between(meta.index, core.durable_index)
        with self.files.installed():
            self.storage.save_snapshot(meta, data, hard_state, entries)
        self.snapshot = meta

    def fail_after(self, steps: int) -> None:
        """Raises Crash in place of the step that comes after ``steps``."""
        self.files.before_step = _filesystem.StepLimit(
            steps, _filesystem.Crash()
        )

    def stop_failing(self) -> None:
        """Cancels a failure that is still to come."""
        self.files.before_step = lambda: None

    def crash(self, rng: random.Random) -> None:
        """Ends the process; in half of the cases, power is lost as well."""
        self.files.before_step = lambda: None
        with self.files.installed():
            self.storage.close()
        if rng.random() < 0.5:
            state = self.files.choose_power_loss_state(rng)
        else:
            state = self.files.current_state()
        self.files.restore(state)

    def restored(self) -> consensus.Restored:
        with self.files.installed():
            restored = self.storage.open()
        self.snapshot = restored.snapshot
        return restored


class Replica:
    """A replica's core, its disk and the commands it has applied."""

    def __init__(self, name: str, disk: Disk):
        self.name = name
        self.disk = disk
        self.core: consensus.Core | None = None
        self.applied: list[tuple[int, bytes]] = []


class Simulation:
    """Replicas under injected faults.

    ``check`` raises AssertionError if an invariant is violated.
    ``core_class`` and ``storage_class`` may be deliberately faulty variants,
    to show that the checks detect them.
    """

    def __init__(
        self,
        *,
        seed: int,
        replicas: int = 3,
        core_class=consensus.Core,
        storage_class=consensus.Storage,
    ):
        self.rng = random.Random(seed)
        self.disk_rng = random.Random(seed)
        self.core_class = core_class
        self.storage_class = storage_class
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="simulation-"))
        self.installs = 0
        self._disks: list[Disk] = []
        weakref.finalize(self, _remove_directory, self.directory, self._disks)
        self.now = 0.0
        self.names = [f"r{n}" for n in range(replicas)]
        self.members = tuple(consensus.Member(name) for name in self.names)
        self.replicas = {
            name: self.make_replica(name, self.members) for name in self.names
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

    def make_replica(self, name: str, members: consensus.Members) -> Replica:
        """Returns a replica with an empty disk."""
        directory = self.directory / str(len(self._disks))
        disk = Disk(directory, name, members, self.storage_class)
        self._disks.append(disk)
        return Replica(name, disk)

    def start(self, name: str) -> None:
        replica = self.replicas[name]
        restored = replica.disk.restored()
        replica.core = self.core_class(
            name=name,
            election_timeout=ELECTION_TIMEOUT,
            heartbeat=HEARTBEAT,
            rng=random.Random(self.rng.random()),
            restored=restored,
            now=self.now,
        )
        replica.applied = eval(restored.snapshot_data or b"[]")

    def crash(self, name: str) -> None:
        replica = self.replicas[name]
        if replica.core is not None:
            replica.core = None
            replica.disk.crash(self.disk_rng)

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
        if self.faults and self.disk_rng.random() < 0.2:
            replica.disk.fail_after(self.disk_rng.randrange(MAX_STEPS_OF_SAVE))
        try:
            replica.disk.save_snapshot(meta, data, core)
        except _filesystem.Crash:
            self.crash(replica.name)
            return
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
            fails = self.faults and self.rng.random() < 0.002
            if ready.snapshot is not None:
                self.installs += 1
                fails = self.faults and self.disk_rng.random() < 0.2
            if fails:
                replica.disk.fail_after(
                    self.disk_rng.randrange(MAX_STEPS_OF_SAVE)
                )
            try:
                replica.disk.save(ready)
            except _filesystem.Crash:
                fails = True
            if fails:
                self.crash(replica.name)
                return
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
        for replica in self.replicas.values():
            replica.disk.stop_failing()
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


def _remove_directory(directory: pathlib.Path, disks: list[Disk]) -> None:
    for disk in disks:
        disk.files.restore({})
    shutil.rmtree(directory)
