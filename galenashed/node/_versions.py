"""Records the versions of targets' software at the control replicas.

A stream begins only at a recorded version; see
:mod:`galenashed.control._versions`.
"""

import asyncio
import contextlib
import time
import typing

import grpc
import loguru

from galenashed.protocol import methods
from galenashed.protocol import rpc
from galenashed.protocol import streams as wire
from galenashed import telemetry

LOG = loguru.logger

# The replicas assume that a version which is in use is recorded this often.
REFRESH_SECONDS = 60.0
CHECK_SECONDS = 0.25
RECORD_TIMEOUT_SECONDS = 1.0
# Several round trips between failure domains, for a caller that waits.
QUERY_TIMEOUT_SECONDS = 0.4

Version = tuple[str, str]


class VersionRecorder:
    """Records at most voting replicas which versions targets have.

    Parameters
    ----------
    key : str
        Key that all nodes share.
    voters : callable
        Returns the addresses of the voting replicas, none while unknown.
    current : callable
        Returns service and version of all targets in use.
    log : DecisionLog
        Receives a line for each version that is recorded.
    """

    def __init__(
        self,
        *,
        key: str,
        voters: typing.Callable[[], typing.Collection[str]],
        current: typing.Callable[[], set[Version]],
        log: telemetry.DecisionLog | telemetry.NullDecisionLog,
    ):
        self.voters = voters
        self.current = current
        self.log = log
        # Monotonic time at which a version was recorded last.
        self._recorded: dict[Version, float] = {}
        self._recorded_at: frozenset[str] = frozenset()
        self._wake = asyncio.Event()
        self._channels = rpc.ChannelPool(key=key)
        self._task: asyncio.Task | None = None

    async def start(self) -> None:
        """Starts the task that records versions."""
        self._task = telemetry.start_task(self._run(), "versions")

    async def close(self) -> None:
        """Stops the task and closes all connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        await self._channels.close()

    def is_recorded(self, service: str, version: str) -> bool:
        """Whether a stream may begin at a version."""
        return (service, version) in self._recorded

    def notify(self) -> None:
        """Records new versions at once."""
        self._wake.set()

    async def find(self, service: str, max_age: float) -> set[str] | None:
        """Returns the versions at which streams may have begun.

        These are the streams of the last ``max_age`` seconds.  None if too
        few replicas know.
        """
        replies = await self._ask_most(
            self.voters(),
            methods.FIND_VERSIONS,
            wire.VersionQuery(service=service, max_age=max_age),
            timeout=QUERY_TIMEOUT_SECONDS,
            without_records=wire.VersionReply(versions=[], complete=True),
            counts=lambda reply: reply.complete,
        )
        if replies is None:
            return None
        return {version for reply in replies for version in reply.versions}

    async def _run(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_SECONDS):
                    await self._wake.wait()
            self._wake.clear()
            await self._record_due()
            self._channels.close_idle(time.monotonic())

    async def _record_due(self) -> None:
        """Records what most replicas don't have, or had long ago."""
        now = time.monotonic()
        voters = frozenset(self.voters())
        due = {
            version
            for version in self.current()
            if voters != self._recorded_at
            or now - self._recorded.get(version, float("-inf"))
            >= REFRESH_SECONDS
        }
        if not due or not voters:
            return
        items = [
            wire.SoftwareVersion(service=service, version=version)
            for service, version in sorted(due)
        ]
        replies = await self._ask_most(
            voters,
            methods.RECORD_VERSIONS,
            items,
            timeout=RECORD_TIMEOUT_SECONDS,
            without_records=True,
        )
        if replies is None:
            return
        new = due - self._recorded.keys()
        self._recorded.update(dict.fromkeys(due, now))
        self._recorded_at = voters
        for service, version in sorted(new):
            self.log.write(
                "version recorded",
                service=service,
                version=version,
                replicas=len(replies),
                after=round(time.monotonic() - now, 4),
            )

    async def _ask_most(
        self,
        voters: typing.Collection[str],
        method: rpc.Method,
        message: typing.Any,
        *,
        timeout: float,
        without_records: typing.Any,
        counts: typing.Callable[[typing.Any], bool] = bool,
    ) -> list[typing.Any] | None:
        """Returns the replies so far once most replicas have one that counts.

        None if too few have.  ``without_records`` is the reply of a replica
        that keeps no records.
        """
        queries = [
            asyncio.create_task(
                self._ask(address, method, message, timeout, without_records),
                name="versions",
            )
            for address in voters
        ]
        replies = []
        try:
            for query in asyncio.as_completed(queries):
                reply = await query
                if reply is not None:
                    replies.append(reply)
                if sum(map(counts, replies)) > len(voters) // 2:
                    return replies
        finally:
            for task in queries:
                task.cancel()
        return None

    async def _ask(
        self,
        address: str,
        method: rpc.Method,
        message: typing.Any,
        timeout: float,
        without_records: typing.Any,
    ) -> typing.Any:
        """Returns the reply of a replica, None if it failed.

        A replica of the last landing doesn't know the methods.  It counts as
        one that keeps no records, as entries of that landing assume.
        """
        try:
            return await self._channels.get(address).call(
                method, message, timeout=timeout
            )
        except rpc.RpcError as exc:
            if exc.code() is grpc.StatusCode.UNIMPLEMENTED:
                return without_records
            LOG.debug("versions at {}: {}", address, exc.code())
            return None
