"""Callers' requests, decoded for the gateway, and its answers encoded."""

import asyncio
import time

import loguru

from galenashed import engines
from galenashed import gateway
from galenashed.platform import _headers
from galenashed.protocol import routes as routes_wire
from galenashed import web

LOG = loguru.logger

MILLISECONDS = 1000.0
MAX_ID_LENGTH = 200
DEFAULT_LIMITS = routes_wire.CallerLimits()


class AsgiResponseWriter:
    """Sends the gateway's answer through ASGI.

    Parameters
    ----------
    send : callable
        Of the server.
    is_draining : callable
        Returns whether callers are to connect elsewhere from now on.
    """

    def __init__(self, *, send, is_draining):
        self._send = send
        self._is_draining = is_draining
        self.started = False

    async def start(
        self, head: engines.ResponseHead, *, with_content_length: bool
    ) -> None:
        """See :class:`galenashed.gateway.ResponseWriter`."""
        listed = [v for n, v in head.headers if n == "connection"]
        dropped = _headers.HOP_BY_HOP | _headers.named_by_connection(listed)
        if not with_content_length:
            dropped = dropped | {"content-length"}
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in head.headers
            if name not in dropped
        ]
        if self._is_draining():
            headers.append((b"connection", b"close"))
        self.started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": headers,
            }
        )

    async def write(self, data: bytes) -> None:
        """See :class:`galenashed.gateway.ResponseWriter`."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": True}
        )

    async def finish(self) -> None:
        """See :class:`galenashed.gateway.ResponseWriter`."""
        await self._send({"type": "http.response.body", "body": b""})

    def abort(self) -> None:
        """Leaves the answer unfinished; the server then closes it so."""

    async def refuse(self, error: web.ApiError) -> None:
        """Sends an error of the system's own."""
        body = error.body()
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
        ]
        if error.retry_after is not None:
            headers.append((b"retry-after", b"%.2f" % error.retry_after))
        if self._is_draining() or error.status in web.UNREAD_STATUSES:
            headers.append((b"connection", b"close"))
        self.started = True
        await self._send(
            {
                "type": "http.response.start",
                "status": error.status,
                "headers": headers,
            }
        )
        await self._send({"type": "http.response.body", "body": body})


class CallerLeftError(Exception):
    """The caller left before its request was whole."""


class Ingress:
    """The ASGI application that callers reach.

    Parameters
    ----------
    gate : Gateway
        Serves the requests.
    is_draining : callable
        Returns whether this node stops.
    """

    def __init__(self, *, gate: gateway.Gateway, is_draining):
        self.gate = gate
        self.is_draining = is_draining

    async def __call__(self, scope, receive, send) -> None:
        """Serves one request."""
        arrived_at = time.monotonic()
        writer = AsgiResponseWriter(send=send, is_draining=self.is_draining)
        try:
            headers = _decode_headers(scope)
            host = _first(headers, "host").partition(":")[0].lower()
            path = scope["raw_path"].decode("latin-1")
            key = _first(headers, _headers.KEY)
            route, team = self.gate.admit(host, path, key)
            self._check_head(headers)
            body = await self._read_body(receive)
            request = _decode(
                scope, headers, host, path, key, body, arrived_at
            )
        except web.ApiError as exc:
            await writer.refuse(exc)
            return
        except CallerLeftError:
            return
        work = asyncio.create_task(
            self._serve(request, route, team, writer), name="request"
        )
        await _until_left(work, receive)

    def _check_head(self, headers) -> None:
        limit = self._limits().max_header_bytes
        size = sum(len(name) + len(value) + 4 for name, value in headers)
        if size > limit:
            raise web.ApiError(
                status=431,
                code="head_too_large",
                message=f"the head passes {limit} bytes",
            )

    def _limits(self) -> routes_wire.CallerLimits:
        if self.gate.routing is None:
            return DEFAULT_LIMITS
        return self.gate.routing.table.limits

    async def _read_body(self, receive) -> bytes:
        limit = self._limits().max_body_bytes
        parts = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerLeftError
            data = message.get("body", b"")
            size += len(data)
            if size > limit:
                raise web.ApiError(
                    status=413,
                    code="body_too_large",
                    message=f"the body passes {limit} bytes",
                )
            parts.append(data)
            if not message.get("more_body", False):
                return parts[0] if len(parts) == 1 else b"".join(parts)

    async def _serve(
        self, request, route, team, writer: AsgiResponseWriter
    ) -> None:
        try:
            await self.gate.handle(request, route, team, writer)
        except web.ApiError as exc:
            if not writer.started:
                await writer.refuse(exc)
        except Exception as exc:
            # A fault of this program must not look like an answer.
            LOG.opt(exception=exc).error("request {} failed", request.id)
            if not writer.started:
                await writer.refuse(_internal_error())


async def _until_left(work: asyncio.Task, receive) -> None:
    """Waits for a request's work; cancels it when the caller has left."""
    gone = asyncio.create_task(_wait_left(receive), name="caller")
    try:
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            work.cancel()
        await asyncio.gather(work, return_exceptions=False)
    except asyncio.CancelledError:
        if not work.done():
            work.cancel()
            raise
    finally:
        gone.cancel()


async def _wait_left(receive) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass


def _decode_headers(scope) -> list[tuple[str, str]]:
    return [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    ]


def _first(headers: list[tuple[str, str]], name: str) -> str:
    for held, value in headers:
        if held == name:
            return value
    return ""


def _decode(scope, headers, host, path, key, body, arrived_at):
    """Returns the request; raises ApiError if it can't be read."""
    request_id = _first(headers, _headers.REQUEST_ID)
    if not 0 < len(request_id) <= MAX_ID_LENGTH:
        raise _bad_request(_headers.REQUEST_ID, request_id, "an id")
    listed = [value for name, value in headers if name == "connection"]
    dropped = (
        _headers.HOP_BY_HOP
        | _headers.SET_BY_SYSTEM
        | _headers.named_by_connection(listed)
        | {"content-length"}
    )
    query = scope["query_string"].decode("latin-1")
    return gateway.Request(
        id=request_id,
        method=scope["method"],
        host=host,
        path=path,
        request_target=f"{path}?{query}" if query else path,
        headers=[pair for pair in headers if pair[0] not in dropped],
        body=body,
        arrived_at=arrived_at,
        key=key,
        caller_timeout=_caller_timeout(_first(headers, _headers.TIME_LEFT)),
        usage=_usage(_first(headers, _headers.USAGE)),
        prompt=_prompt(_first(headers, _headers.PROMPT_PARTS)),
        resume_after=_first(headers, _headers.LAST_EVENT) or None,
    )


def _caller_timeout(value: str) -> float | None:
    if not value:
        return None
    if not value.isdigit():
        raise _bad_request(_headers.TIME_LEFT, value, "milliseconds")
    return int(value) / MILLISECONDS


def _usage(value: str) -> gateway.TokenUsage | None:
    """Reads the prompt's tokens and the most that may be generated."""
    if not value:
        return None
    prompt, _, output = value.partition(",")
    if not (prompt.strip().isdigit() and output.strip().isdigit()):
        raise _bad_request(_headers.USAGE, value, "PROMPT,OUTPUT tokens")
    return gateway.TokenUsage(prompt=int(prompt), max_output=int(output))


def _prompt(value: str) -> tuple[gateway.PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for item in value.split(","):
        part, _, tokens = item.strip().partition(":")
        if not part or not tokens.isdigit():
            raise _bad_request(
                _headers.PROMPT_PARTS, value, "ID:TOKENS, separated by commas"
            )
        parts.append(gateway.PromptPart(id=part, tokens=int(tokens)))
    return tuple(parts)


def _internal_error() -> web.ApiError:
    return web.ApiError(
        status=500,
        code="internal_error",
        message="the request failed within the system",
        run=web.ExecutionStatus.UNKNOWN,
    )


def _bad_request(name: str, value: str, allowed: str) -> web.ApiError:
    return web.ApiError(
        status=400,
        code="bad_request",
        message=f"{name}: {value[:80]!r}; allowed: {allowed}",
    )
