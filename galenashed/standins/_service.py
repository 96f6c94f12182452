"""A stand-in of a plain service that echoes what it was asked.

Query parameters steer it: ``delay`` waits that many seconds, ``status``
answers with that status, ``lose`` runs the call and then closes the
connection without an answer, and ``claim`` says in a header of the entries'
that the call was not run.
"""

import asyncio
import collections

import blacksheep
import msgspec

from galenashed.protocol import spread as wire
from galenashed import web

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


class StandinService:
    """The service as an ASGI application."""

    service_kind = "plain"
    resumes = False

    def __init__(self) -> None:
        self.running = 0
        self.executions: collections.Counter = collections.Counter()
        self.app = web.make_app()
        web.add_route(self.app, "GET", "/standin/stats", self._stats)
        for method in METHODS:
            web.add_route(self.app, method, "/*", self._call)

    def load(self) -> wire.Load:
        """Returns the load report of the moment."""
        return wire.Load(running=self.running)

    async def _stats(self, request: blacksheep.Request):
        body = msgspec.json.encode({"executions": dict(self.executions)})
        content = blacksheep.Content(b"application/json", body)
        return blacksheep.Response(200, None, content)

    async def _call(self, request: blacksheep.Request):
        body = await request.read() or b""
        query = {name: values[0] for name, values in request.query.items()}
        key = request.get_first_header(b"Idempotency-Key")
        request_id = request.get_first_header(b"X-Request-Id") or b""
        self.running += 1
        try:
            self.executions[(key or request_id).decode()] += 1
            await asyncio.sleep(float(query.get("delay", "0")))
        finally:
            self.running -= 1
        if "lose" in query:
            return _lost_answer()
        return self._echo(request, body, int(query.get("status", "200")))

    def _echo(self, request, body: bytes, status: int):
        echoed = {
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
            b"application/json", msgspec.json.encode(echoed)
        )
        headers = [(b"X-Standin", b"service")]
        if b"claim" in request.scope["query_string"]:
            headers.append((b"Galenashed-Run", b"not run"))
        return blacksheep.Response(status, headers, content)


def _lost_answer() -> blacksheep.Response:
    """Returns an answer that breaks off before its body."""

    async def broken():
        raise ConnectionAbortedError("asked to lose the answer")
        yield b""

    content = blacksheep.StreamedContent(b"application/json", broken)
    return blacksheep.Response(200, None, content)
