"""Requests, and the protocols that users of the gateway implement."""

import typing

from galenashed import engines
from galenashed.protocol import routes as routes_wire
from galenashed.protocol import spread as spread_wire


class Part(typing.NamedTuple):
    """A part of a prompt that other requests may share, and its length."""

    id: str
    tokens: int


class Usage(typing.NamedTuple):
    """The tokens of the prompt, and the most that the output may have."""

    prompt: int
    max_output: int


class Request:
    """A request as the caller sent it.

    ``headers`` are those to forward, in order.  ``arrived`` is the monotonic
    time of arrival, ``wait_limit`` the seconds that the caller waits from
    then on.  ``resume_after`` is the id of the last event of the stream that
    the caller has received.
    """

    __slots__ = (
        "arrived",
        "body",
        "headers",
        "host",
        "id",
        "key",
        "method",
        "path",
        "prompt",
        "resume_after",
        "target",
        "usage",
        "wait_limit",
    )

    def __init__(
        self,
        *,
        id: str,
        method: str,
        host: str,
        path: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        arrived: float,
        key: str = "",
        wait_limit: float | None = None,
        usage: Usage | None = None,
        prompt: tuple[Part, ...] = (),
        resume_after: str | None = None,
    ):
        self.id = id
        self.method = method
        self.host = host
        self.path = path
        self.target = target
        self.headers = headers
        self.body = body
        self.arrived = arrived
        self.key = key
        self.wait_limit = wait_limit
        self.usage = usage
        self.prompt = prompt
        self.resume_after = resume_after


class Attempt(typing.NamedTuple):
    """One attempt to send a request to a target.

    ``time_left`` is in seconds; a lower ``priority`` is more urgent.
    """

    request: Request
    target: spread_wire.Target
    team: routes_wire.KeyedTeam | None
    priority: int
    time_left: float
    resume_after: str | None


class TargetAnswer(typing.NamedTuple):
    """Information from the response headers of a target.

    ``echoed`` is the request id that the target returned, ``not_run`` whether
    it states that it has not executed the request, ``elsewhere`` whether the
    address belongs to another target by now.
    """

    echoed: str | None
    not_run: bool
    elsewhere: bool
    load: spread_wire.Load | None


class Dialect(typing.Protocol):
    """The message format of targets."""

    def encode(self, sending: Attempt) -> bytes:
        """Returns the bytes of a complete request."""

    def decode(self, head: engines.AnswerHead) -> TargetAnswer:
        """Decodes the headers of a response."""


class Sink(typing.Protocol):
    """Receives the response for a caller."""

    async def start(self, head: engines.AnswerHead, *, framed: bool) -> None:
        """Sends the headers, with the length if the body is ``framed``."""

    async def write(self, data: bytes) -> None:
        """Sends a part of the body; waits while the caller reads slowly."""

    async def finish(self) -> None:
        """Ends a complete response."""

    def abort(self) -> None:
        """Aborts the response, so that the caller sees it as incomplete."""
