"""Quarantine of requests under which targets crashed."""

import asyncio
import time
import typing

import loguru

from galenashed import control
from galenashed.entry import _configuration
from galenashed.entry import _requests
from galenashed.entry import _runs
from galenashed.protocol import control as wire
from galenashed.protocol import gossip as gossip_wire
from galenashed import quarantine
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

QUARANTINE_CRASHES = 2
COMMAND_TIMEOUT_SECONDS = 2.0
STATUS_TIMEOUT_SECONDS = 1.0
RESEND_SECONDS = 0.2
PROPAGATION_POLL_SECONDS = 0.02
PROPAGATION_TIMEOUT_SECONDS = 4.0
TRIAL_WAIT_SECONDS = 10.0
TRIAL_POLL_SECONDS = 0.2
RETRY_AFTER_SECONDS = 1.0


class ProcessLog:
    """Writes decisions to the log of the process."""

    def write(self, event: str, **fields) -> None:
        """See :class:`galenashed.telemetry.DecisionLog`."""
        LOG.info("{}: {}", event, fields)


class CrashQuarantine:
    """Ensures that one request crashes at most two targets.

    Requests that share a message under which targets crash are also refused.

    Every connected entry learns of the first crash, and has its own recorded,
    before the request runs again, and it runs again only in a trial that
    control admits.  A retry through another entry can therefore not crash a
    third target.  If not every entry is known to have learned of it in time,
    the request fails with an error that suggests a retry.

    Parameters
    ----------
    control_client : ControlClient
        Records crashes and trials.
    configuration : Configuration
        Holds the crash counts that this entry knows.
    alive_entries : callable
        Returns the instances of the entries that may be alive.
    parts : Quarantine
        Quarantines messages that several requests share.
    on_acknowledged : callable
        Called when control has recorded all crashes that this entry reported.
    """

    def __init__(
        self,
        *,
        control_client: control.ControlClient,
        configuration: _configuration.Configuration,
        alive_entries: typing.Callable[[], list[gossip_wire.Instance]],
        parts: quarantine.Quarantine,
        on_acknowledged: typing.Callable[[], None],
    ):
        self.control_client = control_client
        self.configuration = configuration
        self.alive_entries = alive_entries
        self.parts = parts
        self.on_acknowledged = on_acknowledged
        # Reports that control has not acknowledged, by request digest.
        self._unacknowledged: dict[str, list[wire.ReportCrash]] = {}
        # Index of the latest crash that this entry reported.
        self._reported_index = 0
        self._propagated_index = 0
        self._poll_lock = asyncio.Lock()
        self._end_tasks: set[asyncio.Task] = set()
        self._resend_task: asyncio.Task | None = None

    def check_suspected(self, digest: str) -> bool:
        """Returns whether a target has crashed under the request.

        Raises ApiError if the request is quarantined.
        """
        if self._is_quarantined(digest):
            raise quarantined_error(web.ExecutionStatus.NOT_RUN)
        if digest in self._unacknowledged:
            return True
        return self.configuration.crash_count(digest) > 0

    async def check_parts(self, request: _requests.ModelRequest) -> bool:
        """Returns whether the request is the trial of a shared message.

        Raises ApiError if targets crash under requests with one.
        """
        suspect = self.parts.find_quarantined(request)
        if suspect is None:
            return False
        if not await self.parts.begin_trial(request):
            raise quarantine.make_error(suspect, executed=False)
        return True

    def begin_try(self, run: _runs.ModelRun) -> None:
        """See :class:`galenashed.entry._runs.CrashHandler`."""
        run.answer_begun = False
        run.answered = False
        run.quarantine_index = self.parts.index
        suspect = self.parts.find_quarantined(run.request)
        starts_trial = run.part_trial and not run.tries
        if suspect is not None and not starts_trial:
            raise quarantine.make_error(suspect, executed=run.sent)

    def on_answer_complete(self, run: _runs.ModelRun) -> None:
        """Clears the messages of a request with a whole answer."""
        self.parts.on_answer_complete(run.request)

    def _is_quarantined(self, digest: str) -> bool:
        return self.configuration.crash_count(digest) >= QUARANTINE_CRASHES

    @property
    def informed_index(self) -> int:
        """The index of the suspects that this entry takes into account.

        It is 0 while control has not recorded a crash that this entry knows
        of: until then, no entry may run the request again.
        """
        if self._unacknowledged:
            return 0
        return self.configuration.suspects.index

    async def report_crash(self, run: _runs.ModelRun, target) -> None:
        """Records that a target crashed under a run.

        Raises ApiError if the request must not run again.
        """
        command = wire.ReportCrash(
            digest=run.request.digest,
            target=f"{target.name}/{target.incarnation}",
            attempt=run.request.attempt,
        )
        run.in_trial = False
        run.slot_request.requirements.exclusive = True
        await self.parts.report_crash(
            run.request,
            command.target,
            answer=run.answer_state,
            known=run.quarantine_index,
        )
        commands = self._unacknowledged.setdefault(run.request.digest, [])
        commands.append(command)
        try:
            await self._send_reports(run)
        finally:
            self._resend()
        if self._is_quarantined(run.request.digest):
            raise quarantined_error(web.ExecutionStatus.RUN)

    async def _send_reports(self, run: _runs.ModelRun) -> None:
        """Sends the unacknowledged reports on a request; raises ApiError."""
        digest = run.request.digest
        for command in list(self._unacknowledged.get(digest, [])):
            self._acknowledge(command, await self._propose(run, command))

    def _acknowledge(
        self, command: wire.ReportCrash, reply: wire.Crashes
    ) -> None:
        digest = command.digest
        self.configuration.record_crash(digest, reply)
        self._reported_index = max(self._reported_index, reply.index)
        commands = self._unacknowledged.get(digest, [])
        if command in commands:
            commands.remove(command)
        if not commands and self._unacknowledged.pop(digest, None) is not None:
            self.on_acknowledged()

    def _resend(self) -> None:
        """Starts to repeat the reports that control has not acknowledged."""
        running = self._resend_task is not None and (
            not self._resend_task.done()
        )
        if self._unacknowledged and not running:
            self._resend_task = telemetry.start_task(
                self._resend_until_acknowledged(), "crash reports"
            )

    async def _resend_until_acknowledged(self) -> None:
        while self._unacknowledged:
            await asyncio.sleep(RESEND_SECONDS)
            commands = [
                command
                for commands in self._unacknowledged.values()
                for command in commands
            ]
            for command in commands:
                try:
                    reply = await self.control_client.propose(
                        command, timeout=COMMAND_TIMEOUT_SECONDS
                    )
                except control.ControlUnavailableError:
                    LOG.info("crash of {} not recorded", command.target)
                    break
                assert isinstance(reply, wire.Crashes)
                self._acknowledge(command, reply)

    async def close(self) -> None:
        """Abandons the reports that control has not acknowledged."""
        if self._resend_task is not None:
            self._resend_task.cancel()
            await asyncio.gather(self._resend_task, return_exceptions=True)

    async def begin_trial(self, run: _runs.ModelRun) -> None:
        """Waits until a suspected request may run; raises ApiError."""
        await self._send_reports(run)
        if self._is_quarantined(run.request.digest):
            # This has become known since the request was admitted.
            raise quarantined_error(run.execution_status)
        index = max(self._reported_index, self.configuration.suspects.index)
        if not await self._wait_propagated(index):
            raise web.ApiError(
                status=503,
                code="targets_failing",
                message="a target crashed while it ran this request, and not"
                " every instance is known to have learned of it",
                execution_status=run.execution_status,
                retry_after=RETRY_AFTER_SECONDS,
            )
        command = wire.BeginTrial(
            digest=run.request.digest, attempt=run.request.attempt
        )
        deadline = time.monotonic() + TRIAL_WAIT_SECONDS
        while True:
            run.in_trial = True
            reply = await self._propose(run, command)
            if reply.allowed:
                return
            run.in_trial = False
            if reply.count >= QUARANTINE_CRASHES:
                raise quarantined_error(run.execution_status)
            if time.monotonic() > deadline:
                raise web.ApiError(
                    status=503,
                    code="overloaded",
                    message="a target crashed while it ran this request,"
                    " which another attempt is now retrying",
                    execution_status=run.execution_status,
                    retry_after=RETRY_AFTER_SECONDS,
                )
            await asyncio.sleep(TRIAL_POLL_SECONDS)

    def end_trial(self, run: _runs.ModelRun, *, answered: bool) -> None:
        """Ends the run's trial, if any; does not wait for control."""
        if not run.in_trial:
            return
        run.in_trial = False
        command = wire.EndTrial(
            digest=run.request.digest,
            attempt=run.request.attempt,
            answered=answered,
        )
        task = telemetry.start_task(self._end(command), "end of a trial")
        self._end_tasks.add(task)
        task.add_done_callback(self._end_tasks.discard)

    async def _end(self, command: wire.EndTrial) -> None:
        try:
            await self.control_client.propose(
                command, timeout=COMMAND_TIMEOUT_SECONDS
            )
        except control.ControlUnavailableError:
            # The trial expires in control on its own.
            return

    async def _propose(self, run: _runs.ModelRun, command):
        try:
            return await self.control_client.propose(
                command, timeout=COMMAND_TIMEOUT_SECONDS
            )
        except control.ControlUnavailableError:
            # Without the crash count, a retry might crash a third target.
            raise web.ApiError(
                status=503,
                code="targets_failing",
                message="a target crashed and control is unavailable",
                execution_status=run.execution_status,
                retry_after=RETRY_AFTER_SECONDS,
            ) from None

    async def _wait_propagated(self, index: int) -> bool:
        """Waits until every connected entry has applied ``index``.

        Returns False after ``PROPAGATION_TIMEOUT_SECONDS``.  Concurrent
        waiters share the result of one poll.
        """
        deadline = time.monotonic() + PROPAGATION_TIMEOUT_SECONDS
        while self._propagated_index < index:
            if time.monotonic() > deadline:
                LOG.warning(
                    "not every entry is known to have learned of the crash"
                    " at index {}",
                    index,
                )
                return False
            async with self._poll_lock:
                if self._propagated_index < index:
                    self._propagated_index = max(
                        self._propagated_index,
                        await self._query_propagated_index(),
                    )
            if self._propagated_index < index:
                await asyncio.sleep(PROPAGATION_POLL_SECONDS)
        return True

    async def _query_propagated_index(self) -> int:
        """Returns the index that every connected entry has applied.

        Returns 0 while a replica does not answer that an entry may follow.
        """
        statuses = await self.control_client.statuses(
            timeout=STATUS_TIMEOUT_SECONDS
        )
        followers = [
            follower
            for status in statuses.values()
            if status is not None
            for follower in status.followers
            if follower.connected
        ]
        if None in statuses.values():
            listed = {(f.name, f.incarnation) for f in followers}
            if any(
                (entry.name, entry.incarnation) not in listed
                for entry in self.alive_entries()
            ):
                return 0
        return min((f.suspects for f in followers), default=0)


def quarantined_error(execution_status: web.ExecutionStatus) -> web.ApiError:
    """Returns the final error of a request that crashed two targets."""
    return web.ApiError(
        status=422,
        code="quarantined",
        message="two targets crashed while they ran this request; it is"
        " not retried",
        execution_status=execution_status,
    )
