"""Claims that make non-idempotent calls run at most once."""

import asyncio
import time

import loguru

from galenashed import control
from galenashed.entry import _call
from galenashed.protocol import control as wire
from galenashed import web

LOG = loguru.logger

MAX_STORED_ANSWER_BYTES = 16 * 1024
CLAIM_TIMEOUT_SECONDS = 3.0
FINISH_TIMEOUT_SECONDS = 5.0
OWNER_WAIT_SECONDS = 10.0
OWNER_POLL_SECONDS = 0.1
RETRY_AFTER_SECONDS = 1.0


class Claims:
    """Claims calls for a single run and records their outcomes.

    Parameters
    ----------
    control_client : ControlClient
        Commits claims and outcomes.
    holder : str
        The unique name of this incarnation.
    is_alive : callable
        Returns whether the incarnation with the given name may be alive,
        given the seconds that its outcome has been awaited.
    """

    def __init__(
        self, *, control_client: control.ControlClient, holder, is_alive
    ):
        self.control_client = control_client
        self.holder = holder
        self.is_alive = is_alive
        self._background_tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Waits until all outcomes are recorded."""
        await asyncio.gather(*self._background_tasks)

    def _owner(self, call: _call.Call) -> str:
        return f"{self.holder}/{call.attempt}"

    def _claim_command(self, call: _call.Call) -> wire.ClaimCall:
        return wire.ClaimCall(
            team=call.team.name,
            key=call.key,
            digest=call.digest,
            owner=self._owner(call),
        )

    async def claim(self, call: _call.Call) -> wire.CallState:
        """Returns the call's record; ``fresh`` means this claim succeeded."""
        command = self._claim_command(call)
        try:
            reply = await self.control_client.propose(
                command, timeout=CLAIM_TIMEOUT_SECONDS
            )
        except control.ControlUnavailableError:
            # This claim has sent nothing to a target and never will, but an
            # earlier attempt of the call may have run.
            self._spawn(self._release_claim(call))
            raise web.ApiError(
                status=503,
                code="claim_unavailable",
                message="the call can't be claimed now; retry it with the"
                " same idempotency key",
                execution_status=web.ExecutionStatus.UNKNOWN,
                retry_after=RETRY_AFTER_SECONDS,
            ) from None
        except asyncio.CancelledError:
            self._spawn(self._release_claim(call))
            raise
        if isinstance(reply, wire.CallState):
            return reply
        raise web.ApiError(
            status=422,
            code="idempotency_key_reused",
            message=_refusal_message(reply),
        )

    async def _release_claim(self, call: _call.Call) -> None:
        """Releases a claim whose reply was lost; the call has not run."""
        command = self._claim_command(call)
        while True:
            try:
                reply = await self.control_client.propose(
                    command, timeout=FINISH_TIMEOUT_SECONDS
                )
            except control.ControlUnavailableError:
                continue
            break
        if isinstance(reply, wire.CallState) and reply.fresh:
            await self._record(call, "not_run", None)

    async def wait_for_owner(
        self, call: _call.Call, state: wire.CallState
    ) -> wire.CallState:
        """Waits for the outcome while the claim's owner may be alive."""
        start = time.monotonic()
        while state.state == "claimed" and not state.fresh:
            holder = state.owner.rpartition("/")[0]
            waited = time.monotonic() - start
            if waited > OWNER_WAIT_SECONDS:
                break
            if not self.is_alive(holder, waited):
                break
            await asyncio.sleep(OWNER_POLL_SECONDS)
            state = await self.claim(call)
        return state

    async def finish(self, call, outcome: str, answer) -> None:
        """Records an outcome, if possible before the caller learns it.

        Waits for the commit up to ``FINISH_TIMEOUT_SECONDS``.
        """
        task = self.finish_later(call, outcome, answer)
        await asyncio.wait([task], timeout=FINISH_TIMEOUT_SECONDS)

    def finish_later(self, call, outcome: str, answer) -> asyncio.Task:
        """Records an outcome in a background task."""
        if answer is not None and len(answer.body) > MAX_STORED_ANSWER_BYTES:
            answer = wire.StoredResponse(
                status=answer.status, headers=[], body=b"", whole=False
            )
        return self._spawn(self._record(call, outcome, answer))

    async def _record(self, call, outcome: str, answer) -> None:
        command = wire.FinishCall(
            team=call.team.name,
            key=call.key,
            owner=self._owner(call),
            outcome=outcome,
            answer=answer,
        )
        while True:
            try:
                await self.control_client.propose(
                    command, timeout=FINISH_TIMEOUT_SECONDS
                )
            except control.ControlUnavailableError:
                LOG.warning(
                    "control is unavailable; retrying to record the outcome"
                    " of call {}",
                    call.id,
                )
                continue
            return

    def _spawn(self, coro) -> asyncio.Task:
        task = asyncio.create_task(coro)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task


def _refusal_message(reply: wire.Reply) -> str:
    if isinstance(reply, wire.Refused):
        return "; ".join(reply.findings)
    return f"unexpected reply of type {type(reply).__name__}"
