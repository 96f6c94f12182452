"""One call of a plain service, and the answers to it."""

import hashlib
import uuid

import blacksheep

from galenashed.protocol import control as wire
from galenashed import web

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


def is_passed_back(name: str) -> bool:
    """Whether a header of a service's answer reaches the caller.

    What an entry says of a call itself is not a service's to say.
    """
    lower = name.lower()
    if lower in HOP_BY_HOP or lower == "x-request-id":
        return False
    return not lower.startswith("galenashed-")


class Call:
    """One call of a plain service.

    ``key`` is empty for an idempotent call without a key.
    """

    __slots__ = (
        "attempt",
        "body",
        "budget",
        "headers",
        "idempotent",
        "key",
        "method",
        "path",
        "service",
        "team",
    )

    def __init__(
        self, *, service, team, budget_name, method, path, headers, body, key
    ):
        self.service: wire.Service = service
        self.team: wire.Team = team
        self.budget: str = budget_name
        self.method: str = method
        self.path: str = path
        self.headers: list[tuple[str, str]] = headers
        self.body: bytes = body
        self.key: str = key
        self.idempotent = method in service.idempotent_methods
        self.attempt = uuid.uuid4().hex

    @property
    def id(self) -> str:
        """Names the call within its team."""
        if not self.key:
            return self.attempt
        return hashlib.sha256(
            f"{self.key}\0{self.digest}".encode()
        ).hexdigest()[:32]

    @property
    def digest(self) -> str:
        """Returns the digest of what is asked for."""
        head = f"{self.service.name} {self.method} {self.path}\0"
        return hashlib.sha256(head.encode() + self.body).hexdigest()


def replay(state: wire.CallState) -> wire.Answer:
    """Returns the kept answer of a call that was run before."""
    if state.state == "run" and state.answer and state.answer.whole:
        kept = state.answer
        headers = [*kept.headers, ("Galenashed-Replayed", "true")]
        return wire.Answer(
            status=kept.status, headers=headers, body=kept.body, whole=True
        )
    if state.state == "run":
        raise web.ApiError(
            status=409,
            code="answer_not_kept",
            message="the call was run before; its answer is not kept",
            run=web.ExecutionStatus.RUN,
        )
    raise outcome_unknown("an earlier sending of this call has no outcome")


def outcome_unknown(reason: str) -> web.ApiError:
    """Returns the final answer to a call whose outcome is not known."""
    return web.ApiError(
        status=409,
        code="outcome_unknown",
        message=f"{reason}; the call may have been run and is not repeated",
        run=web.ExecutionStatus.UNKNOWN,
    )


def respond(call: Call, answer: wire.Answer) -> blacksheep.Response:
    """Returns the response that passes an answer on."""
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
        if name.lower() != "content-type"
    ]
    headers.append((b"X-Request-Id", call.id.encode()))
    headers.append((b"Galenashed-Run", b"run"))
    kind = b"application/octet-stream"
    for name, value in answer.headers:
        if name.lower() == "content-type":
            kind = value.encode("latin-1")
    content = blacksheep.Content(kind, answer.body)
    return blacksheep.Response(answer.status, headers, content)
