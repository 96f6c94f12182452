"""What an entry keeps of crashes until control has heard of them."""

import asyncio
import collections
import typing

from galenashed.protocol import control as wire

# Requests without a begun answer that are reported of one crash unless they
# were lost in another one before, or have other parts; a busy target loses
# many, of which one has caused the crash at most.
MAX_REPORTS_PER_CRASH = 8
MAX_PARTS_PER_CRASH = 200
MAX_TRACKED_CRASHES = 64
MAX_UNREPORTED_REQUESTS = 1024
# Parts of the prompts of all these; a prompt may have over a thousand.
MAX_UNREPORTED_PARTS = 50_000


class PendingReport:
    """A report that control has not acknowledged.

    ``names`` are the suspects in it that no answer has cleared since,
    ``overdue`` tells whether the reply did not come in the usual time, and
    ``task`` ends once the report is acknowledged.
    """

    __slots__ = ("command", "names", "overdue", "task")

    def __init__(self, *, command: wire.ReportLostTarget, names: set[str]):
        self.command = command
        self.names = names
        self.overdue = False
        self.task: asyncio.Task | None = None


class _Sample:
    """How many requests were reported of a crash, and with which parts."""

    __slots__ = ("count", "parts")

    def __init__(self) -> None:
        self.count = 0
        self.parts: set[str] = set()

    def add(self, parts: typing.Sequence[str]) -> bool:
        """Returns whether a request is among the first, or adds a part."""
        is_new = not self.parts.issuperset(parts)
        if len(self.parts) < MAX_PARTS_PER_CRASH:
            self.parts.update(parts)
        elif self.count >= MAX_REPORTS_PER_CRASH:
            return False
        self.count += 1
        return is_new or self.count <= MAX_REPORTS_PER_CRASH


class Samples:
    """Chooses which of the requests lost in a crash are reported."""

    __slots__ = ("_crashes",)

    def __init__(self) -> None:
        # By target, the latest crash last.
        self._crashes: collections.OrderedDict[str, _Sample] = (
            collections.OrderedDict()
        )

    def add(self, target: str, parts: typing.Sequence[str]) -> bool:
        """Returns whether a request that a target has lost is reported."""
        sample = self._crashes.setdefault(target, _Sample())
        self._crashes.move_to_end(target)
        while len(self._crashes) > MAX_TRACKED_CRASHES:
            self._crashes.popitem(last=False)
        return sample.add(parts)


class UnreportedCrashes:
    """Crashes of which a request was not reported, by its digest.

    They are reported if it is lost in another one.  The oldest are forgotten.
    """

    __slots__ = ("_commands", "part_count")

    def __init__(self) -> None:
        self._commands: collections.OrderedDict[
            str, list[wire.ReportLostTarget]
        ] = collections.OrderedDict()
        # The parts of the prompts of all requests.
        self.part_count = 0

    def __len__(self) -> int:
        return len(self._commands)

    def add(self, request: str, commands: list[wire.ReportLostTarget]) -> None:
        """Keeps the crashes under a request."""
        self.pop(request)
        self._commands[request] = commands
        self.part_count += _count_parts(commands)
        while (
            len(self) > MAX_UNREPORTED_REQUESTS
            or self.part_count > MAX_UNREPORTED_PARTS
        ):
            self.pop(next(iter(self._commands)))

    def pop(self, request: str) -> list[wire.ReportLostTarget]:
        """Removes and returns the crashes under a request."""
        commands = self._commands.pop(request, [])
        self.part_count -= _count_parts(commands)
        return commands


def _count_parts(commands: list[wire.ReportLostTarget]) -> int:
    return sum(len(command.parts) for command in commands)
