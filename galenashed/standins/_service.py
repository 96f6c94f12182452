"""Stand-in for a plain service, which echoes each request.

Query parameters of a request select its behaviour:

- ``delay``: waits that many seconds before it responds.
- ``status``: responds with that status.
- ``crash``: begins to execute the call, then ends the process.
- ``limit``: names that many requests a second as its limit.
- ``lose``: executes the call, then closes the connection before the body.
- ``claim``: executes the call, but adds the header by which entries say that
  a call was not run.
"""

import asyncio
import collections
import os

import blacksheep
import msgspec

from galenashed.protocol import gossip as wire
from galenashed import webapp

CRASH_EXIT_CODE = 17
HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


class StandinService:
    """ASGI application of the service."""

    service_kind = "plain"
    resumes = False
    software_version = ""

    def __init__(self) -> None:
        self.running = 0
        self.executions: collections.Counter = collections.Counter()
        self.app = webapp.make_app()
        webapp.add_route(self.app, "GET", "/standin/stats", self._get_stats)
        for method in HTTP_METHODS:
            webapp.add_route(self.app, method, "/*", self._handle_call)

    def load(self) -> wire.Load:
        """Returns the current load report."""
        return wire.Load(running=self.running)

    async def _get_stats(self, request: blacksheep.Request):
        body = msgspec.json.encode({"executions": dict(self.executions)})
        content = blacksheep.Content(b"application/json", body)
        return blacksheep.Response(200, None, content)

    async def _handle_call(self, request: blacksheep.Request):
        body = await request.read() or b""
        query = {name: values[0] for name, values in request.query.items()}
        key = request.get_first_header(b"Idempotency-Key")
        request_id = request.get_first_header(b"X-Request-Id") or b""
        if "crash" in query:
            os._exit(CRASH_EXIT_CODE)
        self.running += 1
        try:
            self.executions[(key or request_id).decode()] += 1
            await asyncio.sleep(float(query.get("delay", "0")))
        finally:
            self.running -= 1
        if "lose" in query:
            return _make_aborted_response()
        return self._make_echo_response(
            request, body, int(query.get("status", "200"))
        )

    def _make_echo_response(self, request, body: bytes, status: int):
        echo = {
            "method": request.method,
            "path": request.scope["raw_path"].decode(),
            "query": request.scope["query_string"].decode(),
            "headers": {
                name.decode().lower(): value.decode()
                for name, value in request.headers
            },
            "body": body.decode("utf-8", "replace"),
        }
        content = blacksheep.Content(
            b"application/json", msgspec.json.encode(echo)
        )
        headers = [(b"X-Standin", b"service")]
        if "limit" in request.query:
            limit = request.query["limit"][0]
            headers.append((b"X-Request-Limit", limit.encode()))
        if b"claim" in request.scope["query_string"]:
            headers.append((b"Galenashed-Run", b"not run"))
        return blacksheep.Response(status, headers, content)


def _make_aborted_response() -> blacksheep.Response:
    """Returns a response whose connection is closed before its body."""

    async def abort():
        raise ConnectionAbortedError("the request asked to lose its response")
        yield b""

    content = blacksheep.StreamedContent(b"application/json", abort)
    return blacksheep.Response(200, None, content)
