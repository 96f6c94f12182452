"""A call of a plain service and the responses to it."""

import hashlib
import uuid

import blacksheep

from galenashed.protocol import control as wire
from galenashed import web

# Set on a request that another entry has forwarded.
FORWARDED_BY = "galenashed-forwarded-by"
HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-length",
        FORWARDED_BY,
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


def is_forwarded_header(name: str) -> bool:
    """Returns whether a response header of a service reaches the caller.

    Hop-by-hop headers and those that the entry itself sets are dropped.
    """
    lower = name.lower()
    if lower in HOP_BY_HOP or lower == "x-request-id":
        return False
    return not lower.startswith("galenashed-")


class Call:
    """One call of a plain service.

    ``key`` is the idempotency key; it is empty for an idempotent call
    without a key.  ``attempt`` identifies this execution of the call, over
    all its tries at targets.
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
    def part_ids(self) -> tuple[str, ...]:
        """A call shares no parts with others; it may be a suspect itself."""
        return ()

    @property
    def id(self) -> str:
        """The identifier of the call, unique within its team."""
        if not self.key:
            return self.attempt
        return hashlib.sha256(
            f"{self.key}\0{self.digest}".encode()
        ).hexdigest()[:32]

    @property
    def digest(self) -> str:
        """The digest of service, method, path and body."""
        head = f"{self.service.name} {self.method} {self.path}\0"
        return hashlib.sha256(head.encode() + self.body).hexdigest()


def replay_response(state: wire.CallState) -> wire.StoredResponse:
    """Returns the stored response of a call that has already run.

    Raises ApiError if there is none.
    """
    if state.state == "run" and state.answer and state.answer.whole:
        stored = state.answer
        headers = [*stored.headers, ("Galenashed-Replayed", "true")]
        return wire.StoredResponse(
            status=stored.status, headers=headers, body=stored.body, whole=True
        )
    if state.state == "run":
        raise web.ApiError(
            status=409,
            code="answer_not_kept",
            message="the call has already run; its response was not stored",
            execution_status=web.ExecutionStatus.RUN,
        )
    raise outcome_unknown_error(
        "an earlier attempt of this call has no recorded outcome"
    )


def outcome_unknown_error(reason: str) -> web.ApiError:
    """Returns the final error of a call whose outcome is unknown."""
    return web.ApiError(
        status=409,
        code="outcome_unknown",
        message=f"{reason}; the call may have run and is not retried",
        execution_status=web.ExecutionStatus.UNKNOWN,
    )


def make_response(
    call: Call, answer: wire.StoredResponse
) -> blacksheep.Response:
    """Returns the HTTP response that forwards a service's answer."""
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
