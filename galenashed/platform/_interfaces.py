"""The platform's own calls: readiness, discovery, operators, targets."""

import msgspec

from galenashed import control
from galenashed import node
from galenashed.platform import _announcements
from galenashed.platform import _operators
from galenashed.protocol import control as control_wire

MAX_BODY_BYTES = 8 * 1024 * 1024
HEARTBEAT = "/Instances.Heartbeat/"
DEREGISTER = "/Instances.Deregister/"
RETRY_SECONDS = 0.5


class Reply:
    """A response with a JSON body, already encoded."""

    __slots__ = ("body", "retry_after", "status")

    def __init__(
        self, *, status: int, body: bytes = b"{}", retry_after: float = 0.0
    ):
        self.status = status
        self.body = body
        self.retry_after = retry_after


class Interfaces:
    """The ASGI application of all calls that are not callers' requests.

    Parameters
    ----------
    served : Node
        Decides and answers.
    discovery_max_age : float
        Seconds for which callers may keep where to connect.
    metrics : callable
        Returns the page of metrics.
    """

    def __init__(
        self, *, served: node.Node, discovery_max_age: float, metrics
    ):
        self.served = served
        self.discovery_max_age = discovery_max_age
        self.metrics = metrics

    async def __call__(self, scope, receive, send) -> None:
        """Serves one call."""
        body = await _read_body(receive)
        if body is None:
            reply = Reply(status=413, body=_error("the body is too large"))
        else:
            reply = await self._reply(scope, body)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(reply.body)).encode()),
        ]
        if reply.retry_after:
            headers.append((b"retry-after", b"%.2f" % reply.retry_after))
        await send(
            {
                "type": "http.response.start",
                "status": reply.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": reply.body})

    async def _reply(self, scope, body: bytes) -> Reply:
        method, path = scope["method"], scope["path"]
        if method == "GET" and path == "/readyz":
            return Reply(status=200 if self.served.ready else 503)
        if method == "GET" and path == "/resolve":
            return self._resolve(scope["query_string"].decode("latin-1"))
        if method == "GET" and path == "/metrics":
            return Reply(status=200, body=self.metrics())
        if method == "GET" and path == "/Configuration.Read":
            return await self._read_configuration()
        if method == "POST" and path == "/Configuration.Replace":
            return await self._replace_configuration(body)
        if method == "POST" and path.startswith(HEARTBEAT):
            return self._heartbeat(path.removeprefix(HEARTBEAT), body)
        if method == "POST" and path.startswith(DEREGISTER):
            return self._deregister(path.removeprefix(DEREGISTER), body)
        return Reply(status=404, body=_error(f"no such call: {path}"))

    def _resolve(self, query: str) -> Reply:
        fields = dict(
            item.partition("=")[::2] for item in query.split("&") if item
        )
        addresses = self.served.select_entries(
            fields.get("zone", ""), fields.get("region", "")
        )
        if not addresses:
            return _unavailable("no entry is ready")
        answer = {"addresses": addresses, "ttlS": self.discovery_max_age}
        return Reply(status=200, body=msgspec.json.encode(answer))

    async def _replace_configuration(self, body: bytes) -> Reply:
        try:
            table = _operators.read_table(body)
        except _operators.ConfigurationError as exc:
            self.served.log.write("routes refused", findings=exc.findings[:5])
            return Reply(status=400, body=_error(*exc.findings))
        try:
            reply = await self.served.replace_routes(table, body)
        except control.ControlUnavailableError as exc:
            return _unavailable(str(exc))
        if isinstance(reply, control_wire.Refused):
            return Reply(status=400, body=_error(*reply.findings))
        return Reply(status=200)

    async def _read_configuration(self) -> Reply:
        try:
            found = await self.served.read_routes()
        except control.ControlUnavailableError as exc:
            return _unavailable(str(exc))
        if not found.routes_version:
            return _unavailable("no configuration has been sent yet")
        return Reply(status=200, body=found.routes_source)

    def _heartbeat(self, target_id: str, body: bytes) -> Reply:
        try:
            target = _announcements.read_heartbeat(target_id, body)
        except _announcements.AnnouncementError as exc:
            return self._bad_announcement(target_id, str(exc))
        self.served.announce(target)
        return Reply(status=200)

    def _deregister(self, target_id: str, body: bytes) -> Reply:
        try:
            started = _announcements.read_leaving(body)
        except _announcements.AnnouncementError as exc:
            return self._bad_announcement(target_id, str(exc))
        self.served.leave(target_id, started)
        return Reply(status=200)

    def _bad_announcement(self, target_id: str, reason: str) -> Reply:
        self.served.log.write(
            "announcement refused", target=target_id, reason=reason
        )
        return Reply(status=400, body=_error(reason))


async def _read_body(receive) -> bytes | None:
    """Returns the body; None if it is too large."""
    parts = bytearray()
    while True:
        message = await receive()
        parts += message.get("body", b"")
        if len(parts) > MAX_BODY_BYTES:
            return None
        if not message.get("more_body", False):
            return bytes(parts)


def _error(*findings: str) -> bytes:
    return msgspec.json.encode({"error": "; ".join(findings)})


def _unavailable(reason: str) -> Reply:
    return Reply(status=503, body=_error(reason), retry_after=RETRY_SECONDS)
