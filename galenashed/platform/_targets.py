"""HTTP requests to targets on the platform, and their responses."""

from galenashed import engines
from galenashed import gateway
from galenashed.platform import _headers
from galenashed.protocol import gossip as wire

MILLISECONDS_PER_SECOND = 1000.0
LOWEST_PRIORITY = 9  # lower values are more urgent
MISDIRECTED_STATUS = 421  # the address belongs to another target
# Position of the figure for slowness, and its value for the usual speed.
SLOWNESS_POSITION = 3
USUAL_SLOWNESS = 100.0
METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})


class PlatformTargetCodec:
    """Encodes requests to targets and decodes their response headers.

    Parameters
    ----------
    peer_key : str
        Key that all nodes share, for requests that are forwarded.
    """

    returns_ids = True

    def __init__(self, *, peer_key: str):
        self.peer_key = peer_key

    def encode(self, attempt: gateway.Attempt) -> bytes:
        """See :class:`galenashed.gateway.TargetCodec`."""
        req = attempt.request
        lines = _start(req, attempt.time_left)
        lines.append(f"{_headers.EXPECTED_TARGET}: {attempt.target.name}")
        if attempt.team is not None:
            lines.append(f"{_headers.TEAM}: {attempt.team.name}")
        if attempt.resume_after is not None:
            lines.append(f"{_headers.LAST_EVENT}: {attempt.resume_after}")
        priority = min(LOWEST_PRIORITY, max(0, attempt.priority))
        lines.append(f"{_headers.PRIORITY}: {priority}")
        return _finish(lines, req)

    def encode_forwarded(
        self, request: gateway.Request, time_left: float
    ) -> bytes:
        """See :class:`galenashed.gateway.TargetCodec`."""
        lines = _start(request, time_left)
        lines.append(f"{_headers.PEER_KEY}: {self.peer_key}")
        if request.key:
            lines.append(f"{_headers.API_KEY}: {request.key}")
        if request.resume_after is not None:
            lines.append(f"{_headers.LAST_EVENT}: {request.resume_after}")
        return _finish(lines, request)

    def decode(self, head: engines.ResponseHead) -> gateway.TargetResponse:
        """See :class:`galenashed.gateway.TargetCodec`."""
        misdirected = head.status == MISDIRECTED_STATUS
        return gateway.TargetResponse(
            request_id=head.get(_headers.REQUEST_ID),
            not_executed=misdirected
            or head.get(_headers.NOT_EXECUTED) is not None,
            misdirected=misdirected,
            load=_parse_load(head.get(_headers.TARGET_LOAD)),
            limit=engines.parse_decimal(head.get(_headers.TARGET_LIMIT)),
            retry_after=engines.parse_decimal(head.get(_headers.RETRY_AFTER)),
            max_rejections=engines.parse_decimal(
                head.get(_headers.MAX_REJECTIONS)
            ),
            leaving=head.get(_headers.TARGET_LEAVING) == "1",
        )


def _start(req: gateway.Request, time_left: float) -> list[str]:
    """Returns the lines that any request begins with."""
    remaining_ms = max(1, int(time_left * MILLISECONDS_PER_SECOND))
    return [
        f"{req.method} {req.request_target} HTTP/1.1",
        *(f"{name}: {value}" for name, value in req.headers),
        f"{_headers.TIME_LEFT}: {remaining_ms}",
    ]


def _finish(lines: list[str], req: gateway.Request) -> bytes:
    if req.body or req.method in METHODS_WITH_BODY:
        lines.append(f"content-length: {len(req.body)}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + req.body


def _parse_load(value: str | None) -> wire.Load | None:
    """Parses ``running,waiting,slots[,slowness]``; None if it is invalid.

    The slots are known from announcements.
    """
    parts = (value or "").split(",")
    if len(parts) < 2 or not all(map(_headers.is_number, parts[:2])):
        return None
    slowness = 1.0
    if len(parts) > SLOWNESS_POSITION:
        figure = parts[SLOWNESS_POSITION].strip()
        if _headers.is_number(figure) and int(figure):
            slowness = int(figure) / USUAL_SLOWNESS
    return wire.Load(
        running=int(parts[0]), waiting=int(parts[1]), slowness=slowness
    )
