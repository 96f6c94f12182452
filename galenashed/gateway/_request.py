"""A caller's request, and what the gateway needs of those around it."""

import typing

from galenashed import engines
from galenashed.protocol import routes as routes_wire
from galenashed.protocol import spread as spread_wire


class Part(typing.NamedTuple):
    """A part of a prompt that other requests may share, and its tokens."""

    id: str
    tokens: int


class Usage(typing.NamedTuple):
    """The prompt's tokens, and the most that the answer may have."""

    prompt: int
    max_output: int


class Request:
    """A request as the caller sent it.

    ``headers`` are those that are passed on, in their order; ``arrived`` is
    in seconds of the monotonic clock, ``wait_limit`` how many seconds the
    caller waits from then on.  ``resume_after`` is the number of the last
    event that the caller has of the stream.
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
    """One sending of a request to one target.

    ``time_left`` is in seconds, ``priority`` is lower for what is more
    urgent.
    """

    request: Request
    target: spread_wire.Target
    team: routes_wire.KeyedTeam | None
    priority: int
    time_left: float
    resume_after: str | None


class TargetAnswer(typing.NamedTuple):
    """What the head of a target's answer says.

    ``echoed`` is the request's id as the target repeats it, ``not_run``
    whether it says that it has not run the request, ``elsewhere`` whether
    the address belongs to another target by now.
    """

    echoed: str | None
    not_run: bool
    elsewhere: bool
    load: spread_wire.Load | None


class Dialect(typing.Protocol):
    """How requests to targets and their answers are written."""

    def encode(self, sending: Attempt) -> bytes:
        """Returns a whole request."""

    def decode(self, head: engines.AnswerHead) -> TargetAnswer:
        """Reads the head of an answer."""


class Sink(typing.Protocol):
    """Takes the answer for a caller."""

    async def start(self, head: engines.AnswerHead, *, framed: bool) -> None:
        """Passes a head on, with its length if the body is ``framed``."""

    async def write(self, data: bytes) -> None:
        """Passes a part of the body on; waits while the caller is slow."""

    async def finish(self) -> None:
        """Ends the answer as a whole one."""

    def abort(self) -> None:
        """Breaks the answer off, so that it does not look whole."""
