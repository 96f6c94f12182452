"""Tests of the operator commands that change or list control replicas."""

import asyncio
import time
import typing

import testtools

from galenashed.cli import _output
from galenashed.cli import _replicas
from galenashed import control
from galenashed.protocol import control as wire

COMMAND = wire.ChangeReplicas(action="remove", name="c3", actor="ops")


class FakeClient:
    """Control replicas, none of which leads before a number of queries."""

    def __init__(self, *, queries_without_leader: int):
        self.queries_without_leader = queries_without_leader

    def has_leader(self) -> bool:
        self.queries_without_leader -= 1
        return self.queries_without_leader < 0

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
