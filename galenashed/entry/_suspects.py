"""Requests that may end the targets that run them."""

import asyncio
import time

from galenashed import control
from galenashed.entry import _configuration
from galenashed.entry import _runs
from galenashed.protocol import control as wire
from galenashed import telemetry
from galenashed import web

QUARANTINE_CRASHES = 2
COMMAND_SECONDS = 2.0
STATUS_SECONDS = 0.5
POLL_SECONDS = 0.02
KNOWN_SECONDS = 3.0
TRIAL_WAIT_SECONDS = 10.0
TRIAL_POLL_SECONDS = 0.2
RETRY_SECONDS = 1.0


class Suspects:
    """Keeps one request from costing more than two targets.

    The first crash is made known to every entry before the request runs
    again, and it runs again only by a trial that control allows, so a
    resend through another entry can't cost a third target.

    Parameters
    ----------
    proposer : ControlClient
        Records crashes and trials.
    configuration : Configuration
        Holds what is known here.
    """

    def __init__(
        self,
        *,
        proposer: control.ControlClient,
        configuration: _configuration.Configuration,
    ):
        self.proposer = proposer
        self.configuration = configuration
        self._known = 0
        self._polling = asyncio.Lock()
        self._ending: set[asyncio.Task] = set()

    def check(self, digest: str) -> bool:
        """Returns whether a request is a suspect.

        Raises ApiError if it is in quarantine.
        """
        count = self.configuration.suspects.crashes.get(digest, 0)
        if count >= QUARANTINE_CRASHES:
            raise quarantined(web.ExecutionStatus.NOT_RUN)
        return count > 0

    async def report(self, run: _runs.ModelRun, target) -> None:
        """Records that a target died under a run.

        Returns once every connected entry knows; raises ApiError if the
        request is not to be run again.
        """
        command = wire.ReportCrash(
            digest=run.request.digest,
            target=f"{target.name}/{target.incarnation}",
            attempt=run.request.attempt,
        )
        run.on_trial = False
        reply = await self._propose(run, command)
        self.configuration.note_crash(run.request.digest, reply)
        if reply.count >= QUARANTINE_CRASHES:
            raise quarantined(web.ExecutionStatus.RUN)
        run.demand.requirements.exclusive = True
        await self._wait_known(reply.index)

    async def begin(self, run: _runs.ModelRun) -> None:
        """Waits until a suspected request may run; raises ApiError."""
        command = wire.BeginTrial(
            digest=run.request.digest, attempt=run.request.attempt
        )
        deadline = time.monotonic() + TRIAL_WAIT_SECONDS
        while True:
            run.on_trial = True
            reply = await self._propose(run, command)
            if reply.allowed:
                return
            run.on_trial = False
            if reply.count >= QUARANTINE_CRASHES:
                raise quarantined(run.run_so_far)
            if time.monotonic() > deadline:
                raise web.ApiError(
                    status=503,
                    code="overloaded",
                    message="a target died under this content, which runs"
                    " elsewhere for another try",
                    run=run.run_so_far,
                    retry_after=RETRY_SECONDS,
                )
            await asyncio.sleep(TRIAL_POLL_SECONDS)

    def end(self, run: _runs.ModelRun, *, answered: bool) -> None:
        """Ends a run's trial, if it is one; does not wait for control."""
        if not run.on_trial:
            return
        run.on_trial = False
        command = wire.EndTrial(
            digest=run.request.digest,
            attempt=run.request.attempt,
            answered=answered,
        )
        task = telemetry.start_task(self._end(command), "end of a trial")
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)

    async def _end(self, command: wire.EndTrial) -> None:
        try:
            await self.proposer.propose(command, timeout=COMMAND_SECONDS)
        except control.ControlUnavailableError:
            # The trial runs out by itself.
            return

    async def _propose(self, run: _runs.ModelRun, command):
        try:
            return await self.proposer.propose(
                command, timeout=COMMAND_SECONDS
            )
        except control.ControlUnavailableError:
            # Without the count, another try might cost a third target.
            raise web.ApiError(
                status=503,
                code="targets_failing",
                message="a target died and control does not answer",
                run=run.run_so_far,
                retry_after=RETRY_SECONDS,
            ) from None

    async def _wait_known(self, index: int) -> None:
        """Waits for a while until every connected entry knows of ``index``.

        Those who wait at the same time share what one of them learns.
        """
        deadline = time.monotonic() + KNOWN_SECONDS
        while self._known < index and time.monotonic() < deadline:
            async with self._polling:
                if self._known < index:
                    self._known = max(self._known, await self._ask_known())
            if self._known < index:
                await asyncio.sleep(POLL_SECONDS)

    async def _ask_known(self) -> int:
        """Returns the index up to which every connected entry knows."""
        statuses = await self.proposer.statuses(timeout=STATUS_SECONDS)
        return min(
            (
                follower.suspects
                for status in statuses.values()
                if status is not None
                for follower in status.followers
                if follower.connected
            ),
            default=0,
        )


def quarantined(run: web.ExecutionStatus) -> web.ApiError:
    """Returns the final answer to a request that ended two engines."""
    return web.ApiError(
        status=422,
        code="quarantined",
        message="this request ended the targets that ran it; it is not"
        " run again",
        run=run,
    )
