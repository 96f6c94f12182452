"""The task of the leader that keeps the number of voters as configured."""

import asyncio
import time

import loguru

from galenashed import control
from galenashed import membership
from galenashed.node import _voters
from galenashed.protocol import control as wire
from galenashed import telemetry

LOG = loguru.logger

# Time between checks of the membership; short compared with the time that a
# learner takes to catch up.
CHECK_INTERVAL_SECONDS = 0.3


class ReplicaManager:
    """Applies the changes that :mod:`_voters` plans while its replica leads.

    Parameters
    ----------
    server : ControlServer
        The replica of this process.
    directory : Directory
        Lists the entries; their announcements name their replicas.
    desired_voters : int
        Number of voters that the cluster should have.
    log : DecisionLog
        Receives a line for each change.
    """

    def __init__(
        self,
        *,
        server: control.ControlServer,
        directory: membership.Directory,
        desired_voters: int,
        log,
    ):
        self.server = server
        self.directory = directory
        self.desired_voters = desired_voters
        self.log = log
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task."""
        self._task = telemetry.start_task(self._run(), "replica keeper")

    async def close(self) -> None:
        """Stops the task."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            if not self.server.node.is_leader:
                continue
            change = _voters.plan_change(self._cluster_view())
            if change is None:
                continue
            reply = await self.server.change_replicas(change)
            result = "done"
            if isinstance(reply, wire.Refused):
                result = "; ".join(reply.findings)
            elif reply is None:
                result = "no longer leads"
            self.log.write(
                "replicas changed",
                action=change.action,
                replica=change.name,
                result=result,
            )

    def _cluster_view(self) -> _voters.ClusterView:
        now = time.monotonic()
        core = self.server.node.core
        members = core.membership.members
        candidates = [
            _voters.Candidate(entry.replica, entry.replica_address)
            for entry in self.directory.alive(now)
            if entry.replica and entry.state != "draining"
        ]
        silent_seconds = {}
        caught_up = set()
        for member in members:
            if member.name == self.server.name:
                continue
            silent_seconds[member.name] = core.seconds_since_contact(
                member.name, now
            )
            match_index = core.match_index(member.name)
            if (
                member.learner
                and match_index is not None
                and match_index >= core.commit
            ):
                caught_up.add(member.name)
        return _voters.ClusterView(
            members=members,
            leader=self.server.name,
            silent_seconds=silent_seconds,
            caught_up=frozenset(caught_up),
            candidates=candidates,
            desired_voters=self.desired_voters,
            retired=frozenset(
                self.server.state_machine.state.retired_replicas
            ),
        )
