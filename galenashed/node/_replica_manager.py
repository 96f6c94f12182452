"""The task by which a leading replica keeps the set of voters whole."""

import asyncio
import time

import loguru

from galenashed import control
from galenashed import membership
from galenashed.node import _voters
from galenashed.protocol import control as wire
from galenashed import telemetry

LOG = loguru.logger

# Between two looks at the members; a fraction of the time to catch up.
LOOK_SECONDS = 0.3


class ReplicaManager:
    """Carries out the plan of :mod:`_voters` while its replica leads.

    Parameters
    ----------
    server : ControlServer
        The replica of this process.
    directory : Directory
        Entries, whose announcements name their replicas.
    wanted : int
        Voters that the cluster should have.
    log : DecisionLog
        Takes a line for each change.
    """

    def __init__(
        self,
        *,
        server: control.ControlServer,
        directory: membership.Directory,
        wanted: int,
        log,
    ):
        self.server = server
        self.directory = directory
        self.wanted = wanted
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
            await asyncio.sleep(LOOK_SECONDS)
            if not self.server.node.is_leader:
                continue
            change = _voters.plan(self._view())
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

    def _view(self) -> _voters.View:
        now = time.monotonic()
        core = self.server.node.core
        members = core.membership.members
        candidates = [
            _voters.Candidate(entry.replica, entry.replica_address)
            for entry in self.directory.alive(now)
            if entry.replica and entry.state != "draining"
        ]
        silent = {}
        caught_up = set()
        for member in members:
            if member.name == self.server.name:
                continue
            silent[member.name] = core.seconds_since_contact(member.name, now)
            held = core.match_index(member.name)
            if member.learner and held is not None and held >= core.commit:
                caught_up.add(member.name)
        return _voters.View(
            members=members,
            leader=self.server.name,
            silent=silent,
            caught_up=frozenset(caught_up),
            candidates=candidates,
            wanted=self.wanted,
        )
