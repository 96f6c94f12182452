"""ASGI application that decodes callers' requests for the gateway."""

import asyncio
import hmac
import time

import loguru

from galenashed import engines
from galenashed import gateway
from galenashed.platform import _headers
from galenashed.protocol import control as control_wire
from galenashed.protocol import routes as routes_wire
from galenashed import web

LOG = loguru.logger

MILLISECONDS_PER_SECOND = 1000.0
MAX_ID_LENGTH = 200
# On top of the limit of the configuration, which is that of the headers.
MAX_REQUEST_LINE_BYTES = 16 * 1024
DEFAULT_LIMITS = routes_wire.CallerLimits()


class AsgiResponseWriter:
    """Sends the gateway's response through ASGI.

    Parameters
    ----------
    send : callable
        The ASGI ``send`` of the request.
    closes_connections : callable
        Returns whether this node is shutting down, or lacks descriptors.
        Responses then close the connection, so that callers connect to
        another node.
    """

    def __init__(self, *, send, closes_connections):
        self._send = send
        self._closes_connections = closes_connections
        self.started = False
        # Counts the bytes of an admitted request.
        self.flow: gateway.Flow | None = None

    def count(self, size: int) -> None:
        """Counts bytes read from the caller or written to it."""
        if self.flow is not None:
            self.flow.add(size, time.monotonic())

    def close(self) -> None:
        """Ends the count of bytes."""
        if self.flow is not None:
            self.flow.close(time.monotonic())
            self.flow = None

    async def start(
        self, head: engines.ResponseHead, *, with_content_length: bool
    ) -> None:
        """See :class:`galenashed.gateway.ResponseWriter`."""
        connection_values = [v for n, v in head.headers if n == "connection"]
        excluded = _headers.HOP_BY_HOP | _headers.parse_connection_options(
            connection_values
        )
        if not with_content_length:
            excluded = excluded | {"content-length"}
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in head.headers
            if name not in excluded
        ]
        if self._closes_connections():
            headers.append((b"connection", b"close"))
        self.started = True
        self.count(_head_size(headers))
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """See :class:`galenashed.gateway.ResponseWriter`."""
        self.count(len(data))
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """See :class:`galenashed.gateway.ResponseWriter`."""
        await self._send({"type": "http.response.body", "body": b""})

    def abort(self) -> None:
        """Sends no end of the response; the server closes the connection."""

    async def send_error(self, error: web.ApiError) -> None:
        """Sends an error response that does not come from a target."""
        body = error.to_json()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if error.retry_after is not None:
            headers.append((b"retry-after", b"%.2f" % error.retry_after))
        if (
            self._closes_connections()
            or error.status in web.UNREAD_BODY_STATUSES
        ):
            headers.append((b"connection", b"close"))
        self.started = True
        self.count(_head_size(headers) + len(body))
        await self._send(
            {
                "type": "http.response.start",
                "status": error.status,
                "headers": headers,
            }
        )
        await self._send({"type": "http.response.body", "body": body})


class CallerDisconnectedError(Exception):
    """The caller disconnected before its request was complete."""


class Ingress:
    """ASGI application for callers' requests.

    Parameters
    ----------
    gateway : Gateway
        Handles the decoded requests.
    shedder : LoadShedder
        Refuses requests that would overload this node.
    is_draining : callable
        Returns whether this node is shutting down.
    relay_address : str
        ``ip:port`` at which other nodes pass requests on.
    peer_key : str
        Key that these nodes send.
    """

    def __init__(
        self,
        *,
        gateway: gateway.Gateway,
        shedder: gateway.LoadShedder,
        is_draining,
        relay_address: str,
        peer_key: str,
    ):
        self.gateway = gateway
        self.shedder = shedder
        self.is_draining = is_draining
        self.relay_address = relay_address
        self.peer_key = peer_key

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        writer = AsgiResponseWriter(
            send=send, closes_connections=self._closes_connections
        )
        try:
            await self._serve_call(scope, receive, writer)
        finally:
            writer.close()

    def _closes_connections(self) -> bool:
        return self.is_draining() or self.shedder.lacks_descriptors

    async def _serve_call(
        self, scope, receive, writer: AsgiResponseWriter
    ) -> None:
        arrived_at = time.monotonic()
        try:
            headers = _decode_headers(scope)
            forwarded = self._is_forwarded(scope, headers)
            host = _get_header(headers, "host").partition(":")[0].lower()
            path = scope["raw_path"].decode("latin-1")
            key = _get_header(headers, _headers.API_KEY)
            route, team = self.gateway.admit(host, path, key)
            self._check_header_size(headers)
            writer.flow = self.shedder.admit(
                route.name, _announced_size(headers), arrived_at
            )
            writer.count(_head_size(headers))
            body = await self._read_body(receive, writer.count)
            request = _decode_request(
                scope, headers, host, path, team, body, arrived_at
            )
            request.key = key
            request.forwarded = forwarded
        except web.ApiError as exc:
            await writer.send_error(exc)
            return
        except CallerDisconnectedError:
            return
        task = asyncio.create_task(
            self._serve(request, route, team, writer), name="request"
        )
        await _run_until_disconnect(task, receive)

    def _is_forwarded(self, scope, headers) -> bool:
        """Returns whether another node passed a request on.

        Raises ApiError if a caller uses the address for such requests.
        """
        host, port = scope["server"]
        if f"{host}:{port}" != self.relay_address:
            return False
        key = _get_header(headers, _headers.PEER_KEY)
        if not hmac.compare_digest(key.encode(), self.peer_key.encode()):
            raise web.ApiError(
                status=403,
                code="peers_only",
                message="this address is for other nodes",
            )
        return True

    def _check_header_size(self, headers) -> None:
        limit = self._limits().max_header_bytes
        if _head_size(headers) > limit:
            raise web.ApiError(
                status=431,
                code="head_too_large",
                message=f"the request headers exceed {limit} bytes",
            )

    def head_bytes(self) -> int:
        """Returns the size of the largest head that may be served."""
        return self._limits().max_header_bytes + MAX_REQUEST_LINE_BYTES

    def _limits(self) -> routes_wire.CallerLimits:
        if self.gateway.route_index is None:
            return DEFAULT_LIMITS
        return self.gateway.route_index.table.limits

    async def _read_body(self, receive, count) -> bytes:
        limit = self._limits().max_body_bytes
        # Not a list of parts: many of them may have one byte.
        body = bytearray()
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerDisconnectedError
            data = message.get("body", b"")
            body += data
            count(len(data))
            if len(body) > limit:
                raise web.ApiError(
                    status=413,
                    code="body_too_large",
                    message=f"the request body exceeds {limit} bytes",
                )
            if not message.get("more_body", False):
                return bytes(body)

    async def _serve(
        self, request, route, team, writer: AsgiResponseWriter
    ) -> None:
        try:
            await self.gateway.handle(request, route, team, writer)
        except web.ApiError as exc:
            if not writer.started:
                await writer.send_error(exc)
        except Exception as exc:
            # An unexpected exception is reported as an internal error, so that
            # it can't be mistaken for a response of a target.
            LOG.opt(exception=exc).error("request {} failed", request.id)
            if not writer.started:
                await writer.send_error(_make_internal_error())


async def _run_until_disconnect(task: asyncio.Task, receive) -> None:
    """Waits for a request's task; cancels it if the caller disconnects."""
    disconnect = asyncio.create_task(
        _wait_for_disconnect(receive), name="caller"
    )
    try:
        await asyncio.wait(
            {task, disconnect}, return_when=asyncio.FIRST_COMPLETED
        )
        if not task.done():
            task.cancel()
        await asyncio.gather(task, return_exceptions=False)
    except asyncio.CancelledError:
        if not task.done():
            task.cancel()
            raise
    finally:
        disconnect.cancel()


async def _wait_for_disconnect(receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _decode_headers(scope) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]


def _head_size(headers) -> int:
    """Returns the bytes of the header lines."""
    return sum(len(name) + len(value) + 4 for name, value in headers)


def _announced_size(headers: list[tuple[str, str]]) -> int:
    """Returns the bytes of a request, as far as its headers tell."""
    length = _get_header(headers, "content-length")
    body = int(length) if _headers.is_number(length) else 0
    return _head_size(headers) + body


def _get_header(headers: list[tuple[str, str]], name: str) -> str:
    for header_name, value in headers:
        if header_name == name:
            return value
    return ""


def _decode_request(scope, headers, host, path, team, body, arrived_at):
    """Returns the request; raises ApiError if a header is invalid."""
    request_id = _get_header(headers, _headers.REQUEST_ID)
    if not 0 < len(request_id) <= MAX_ID_LENGTH:
        raise _make_bad_request_error(_headers.REQUEST_ID, request_id, "an id")
    connection_values = [
        value for name, value in headers if name == "connection"
    ]
    excluded = (
        _headers.HOP_BY_HOP
        | _headers.NOT_FORWARDED
        | _headers.parse_connection_options(connection_values)
        | {"content-length"}
    )
    query = scope["query_string"].decode("latin-1")
    return gateway.Request(
        id=request_id,
        method=scope["method"],
        host=host,
        path=path,
        request_target=f"{path}?{query}" if query else path,
        headers=[pair for pair in headers if pair[0] not in excluded],
        body=body,
        arrived_at=arrived_at,
        team=team.name if team is not None else "",
        caller_timeout=_parse_caller_timeout(
            _get_header(headers, _headers.TIME_LEFT)
        ),
        usage=_parse_token_usage(_get_header(headers, _headers.TOKEN_USAGE)),
        prompt=_parse_prompt(_get_header(headers, _headers.PROMPT_HASHES)),
        resume_after=_get_header(headers, _headers.LAST_EVENT) or None,
        resumed_request=_get_header(headers, _headers.RESUMED_REQUEST),
    )


def _parse_caller_timeout(value: str) -> float | None:
    if not value:
        return None
    if not _headers.is_number(value):
        raise _make_bad_request_error(
            _headers.TIME_LEFT, value, "milliseconds"
        )
    return int(value) / MILLISECONDS_PER_SECOND


def _parse_token_usage(value: str) -> gateway.TokenUsage | None:
    """Parses the tokens of the prompt and the limit of the output."""
    if not value:
        return None
    prompt, _, output = value.partition(",")
    if not (
        _headers.is_number(prompt.strip())
        and _headers.is_number(output.strip())
    ):
        raise _make_bad_request_error(
            _headers.TOKEN_USAGE, value, "PROMPT,OUTPUT tokens"
        )
    return gateway.TokenUsage(prompt=int(prompt), max_output=int(output))


def _parse_prompt(value: str) -> tuple[gateway.PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(","):
        part, _, tokens = item.strip().partition(":")
        if not part or not _headers.is_number(tokens):
            raise _make_bad_request_error(
                _headers.PROMPT_HASHES, value, "ID:TOKENS, separated by commas"
            )
        parts.append(
            gateway.PromptPart(
                id=control_wire.shorten_part(part), tokens=int(tokens)
            )
        )
    return tuple(parts)


def _make_internal_error() -> web.ApiError:
    return web.ApiError(
        status=500,
        code="internal_error",
        message="the request failed because of an internal error",
        execution_status=web.ExecutionStatus.UNKNOWN,
    )


def _make_bad_request_error(
    name: str, value: str, allowed: str
) -> web.ApiError:
    return web.ApiError(
        status=400,
        code="bad_request",
        message=f"{name}: {value[:80]!r}; allowed: {allowed}",
    )
