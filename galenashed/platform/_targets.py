"""How targets on the platform are spoken to."""

from galenashed import engines
from galenashed import gateway
from galenashed.platform import _headers
from galenashed.protocol import spread as wire

MILLISECONDS = 1000.0
LEAST_PRIORITY = 9
MISDIRECTED = 421
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


class PlatformTargetCodec:
    """Writes requests to targets and reads the heads of their answers."""

    def encode(self, attempt: gateway.Attempt) -> bytes:
        """See :class:`galenashed.gateway.TargetCodec`."""
        req = attempt.request
        lines = [f"{req.method} {req.request_target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in req.headers]
        left = max(1, int(attempt.time_left * MILLISECONDS))
        lines.append(f"{_headers.TIME_LEFT}: {left}")
        lines.append(f"{_headers.EXPECTED_TARGET}: {attempt.target.name}")
        if attempt.team is not None:
            lines.append(f"{_headers.TEAM}: {attempt.team.name}")
        if attempt.resume_after is not None:
            lines.append(f"{_headers.LAST_EVENT}: {attempt.resume_after}")
        priority = min(LEAST_PRIORITY, max(0, attempt.priority))
        lines.append(f"{_headers.PRIORITY}: {priority}")
        if req.body or req.method in METHODS_WITH_BODY:
            lines.append(f"content-length: {len(req.body)}")
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("latin-1") + req.body

    def decode(self, head: engines.ResponseHead) -> gateway.TargetResponse:
        """See :class:`galenashed.gateway.TargetCodec`."""
        misdirected = head.status == MISDIRECTED
        return gateway.TargetResponse(
            request_id=head.get(_headers.REQUEST_ID),
            not_executed=misdirected or head.get(_headers.NOT_RUN) is not None,
            misdirected=misdirected,
            load=_load(head.get(_headers.TARGET_LOAD)),
        )


def _load(value: str | None) -> wire.Load | None:
    """Reads ``running,waiting,slots``; None if it can't be read."""
    parts = (value or "").split(",")
    if len(parts) < 2 or not (parts[0].isdigit() and parts[1].isdigit()):
        return None
    return wire.Load(running=int(parts[0]), waiting=int(parts[1]))
