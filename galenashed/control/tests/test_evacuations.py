"""Evacuation orders in the replicated state, and what entries are sent."""

import msgspec
import testtools

from galenashed import control
from galenashed.control import _feed
from galenashed.control import _state
from galenashed.protocol import control as wire

# The state and the barrier as a build from before evacuations has them.
OldState = msgspec.defstruct(
    "OldState",
    [
        (field.name, field.type, msgspec.field(default=field.default))
        if field.default is not msgspec.NODEFAULT
        else (
            field.name,
            field.type,
            msgspec.field(default_factory=field.default_factory),
        )
        for field in msgspec.structs.fields(_state.ControlState)
        if not field.name.startswith("evacuations")
    ],
    kw_only=True,
)
OldBarrier = msgspec.defstruct(
    "Barrier", [], tag=True, frozen=True, kw_only=True
)


class TestEvacuations(testtools.TestCase):
    """Orders are applied in the order of the log."""

    def setUp(self):
        super().setUp()
        self.state_machine = control.ControlStateMachine()
        self.feed = _feed.Feed(
            state_machine=self.state_machine,
            contact_age=lambda: 0.0,
            addresses=dict,
        )
        self.index = 0

    def order(self, domain, *, active, actor="ops"):
        self.index += 1
        command = wire.Barrier(
            evacuation=wire.EvacuationOrder(
                domain=domain, active=active, actor=actor
            )
        )
        return self.state_machine.apply(
            self.index,
            msgspec.msgpack.encode(
                wire.TimestampedCommand(float(self.index), command)
            ),
        )

    def domains(self):
        return self.state_machine.evacuated_domains().domains

    def list(self):
        query = wire.Query(kind="evacuations")
        return self.state_machine.query(query).evacuations

    def audit(self):
        records = self.state_machine.query(wire.Query(kind="audit")).audit
        return [(record.action, record.subject) for record in records]

    def test_last_order_of_a_domain_holds(self):
        """Guards against orders that stick after a later one."""
        self.order("east", active=True)
        self.order("west", active=True)
        self.order("east", active=False)
        self.assertEqual(["west"], self.domains())
        # A begin that is repeated after the end evacuates again.
        self.order("east", active=True)
        self.assertEqual(["east", "west"], self.domains())

    def test_repeated_order_is_acknowledged_without_a_change(self):
        """Guards against a refusal when the first answer was lost."""
        self.order("east", active=True, actor="first")
        reply = self.order("east", active=True, actor="second")
        self.assertIsInstance(reply, wire.Done)
        self.assertEqual(
            [wire.Evacuation(domain="east", index=1, at=1.0, actor="first")],
            self.list(),
        )
        self.assertIsInstance(self.order("west", active=False), wire.Done)
        self.assertEqual([("evacuation begin", "east")], self.audit())
        self.assertEqual(1, self.state_machine.state.evacuations_index)

    def test_each_change_has_an_audit_record(self):
        self.order("east", active=True)
        self.order("east", active=False)
        self.assertEqual(
            [("evacuation begin", "east"), ("evacuation end", "east")],
            self.audit(),
        )

    def test_snapshot_keeps_orders(self):
        self.order("east", active=True)
        restored = control.ControlStateMachine()
        restored.restore(1, self.state_machine.snapshot())
        self.assertEqual(["east"], restored.evacuated_domains().domains)

    def test_old_build_takes_command_and_snapshot_and_loses_the_order(self):
        """The reason for the gate: an old build must not stop, but forgets."""
        self.order("east", active=True)
        command = wire.Barrier(
            evacuation=wire.EvacuationOrder(
                domain="east", active=True, actor="ops"
            )
        )
        msgspec.msgpack.decode(
            msgspec.msgpack.encode(command), type=OldBarrier
        )
        old = msgspec.msgpack.decode(
            self.state_machine.snapshot(), type=OldState
        )
        restored = control.ControlStateMachine()
        restored.restore(1, msgspec.msgpack.encode(old))
        self.assertEqual([], restored.evacuated_domains().domains)
        self.assertEqual(0, restored.state.evacuations_index)

    def test_barrier_without_an_order_is_encoded_as_before(self):
        self.assertEqual(
            msgspec.msgpack.encode(OldBarrier()),
            msgspec.msgpack.encode(wire.Barrier()),
        )

    def next_evacuations(self, index):
        """Returns what an entry with the list of an index is sent."""
        report = wire.FollowReport(
            name="e",
            incarnation="1",
            number=0,
            index=0,
            suspects=0,
            evacuations=index,
        )
        stream = _feed.EntryStream(report=report)
        first = self.feed._next_event(stream).evacuations
        self.assertIsNone(self.feed._next_event(stream).evacuations)
        return first

    def test_entry_is_sent_what_it_lacks(self):
        """An entry that starts, or was cut off, learns all of it at once."""
        self.order("east", active=True)
        self.order("west", active=True)
        self.order("east", active=False)
        for index in (None, 0, 2):
            self.assertEqual(
                wire.EvacuatedDomains(index=3, domains=["west"]),
                self.next_evacuations(index),
            )
        self.assertIsNone(self.next_evacuations(3))


class TestOldBuilds(testtools.TestCase):
    """What the operator's command learns of builds from the statuses."""

    def status(self, *, replica, follower):
        return wire.ReplicaStatus(
            name="r",
            role="leader",
            leader="r",
            term=1,
            commit=1,
            applied=1,
            note=0,
            contact_age=0.0,
            disk_bytes=0,
            members=[],
            followers=[
                wire.FollowerStatus(
                    name="e",
                    incarnation="1",
                    note=0,
                    suspects=0,
                    seen_ago=0.0,
                    connected=True,
                    understands_evacuations=follower,
                )
            ],
            understands_evacuations=replica,
        )

    def find(self, **fields):
        statuses = {"lost": None, "r": self.status(**fields)}
        return control.find_old_build(statuses)

    def test_old_replica_or_entry_is_named(self):
        self.assertIsNone(self.find(replica=True, follower=True))
        self.assertIn("'r'", self.find(replica=False, follower=True))
        self.assertIn("'e'", self.find(replica=True, follower=False))
