"""The platform's calls to evacuate a failure domain and to end that."""

from galenashed import control
from galenashed import node
from galenashed.platform import _responses

BEGIN_PREFIX = "/Evacuation.Begin/"
END_PREFIX = "/Evacuation.End/"
PREFIXES = (BEGIN_PREFIX, END_PREFIX)
# Characters that are shown of a value that is refused, and domains that are
# shown as allowed.
MAX_SHOWN_LENGTH = 80
MAX_SHOWN_DOMAINS = 50
ACTOR = "operator"


async def handle(
    instance: node.Node, method: str, path: str, *, has_body: bool
) -> _responses.Response:
    """Serves a call; returns once the order is durable."""
    if method != "POST":
        return _responses.Response(
            status=405,
            body=_responses.encode_error(f"method {method!r}; allowed: POST"),
            allow="POST",
        )
    if has_body:
        return _make_bad_request("a request body; allowed: none")
    active = path.startswith(BEGIN_PREFIX)
    domain = path.removeprefix(BEGIN_PREFIX if active else END_PREFIX)
    try:
        await instance.evacuations.order(domain, ACTOR, active=active)
    except node.UnknownDomainError as exc:
        allowed = ", ".join(exc.known[:MAX_SHOWN_DOMAINS])
        return _make_bad_request(
            f"failure domain {domain[:MAX_SHOWN_LENGTH]!r}; allowed: {allowed}"
        )
    except control.ControlUnavailableError as exc:
        return _responses.make_unavailable(str(exc))
    return _responses.Response(status=200)


def _make_bad_request(reason: str) -> _responses.Response:
    return _responses.Response(
        status=400, body=_responses.encode_error(reason)
    )
