"""HTTP API for operators, targets, discovery and readiness probes."""

import msgspec

from galenashed import control
from galenashed import node
from galenashed.platform import _announcements
from galenashed.platform import _configuration
from galenashed.platform import _evacuations
from galenashed.platform import _responses
from galenashed.protocol import control as control_wire
from galenashed import web

# Limits of a request body, for configurations and for all other requests.
MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
MAX_ANNOUNCEMENT_BYTES = 64 * 1024
REPLACE_PATH = "/Configuration.Replace"
HEARTBEAT_PREFIX = "/Instances.Heartbeat/"
DEREGISTER_PREFIX = "/Instances.Deregister/"


class CallerDisconnectedError(Exception):
    """The caller disconnected before its request was complete."""


class ManagementApi:
    """ASGI application for all requests but those of callers.

    Parameters
    ----------
    node : Node
        Executes the requests.
    discovery_max_age : float
        Seconds for which callers may cache the addresses of entries.
    metrics : callable
        Returns the encoded metrics.
    """

    def __init__(self, *, node: node.Node, discovery_max_age: float, metrics):
        self.node = node
        self.discovery_max_age = discovery_max_age
        self.metrics = metrics

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        limit = MAX_ANNOUNCEMENT_BYTES
        if scope["path"] == REPLACE_PATH:
            limit = MAX_CONFIGURATION_BYTES
        try:
            body = await _read_body(receive, limit)
        except CallerDisconnectedError:
            return
        path = scope["path"]
        if path.startswith(_evacuations.PREFIXES):
            response = await _evacuations.handle(
                self.node, scope["method"], path, has_body=body != b""
            )
        elif body is None:
            response = _responses.Response(
                status=413,
                body=_responses.encode_error("the request body is too large"),
            )
        else:
            response = await self._handle(scope, body)
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(response.body)).encode()),
        ]
        if response.retry_after:
            headers.append((b"retry-after", b"%.2f" % response.retry_after))
        if response.allow:
            headers.append((b"allow", response.allow.encode()))
        if body is None or response.status in web.UNREAD_BODY_STATUSES:
            headers.append((b"connection", b"close"))
        await send(
            {
                "type": "http.response.start",
                "status": response.status,
                "headers": headers,
            }
        )
        await send({"type": "http.response.body", "body": response.body})

    async def _handle(self, scope, body: bytes) -> _responses.Response:
        method, path = scope["method"], scope["path"]
        if method == "GET" and path == "/readyz":
            return _responses.Response(status=200 if self.node.ready else 503)
        if method == "GET" and path == "/resolve":
            return self._resolve(scope["query_string"].decode("latin-1"))
        if method == "GET" and path == "/metrics":
            return _responses.Response(status=200, body=self.metrics())
        if method == "GET" and path == "/Configuration.Read":
            return await self._read_configuration()
        if method == "POST" and path == REPLACE_PATH:
            return await self._replace_configuration(body)
        if method == "POST" and path.startswith(HEARTBEAT_PREFIX):
            return self._heartbeat(path.removeprefix(HEARTBEAT_PREFIX), body)
        if method == "POST" and path.startswith(DEREGISTER_PREFIX):
            return self._deregister(path.removeprefix(DEREGISTER_PREFIX), body)
        return _responses.Response(
            status=404,
            body=_responses.encode_error(f"no such method or path: {path}"),
        )

    def _resolve(self, query: str) -> _responses.Response:
        parameters = dict(
            item.partition("=")[::2] for item in query.split("&") if item
        )
        addresses = self.node.select_entries(
            parameters.get("zone", ""), parameters.get("region", "")
        )
        if not addresses:
            return _responses.make_unavailable("no entry is ready")
        result = {"addresses": addresses, "ttlS": self.discovery_max_age}
        return _responses.Response(
            status=200, body=msgspec.json.encode(result)
        )

    async def _replace_configuration(self, body: bytes) -> _responses.Response:
        try:
            table = _configuration.decode_routing_table(body)
        except _configuration.ConfigurationError as exc:
            self.node.log.write("routes refused", findings=exc.findings[:5])
            return _responses.Response(
                status=400, body=_responses.encode_error(*exc.findings)
            )
        try:
            reply = await self.node.replace_routes(table, body)
        except control.ControlUnavailableError as exc:
            return _responses.make_unavailable(str(exc))
        if isinstance(reply, control_wire.Refused):
            return _responses.Response(
                status=400, body=_responses.encode_error(*reply.findings)
            )
        return _responses.Response(status=200)

    async def _read_configuration(self) -> _responses.Response:
        try:
            reply = await self.node.read_routes()
        except control.ControlUnavailableError as exc:
            return _responses.make_unavailable(str(exc))
        if not reply.routes_version:
            return _responses.make_unavailable(
                "no configuration has been received yet"
            )
        return _responses.Response(status=200, body=reply.routes_source)

    def _heartbeat(self, target_id: str, body: bytes) -> _responses.Response:
        try:
            target = _announcements.decode_heartbeat(target_id, body)
        except _announcements.AnnouncementError as exc:
            return self._refuse_announcement(target_id, str(exc))
        self.node.announce_target(target)
        return _responses.Response(status=200)

    def _deregister(self, target_id: str, body: bytes) -> _responses.Response:
        try:
            started = _announcements.decode_deregistration(body)
        except _announcements.AnnouncementError as exc:
            return self._refuse_announcement(target_id, str(exc))
        self.node.deregister_target(target_id, started)
        return _responses.Response(status=200)

    def _refuse_announcement(
        self, target_id: str, reason: str
    ) -> _responses.Response:
        self.node.log.write(
            "announcement refused", target=target_id, reason=reason
        )
        return _responses.Response(
            status=400, body=_responses.encode_error(reason)
        )


async def _read_body(receive, limit: int) -> bytes | None:
    """Returns the request body; None if it exceeds ``limit`` bytes.

    Raises CallerDisconnectedError.
    """
    parts = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        parts += message.get("body", b"")
        if len(parts) > limit:
            return None
        if not message.get("more_body", False):
            return bytes(parts)
