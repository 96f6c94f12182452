"""Requests, and the protocols that users of the gateway implement."""

import typing

import xxhash

from galenashed import engines
from galenashed.protocol import gossip as gossip_wire
from galenashed.protocol import routes as routes_wire


class PromptPart(typing.NamedTuple):
    """A part of a prompt and its length in tokens.

    Other requests may share any part of a prompt but the last.
    """

    id: str
    tokens: int


class TokenUsage(typing.NamedTuple):
    """The tokens of the prompt, and the most that the output may have."""

    prompt: int
    max_output: int


class Request:
    """A request as the caller sent it.

    ``headers`` are those to forward, in order.  ``arrived_at`` is the
    monotonic time of arrival, ``caller_timeout`` the seconds that the caller
    waits from then on.  ``resume_after`` is the id of the last event of the
    stream that the caller has received, ``resumed_request`` the id of its
    request that got the first event, empty if it names none.  ``team`` is the
    name of the caller's team, empty if there is none, ``key`` the API key.
    ``forwarded`` tells whether another entry passed the request on.
    """

    __slots__ = (
        "_digest",
        "arrived_at",
        "body",
        "caller_timeout",
        "forwarded",
        "headers",
        "host",
        "id",
        "key",
        "method",
        "path",
        "prompt",
        "request_target",
        "resume_after",
        "resumed_request",
        "team",
        "usage",
    )

    def __init__(
        self,
        *,
        id: str,
        method: str,
        host: str,
        path: str,
        request_target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        arrived_at: float,
        team: str = "",
        caller_timeout: float | None = None,
        usage: TokenUsage | None = None,
        prompt: tuple[PromptPart, ...] = (),
        resume_after: str | None = None,
        resumed_request: str = "",
        key: str = "",
        forwarded: bool = False,
    ):
        self.id = id
        self.method = method
        self.host = host
        self.path = path
        self.request_target = request_target
        self.headers = headers
        self.body = body
        self.arrived_at = arrived_at
        self.team = team
        self.caller_timeout = caller_timeout
        self.usage = usage
        self.prompt = prompt
        self.resume_after = resume_after
        self.resumed_request = resumed_request
        self.key = key
        self.forwarded = forwarded
        self._digest: str | None = None

    @property
    def max_tokens(self) -> int:
        """The most tokens that the prompt and the output take."""
        return sum(self.usage) if self.usage is not None else 0

    @property
    def digest(self) -> str:
        """Identifies the content and the team, which repeats share.

        A team's callers may use any of its keys.
        """
        if self._digest is None:
            state = xxhash.xxh3_128()
            prompt = ",".join(part.id for part in self.prompt)
            for field in (
                self.team,
                self.method,
                self.host,
                self.request_target,
                prompt,
            ):
                state.update(f"{field}\0".encode())
            state.update(self.body)
            self._digest = state.hexdigest()
        return self._digest

    def deadline(self, time_limit: float) -> float:
        """Returns the earlier of a time limit and the caller's, as a time.

        It is on the monotonic clock.
        """
        if self.caller_timeout is not None:
            time_limit = min(time_limit, self.caller_timeout)
        return self.arrived_at + time_limit

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts of the prompt that other requests may have too."""
        return self.prompt[:-1]

    @property
    def part_ids(self) -> list[str]:
        """The ids of the shared parts."""
        return [part.id for part in self.shared_parts]


class Attempt(typing.NamedTuple):
    """One attempt to send a request to a target.

    ``time_left`` is in seconds; a lower ``priority`` is more urgent.
    """

    request: Request
    target: gossip_wire.Target
    team: routes_wire.RoutedTeam | None
    priority: int
    time_left: float
    resume_after: str | None


class TargetResponse(typing.NamedTuple):
    """Information from the response headers of a target.

    ``request_id`` is the request id that the target returned,
    ``not_executed`` whether it states that it has not executed the request,
    ``misdirected`` whether the address belongs to another target by now.
    ``limit`` is the number of requests a second that the target takes from
    all entries together, None if it names none.  ``retry_after`` are the
    seconds for which a target that rejects a request wants none of this
    entry.  ``max_rejections`` are those a second, of all entries together,
    over which it fails, None if it names none.  ``leaving`` tells whether it
    is about to stop.
    """

    request_id: str | None
    not_executed: bool
    misdirected: bool
    load: gossip_wire.Load | None
    limit: float | None = None
    retry_after: float | None = None
    max_rejections: float | None = None
    leaving: bool = False


class TargetCodec(typing.Protocol):
    """The message format of targets, and of requests that are forwarded.

    ``returns_ids`` tells whether targets return the id of a request in each
    response to it.
    """

    returns_ids: bool

    def encode(self, attempt: Attempt) -> bytes:
        """Returns the bytes of a complete request."""

    def encode_forwarded(self, request: Request, time_left: float) -> bytes:
        """Returns the bytes of a caller's request for another entry.

        ``time_left`` is in seconds.
        """

    def decode(self, head: engines.ResponseHead) -> TargetResponse:
        """Decodes the headers of a response."""


class ResponseWriter(typing.Protocol):
    """Receives the response for a caller."""

    async def start(
        self, head: engines.ResponseHead, *, with_content_length: bool
    ) -> None:
        """Sends the headers, with the length if ``with_content_length``."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the caller reads slowly."""

    async def finish(self) -> None:
        """Ends a complete response."""

    def abort(self) -> None:
        """Aborts the response, so that the caller sees it as incomplete."""
