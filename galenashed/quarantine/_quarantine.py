"""Requests that must not run again because targets crash under them."""

import asyncio
import collections
import typing

import loguru

from galenashed.protocol import control as wire
from galenashed import telemetry
from galenashed import web

LOG = loguru.logger

# How long a request waits for the verdict of control before it is repeated, or
# run as a trial.
VERDICT_SECONDS = 0.25
COMMAND_SECONDS = 2.0
RETRY_SECONDS = 0.2
# Reports that wait for control, as when this entry is cut off.
MAX_PENDING_REPORTS = 64
# Requests without a begun answer that are reported of one crash; a busy
# target loses many, of which one has caused the crash at most.
MAX_REPORTS_PER_CRASH = 8
MAX_TRACKED_CRASHES = 64
QUARANTINE_CRASHES = 2


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


def _suspect_names(request: SuspectedRequest) -> list[str]:
    """What may crash a target: each shared part, and the whole."""
    names = [wire.name_part(part) for part in request.part_ids]
    return [*names, wire.name_request(request.digest)]


class _PendingReport:
    """A report that control has not acknowledged.

    ``names`` are the suspects in it that no answer has cleared since, and
    ``overdue`` tells whether the reply did not come in the usual time.
    """

    __slots__ = ("command", "names", "overdue")

    def __init__(self, *, command: wire.ReportLostTarget, names: set[str]):
        self.command = command
        self.names = names
        self.overdue = False


class Quarantine:
    """Reports requests under which targets crash, and refuses them.

    What is quarantined is decided in the replicated state, for all entries.
    While control does not answer, crashes under answers that had begun count
    here as soon as this entry has reported them.

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
        self._pending: list[_PendingReport] = []
        self._clearing: set[str] = set()
        self._report_counts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
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
        self._trials_due = frozenset(update.trials_due)
        self._clearing &= self._suspected | self._quarantined

    # Requests

    def find_quarantined(self, request: SuspectedRequest) -> str | None:
        """Returns the suspect for which a request must not run, if any."""
        if not self._quarantined and not self._pending:
            return None
        for name in _suspect_names(request):
            if name in self._quarantined or self._crashes_twice(name):
                return name
        return None

    def _crashes_twice(self, name: str) -> bool:
        """Whether the crashes reported by this entry alone suffice."""
        commands = [
            report.command
            for report in self._pending
            if report.overdue and report.command.begun and name in report.names
        ]
        targets = {command.target for command in commands}
        requests = {command.request for command in commands}
        known = 1 if name in self._suspected else 0
        crashes = min(len(targets), len(requests))
        return crashes > 0 and crashes + known >= QUARANTINE_CRASHES

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

    def on_answer_begun(self, request: SuspectedRequest) -> None:
        """Clears what was suspected in a request that a target answers."""
        if not (self._suspected or self._quarantined or self._pending):
            return
        names = set(_suspect_names(request))
        for report in self._pending:
            report.names -= names
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
        begun: bool,
        known: int,
    ) -> None:
        """Reports a crash; waits for the verdict for a short time.

        ``target`` names the incarnation that crashed, ``begun`` tells whether
        it had begun an answer, and ``known`` is the ``index`` at which the
        request was sent to it.
        """
        if not begun and not self._may_report(target):
            return
        if len(self._pending) >= MAX_PENDING_REPORTS:
            LOG.warning("crash of target {} not reported: too many", target)
            return
        report = _PendingReport(
            command=wire.ReportLostTarget(
                target=target,
                request=request.digest,
                parts=list(request.part_ids),
                begun=begun,
                known=known,
            ),
            names=set(_suspect_names(request)),
        )
        self._pending.append(report)
        task = self._start(self._report(report), "crash report")
        await asyncio.wait({task}, timeout=VERDICT_SECONDS)
        report.overdue = not task.done()

    def _may_report(self, target: str) -> bool:
        count = self._report_counts.get(target, 0)
        self._report_counts[target] = count + 1
        self._report_counts.move_to_end(target)
        while len(self._report_counts) > MAX_TRACKED_CRASHES:
            self._report_counts.popitem(last=False)
        return count < MAX_REPORTS_PER_CRASH

    # Commands

    def _start(self, coro: typing.Coroutine, name: str) -> asyncio.Task:
        task = telemetry.start_task(coro, name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _report(self, report: _PendingReport) -> None:
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
        execution_status=web.ExecutionStatus.UNKNOWN
        if executed
        else web.ExecutionStatus.NOT_RUN,
    )
