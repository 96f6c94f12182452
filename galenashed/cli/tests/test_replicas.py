"""Tests of the operator commands that change or list control replicas."""

import asyncio
import pathlib
import time
import typing

import testtools

from galenashed.cli import _clients
from galenashed.cli import _output
from galenashed.cli import _replicas
from galenashed import control
from galenashed.protocol import control as wire

COMMAND = wire.ChangeReplicas(action="remove", name="c3", actor="ops")


def make_status(name: str, role: str) -> wire.ReplicaStatus:
    return wire.ReplicaStatus(
        name=name,
        role=role,
        leader="",
        term=1,
        commit=0,
        applied=0,
        note=0,
        contact_age=0.0,
        disk_bytes=0,
        members=[
            wire.MemberStatus(
                name="c1", address="c1:1", learner=False, held=0
            ),
            wire.MemberStatus(
                name="c2", address="c2:1", learner=False, held=0
            ),
        ],
        followers=[],
    )


class FakeClient:
    """Control replicas, none of which leads before a number of queries."""

    def __init__(self, *, queries_without_leader: int):
        self.queries_without_leader = queries_without_leader
        self.replicas = {"c1": "c1:1"}

    def has_leader(self) -> bool:
        self.queries_without_leader -= 1
        return self.queries_without_leader < 0

    def add_replicas(self, replicas: dict[str, str]) -> None:
        self.replicas.update(replicas)

    async def statuses(self, *, timeout: float):
        role = "leader" if self.has_leader() else "candidate"
        return {
            name: make_status(name, "follower" if name == "c1" else role)
            for name in self.replicas
        }

    async def change_replicas(self, command, *, timeout: float):
        if not self.has_leader():
            raise control.ControlUnavailableError("no answer")
        return wire.Done(index=1)


class TestElections(testtools.TestCase):
    """Commands that are given while the replicas elect a leader."""

    def make_client(self, queries_without_leader: int) -> typing.Any:
        return FakeClient(queries_without_leader=queries_without_leader)

    def retry(self, client, timeout: float) -> int:
        deadline = time.monotonic() + timeout
        return asyncio.run(
            _replicas._retry_until_done(client, COMMAND, deadline)
        )

    def test_change_is_retried_while_no_replica_leads(self):
        exit_code = self.retry(self.make_client(2), timeout=60.0)
        self.assertEqual(_output.EXIT_OK, exit_code)

    def test_change_fails_if_no_replica_leads_in_time(self):
        self.assertRaises(
            control.ControlUnavailableError,
            self.retry,
            self.make_client(10**9),
            timeout=0.0,
        )

    def list_replicas(self, client) -> int:
        self.patch(
            _clients,
            "run_with_client",
            lambda path, operation: asyncio.run(operation(client)),
        )
        return _replicas.list_replicas(pathlib.Path("operator.toml"))

    def test_list_waits_for_a_leader(self):
        # The leader is not among the replicas of the settings.
        exit_code = self.list_replicas(self.make_client(2))
        self.assertEqual(_output.EXIT_OK, exit_code)

    def test_list_fails_if_no_replica_leads_in_time(self):
        self.patch(_replicas, "LEADER_WAIT_SECONDS", 0.0)
        exit_code = self.list_replicas(self.make_client(10**9))
        self.assertEqual(_output.EXIT_FAILED, exit_code)
