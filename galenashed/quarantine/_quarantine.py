"""Requests that must not run again because targets crash under them."""

import asyncio
import enum
import time
import typing

import loguru
import msgspec

from galenashed.protocol import control as wire
from galenashed.quarantine import _crash_reports
from galenashed.quarantine import _sound_parts
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

# How long a request waits for the verdict of control before it is repeated, or
# run as a trial.
VERDICT_SECONDS = 0.25
COMMAND_SECONDS = 2.0
RETRY_SECONDS = 0.2
RETRY_AFTER_SECONDS = 1.0
# Reports that wait for control, as when this entry is cut off.
MAX_PENDING_REPORTS = 64
# A part whose answers end whole at this rate has not caused a crash.
RECENT_SECONDS = 1.0
# How long a whole answer tells that a part of another one, of which only the
# head is out, is most likely sound.
SOUND_SECONDS = 60.0
# How long the report of a request that may just have been beside the cause of
# a crash waits for the verdict on the other suspects.
EXPLANATION_SECONDS = 0.3
# Crashes closer than this count as one, by the time at which control hears of
# them (:mod:`galenashed.control._quarantine`).
CORRELATED_SECONDS = 1.0
QUARANTINE_CRASHES = 2
REQUEST_QUARANTINE_CRASHES = 3


class AnswerState(enum.Enum):
    """How far a target had come with its answer when it crashed.

    A target most likely crashes on a request when it begins to write, so that
    ``JUST_BEGUN`` explains a crash to those who merely waited.  Many answers
    may be ``OPEN`` on a target, with or without events.
    """

    NONE = "none"
    JUST_BEGUN = "just begun"
    OPEN = "open"


class ControlClient(typing.Protocol):
    """Commits commands to the replicated state."""

    async def propose(
        self, command: wire.Command, *, timeout: float
    ) -> wire.Reply:
        """Returns the reply to a command."""


class Log(typing.Protocol):
    """Receives a line for each decision."""

    def write(self, event: str, **fields) -> None:
        """Writes a line."""


class SuspectedRequest(typing.Protocol):
    """What the quarantine needs to know of a request."""

    @property
    def id(self) -> str: ...

    @property
    def digest(self) -> str:
        """Identifies the content, which repeats share."""

    @property
    def part_ids(self) -> typing.Sequence[str]:
        """The parts of the prompt that other requests may have too."""


def _shorten_parts(request: SuspectedRequest) -> list[str]:
    """Returns the parts as control knows them."""
    return [wire.shorten_part(part) for part in request.part_ids]


def _suspect_names(request: SuspectedRequest) -> list[str]:
    """What may crash a target: each shared part, and the whole."""
    names = [wire.name_part(part) for part in _shorten_parts(request)]
    return [*names, wire.name_request(request.digest)]


class Quarantine:
    """Reports requests under which targets crash, and refuses them.

    What is quarantined is decided in the replicated state, for all entries.
    While control does not answer, this entry counts those that it has
    reported: against a part, crashes under answers that had begun, and
    against a request as a whole, all of them.

    Parameters
    ----------
    control : ControlClient
        Receives reports.
    unavailable : type of Exception
        Raised by ``control`` if it does not answer in time.
    log : Log
        Receives a line for each change and each trial.
    """

    def __init__(
        self,
        *,
        control: ControlClient,
        unavailable: type[Exception],
        log: Log,
    ):
        self.control = control
        self.unavailable = unavailable
        self.log = log
        self.index = 0
        self._suspected: frozenset[str] = frozenset()
        self._quarantined: frozenset[str] = frozenset()
        self._trials_due: frozenset[str] = frozenset()
        self._asking: set[str] = set()
        self._pending: list[_crash_reports.PendingReport] = []
        self._clearing: set[str] = set()
        self._samples = _crash_reports.Samples()
        self._sound = _sound_parts.SoundParts()
        self._unreported = _crash_reports.UnreportedCrashes()
        self._tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Abandons the reports that control has not acknowledged."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def apply(self, update: wire.Quarantine) -> None:
        """Applies the list of suspects, unless a newer one is known."""
        if update.index < self.index:
            return
        quarantined = frozenset(update.quarantined)
        if quarantined != self._quarantined:
            self.log.write(
                "quarantine changed",
                added=sorted(quarantined - self._quarantined),
                removed=sorted(self._quarantined - quarantined),
                suspected=len(update.suspected),
            )
        self.index = update.index
        self._quarantined = quarantined
        self._suspected = frozenset(update.suspected)
        self._sound.set_suspects(
            self._suspected | quarantined, time.monotonic()
        )
        self._trials_due = frozenset(update.trials_due)
        self._clearing &= self._suspected | self._quarantined

    # Requests

    def find_quarantined(self, request: SuspectedRequest) -> str | None:
        """Returns the suspect for which a request must not run, if any."""
        if not self._quarantined and not self._pending:
            return None
        for name in _suspect_names(request):
            if name in self._quarantined or self._is_to_blame(
                name, is_part=name != wire.name_request(request.digest)
            ):
                return name
        return None

    def is_suspected(self, request: SuspectedRequest) -> bool:
        """Whether targets have crashed under a request, without an answer."""
        if not (self._suspected or self._quarantined or self._pending):
            return False
        name = wire.name_request(request.digest)
        return (
            name in self._suspected
            or name in self._quarantined
            or any(name in report.names for report in self._pending)
        )

    def _is_to_blame(self, name: str, *, is_part: bool) -> bool:
        """Whether the crashes that await acknowledgement suffice."""
        commands = [
            report.command
            for report in self._pending
            if report.overdue
            and name in report.names
            and (report.command.begun or not is_part)
        ]
        crashes = len({command.target for command in commands})
        if is_part:
            requests = {command.request for command in commands}
            crashes = min(crashes, len(requests))
        known = 1 if name in self._suspected else 0
        needed = QUARANTINE_CRASHES if is_part else REQUEST_QUARANTINE_CRASHES
        return crashes > 0 and crashes + known >= needed

    async def begin_trial(self, request: SuspectedRequest) -> bool:
        """Returns whether a quarantined request may run, as a trial."""
        names = self._quarantined.intersection(_suspect_names(request))
        if not names or not names <= self._trials_due - self._asking:
            return False
        self._asking |= names
        try:
            for name in sorted(names):
                command = wire.BeginSuspectTrial(
                    suspect=name, request=request.digest
                )
                reply = await self.control.propose(
                    command, timeout=VERDICT_SECONDS
                )
                assert isinstance(reply, wire.Trial)
                if not reply.allowed:
                    return False
        except self.unavailable:
            LOG.info("no trial of {}: control does not answer", sorted(names))
            return False
        finally:
            self._asking -= names
        self.log.write(
            "trial begun", request=request.id, suspects=sorted(names)
        )
        return True

    async def admit_suspected(
        self, request: SuspectedRequest, *, executed: bool
    ) -> None:
        """Waits until control admits a suspected request.

        The list that this entry has may lack the latest crash.  Raises
        ApiError if the request is quarantined, or if that can't be told;
        ``executed`` tells whether it has been sent to a target before.
        """
        name = wire.name_request(request.digest)
        reports = [item for item in self._pending if name in item.names]
        if await self._wait_acknowledged(reports, COMMAND_SECONDS):
            raise _make_unconfirmed_error(executed=executed)
        command = wire.BeginSuspectTrial(suspect=name, request=request.digest)
        try:
            reply = await self.control.propose(
                command, timeout=COMMAND_SECONDS
            )
        except self.unavailable:
            LOG.info("{} not admitted: control does not answer", name)
            if name in self._quarantined:
                # The feed has told meanwhile.
                raise make_error(name, executed=executed) from None
            raise _make_unconfirmed_error(executed=executed) from None
        assert isinstance(reply, wire.Trial)
        if reply.allowed:
            return
        if reply.count >= REQUEST_QUARANTINE_CRASHES:
            raise make_error(name, executed=executed)
        raise _make_unconfirmed_error(executed=executed)

    def on_answer_complete(self, request: SuspectedRequest) -> None:
        """Clears what was suspected in a request with a whole answer.

        Events are no proof: a target may crash after any of them.
        """
        self._sound.add(
            map(wire.name_part, _shorten_parts(request)), time.monotonic()
        )
        if not (
            self._suspected
            or self._quarantined
            or self._pending
            or self._unreported
        ):
            return
        names = set(_suspect_names(request))
        for report in self._pending:
            report.names -= names
        self._unreported.pop(request.digest)
        names &= self._suspected | self._quarantined
        names -= self._clearing
        if names:
            self._clearing |= names
            self._start(self._clear(sorted(names)), "clearing of suspects")

    async def report_crash(
        self,
        request: SuspectedRequest,
        target: str,
        *,
        answer: AnswerState,
        known: int,
    ) -> None:
        """Reports a crash; waits for the verdict for a short time.

        ``target`` names the incarnation that crashed, and ``known`` is the
        ``index`` at which the request was sent to it.
        """
        now = time.monotonic()
        parts = _shorten_parts(request)
        is_open = answer is AnswerState.OPEN
        if answer is AnswerState.JUST_BEGUN:
            is_open = self._are_sound(parts, now - SOUND_SECONDS)
        elif is_open:
            parts = self._exclude_answered(parts, now - RECENT_SECONDS)
        is_cause = answer is AnswerState.JUST_BEGUN and not is_open
        command = wire.ReportLostTarget(
            target=target,
            request=request.digest,
            parts=parts,
            begun=is_cause,
            known=known,
        )
        commands = [*self._unreported.pop(request.digest), command]
        lost_before = self._lost_before(request, commands)
        new_parts = parts if answer is AnswerState.OPEN else []
        is_sampled = is_cause or self._samples.add(target, new_parts)
        if not is_sampled and not lost_before:
            self._unreported.add(request.digest, commands)
            return
        names = set(_suspect_names(request))
        if is_open and self._has_others(names):
            # The delay must not make correlated crashes count as two.
            parts = self._exclude_suspected(parts, now - CORRELATED_SECONDS)
            commands[-1] = msgspec.structs.replace(command, parts=parts)
            self._start(
                self._report_unexplained(commands, names, now), "crash report"
            )
            return
        await self._send_reports(commands, names)

    def _exclude_answered(self, parts: list[str], since: float) -> list[str]:
        """Returns the parts without a whole answer after a time."""
        return [
            part
            for part in parts
            if self._sound.since(wire.name_part(part)) <= since
        ]

    def _exclude_suspected(self, parts: list[str], since: float) -> list[str]:
        """Returns the parts that were not first suspected after a time."""
        return [
            part
            for part in parts
            if self._sound.suspected_at(wire.name_part(part)) <= since
        ]

    def _are_sound(self, parts: list[str], not_before: float) -> bool:
        """Whether all parts of a prompt have had whole answers of late."""
        return bool(parts) and all(
            self._sound.is_sound(wire.name_part(part), not_before=not_before)
            for part in parts
        )

    def _has_others(self, names: set[str]) -> bool:
        """Whether a part that a request lacks may explain a crash."""
        return not names & self._quarantined and any(
            name not in names and name.startswith(wire.name_part(""))
            for name in self._suspected
        )

    async def _report_unexplained(
        self,
        commands: list[wire.ReportLostTarget],
        names: set[str],
        crashed_at: float,
    ) -> None:
        """Reports a crash unless another suspect is found to explain it."""
        quarantined = self._quarantined
        await asyncio.sleep(EXPLANATION_SECONDS)
        if self._quarantined - quarantined:
            if len(commands) > 1:
                self._unreported.add(commands[0].request, commands[:-1])
            return
        commands = [
            msgspec.structs.replace(
                command,
                parts=self._exclude_answered(command.parts, crashed_at),
            )
            for command in commands
        ]
        await self._send_reports(commands, names)

    async def _send_reports(
        self, commands: list[wire.ReportLostTarget], names: set[str]
    ) -> None:
        reports = self._add_pending(commands, names)
        for report in reports:
            report.task = self._start(self._report(report), "crash report")
        unacknowledged = await self._wait_acknowledged(
            reports, VERDICT_SECONDS
        )
        for report in unacknowledged:
            report.overdue = True

    def _lost_before(
        self,
        request: SuspectedRequest,
        commands: list[wire.ReportLostTarget],
    ) -> bool:
        """Whether a request was lost with another target before."""
        targets = {command.target for command in commands}
        return len(targets) > 1 or self.is_suspected(request)

    def _add_pending(
        self, commands: list[wire.ReportLostTarget], names: set[str]
    ) -> list[_crash_reports.PendingReport]:
        """Returns the reports to send, as far as there is room for them."""
        room = MAX_PENDING_REPORTS - len(self._pending)
        for command in commands[max(0, room) :]:
            LOG.warning(
                "crash of target {} not reported: too many", command.target
            )
        reports = [
            _crash_reports.PendingReport(command=command, names=set(names))
            for command in commands[: max(0, room)]
        ]
        self._pending += reports
        return reports

    async def _wait_acknowledged(
        self,
        reports: typing.Sequence[_crash_reports.PendingReport],
        timeout: float,
    ) -> list[_crash_reports.PendingReport]:
        """Returns the reports that are not acknowledged in ``timeout``."""
        tasks = [report.task for report in reports if report.task]
        if tasks:
            await asyncio.wait(tasks, timeout=timeout)
        return [report for report in reports if report in self._pending]

    # Commands

    def _start(self, coro: typing.Coroutine, name: str) -> asyncio.Task:
        task = telemetry.start_task(coro, name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _report(self, report: _crash_reports.PendingReport) -> None:
        """Repeats a report until control acknowledges it."""
        while True:
            try:
                reply = await self.control.propose(
                    report.command, timeout=COMMAND_SECONDS
                )
                break
            except self.unavailable:
                LOG.info("crash of {} not recorded", report.command.target)
                await asyncio.sleep(RETRY_SECONDS)
        assert isinstance(reply, wire.Quarantine)
        self._pending.remove(report)
        self.apply(reply)

    async def _clear(self, names: list[str]) -> None:
        command = wire.ClearSuspects(suspects=names)
        try:
            reply = await self.control.propose(
                command, timeout=COMMAND_SECONDS
            )
        except self.unavailable:
            # The next answer with a suspect clears it.
            LOG.info("suspects not cleared: control does not answer")
            self._clearing.difference_update(names)
            return
        assert isinstance(reply, wire.Quarantine)
        self.apply(reply)
        self._clearing.difference_update(names)


def make_error(suspect: str, *, executed: bool) -> web.ApiError:
    """Returns the final error of a request with a quarantined suspect."""
    return web.ApiError(
        status=422,
        code="quarantined",
        message=f"targets crashed under requests with {suspect}; this one is"
        " not run" + (" again" if executed else ""),
        execution_status=_execution_status(executed),
    )


def _make_unconfirmed_error(*, executed: bool) -> web.ApiError:
    """Returns the error of a request that may be quarantined by now."""
    return web.ApiError(
        status=503,
        code="targets_failing",
        message="targets crashed while they ran this request, and whether it"
        " may run again can't be told yet",
        execution_status=_execution_status(executed),
        retry_after=RETRY_AFTER_SECONDS,
    )


def _execution_status(executed: bool) -> web.ExecutionStatus:
    if executed:
        return web.ExecutionStatus.UNKNOWN
    return web.ExecutionStatus.NOT_RUN
