"""Long paths of prepaid requests in what replicas store.

Guards against replicas that exceed their memory, again and again, because
callers choose the size of what is kept of each request.
"""

import concurrent.futures
import uuid

import msgspec
import pytest
import testtools

from galenashed import consensus
from galenashed import control
from galenashed.control import _state
from galenashed.node import _replica
from galenashed.platform.tests import _site
from galenashed.protocol import consensus as consensus_wire
from galenashed.protocol import control as wire
from galenashed.tests import _crowd
from galenashed.tests import _fleet

# The memory of a machine on the users' page of the deployment.
MEMORY_MB = 300
PATH_BYTES = 15_000
# The snapshot and the log that an earlier build left: 60 and 20 MB.
STORED_BILLS = 4_000
LOGGED_BILLS = 1_300
TERM = 1


def make_bill(number):
    name = f"{number:08d}"
    return wire.Bill(
        id=name,
        team=_site.TEAM,
        budget=_site.TEAM,
        subject="/g/" + name.rjust(PATH_BYTES, "a"),
        attempt=name,
        keyed=False,
        prompt_tokens=100,
        output_tokens=4,
        parts=[],
    )


def make_entry(index, number):
    command = wire.SettleBills(
        holder="gone/1", sequence=number, first=number, bills=[make_bill(0)]
    )
    stamped = wire.TimestampedCommand(at=1.0, command=command)
    return consensus_wire.Entry(index, TERM, msgspec.msgpack.encode(stamped))


@pytest.mark.serial
class TestStoredLongPaths(testtools.TestCase):
    """Nodes whose disks hold what a build without bounds has stored."""

    def setUp(self):
        super().setUp()
        self.site = _site.Site(nodes=3)
        members = control.make_members(
            {
                self.site.replica_address(n): self.site.replica_address(n)
                for n in range(3)
            }
        )
        state = _state.ControlState(
            now=1.0, recent_bills=[make_bill(n) for n in range(STORED_BILLS)]
        )
        data = msgspec.msgpack.encode(state)
        for number in range(3):
            self.site.write_settings(number, bootstrap=False)
            self.write_disk(number, members, data)

    def write_disk(self, number, members, data):
        storage = consensus.Storage(
            directory=self.site.data_folder(number),
            cluster=_replica.CLUSTER,
            name=self.site.replica_address(number),
        )
        storage.create(members)
        storage.open()
        first = STORED_BILLS + 1
        storage.save_snapshot(
            consensus_wire.SnapshotMeta(
                index=STORED_BILLS, term=TERM, members=members
            ),
            data,
            consensus_wire.HardState(
                term=TERM, voted_for="", commit=STORED_BILLS + LOGGED_BILLS
            ),
            [make_entry(first + n, n + 1) for n in range(LOGGED_BILLS)],
        )
        storage.close()

    def disk_mb(self, number):
        folder = self.site.data_folder(number)
        return sum(p.stat().st_size for p in folder.iterdir()) / 1e6

    def highest_memory_mb(self, process):
        memory = _crowd.Watch(process).memory_mb()
        print(f"{self.id()}: {memory:.0f} MB")
        return memory

    def test_nodes_that_hold_too_much_come_up(self):
        self.assertGreater(self.disk_mb(0), 75)
        with self.site:
            for number, process in enumerate(self.site.processes):
                self.assertLess(self.highest_memory_mb(process), MEMORY_MB)
                _fleet.wait_for(
                    lambda number=number: self.disk_mb(number) < 10,
                    "a small snapshot",
                )
                self.assertLess(self.highest_memory_mb(process), MEMORY_MB)


@pytest.mark.serial
class TestLongPaths(testtools.TestCase):
    """Callers whose paths fill the head."""

    REQUESTS = 1_200
    MAX_DISK_MB = 2.0

    def setUp(self):
        super().setUp()
        self.site = _site.Site(nodes=3, prepaid=10_000_000)
        self.site.__enter__()
        self.addCleanup(self.site.close)
        limits = self.site.configuration()["limits"]
        self.site.put_configuration(limits={**limits, "maxHeaderBytes": 16384})
        self.site.add_target("engines")
        for node in range(3):
            _fleet.wait_for(
                lambda node=node: self.send(node) == 200, "an answer"
            )

    def send(self, node, size=1):
        path = "/n/" + uuid.uuid4().hex.rjust(size, "a")
        return self.site.generate(path, node=node, tokens="100,4").status

    def test_replicas_keep_little_of_each_request(self):
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            statuses = set(
                pool.map(
                    lambda n: self.send(n % 3, PATH_BYTES),
                    range(self.REQUESTS),
                )
            )
        self.assertEqual({200}, statuses)
        _fleet.wait_for(
            lambda: self.site.balance().settled >= 100 * self.REQUESTS,
            "the bills",
        )
        for number in range(3):
            folder = self.site.data_folder(number)
            size = sum(path.stat().st_size for path in folder.iterdir())
            self.assertLess(size / 1e6, self.MAX_DISK_MB)
