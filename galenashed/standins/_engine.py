"""A stand-in of a model engine.

It answers with words that follow from the prompt alone, so that any two
engines give the same answer and a stream can be resumed at the exact event.
It runs a bounded number of requests at once, lets the others wait by
priority, and keeps a bounded cache of prompt prefixes, which shortens the
time to the first token.
"""

import asyncio
import collections
import functools
import hashlib
import itertools
import os
import time

import blacksheep
import msgspec

from galenashed.protocol import spread as wire
from galenashed import web

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 1024
CRASH_MARKER = "CRASH-THE-ENGINE"
CRASH_EXIT_CODE = 17


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """How the engine behaves; times in seconds.

    ``token_seconds`` is the time between tokens, ``prefill_seconds`` the
    time to read one prompt token that is not cached.
    """

    token_seconds: float = 0.01
    prefill_seconds: float = 0.0
    output_tokens: int = 32
    max_running: int = 16
    cached_prefixes: int = 64
    resumes: bool = True


class _Job:
    """One request as the engine runs it."""

    __slots__ = ("chat", "id", "model", "prompt", "request", "tokens")

    def __init__(self, *, request: dict, request_id: str, options):
        self.request = request
        self.id = request_id
        self.model = request.get("model", "")
        self.chat = "messages" in request
        prompt = request.get("messages", request.get("prompt"))
        self.prompt = msgspec.json.encode(prompt)
        allowed = request.get("max_tokens", options.output_tokens)
        self.tokens = min(allowed, options.output_tokens)

    @property
    def prompt_tokens(self) -> int:
        return max(1, len(self.prompt) // BYTES_PER_TOKEN)

    def words(self) -> list[str]:
        """Returns the answer's words, which follow from the prompt."""
        seed = hashlib.sha256(self.prompt).digest()
        found = []
        for position in range(self.tokens):
            mixed = seed + position.to_bytes(4, "big")
            found.append(hashlib.sha256(mixed).hexdigest()[:6] + " ")
        return found

    def usage(self) -> dict[str, int]:
        """Returns the usage as the API reports it."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens,
            "total_tokens": self.prompt_tokens + self.tokens,
        }


class StandinEngine:
    """The engine as an ASGI application.

    Parameters
    ----------
    options : EngineOptions
        How it behaves.
    """

    service_kind = "engine"

    def __init__(self, *, options: EngineOptions):
        self.options = options
        self.resumes = options.resumes
        self.running = 0
        self.executions: collections.Counter = collections.Counter()
        self.output_tokens = 0
        self.cached_tokens = 0
        self.prompt_tokens = 0
        self._waiting: list = []
        self._order = itertools.count()
        self._prefixes: collections.OrderedDict = collections.OrderedDict()
        self.app = web.make_app()
        web.add_route(self.app, "POST", "/v1/chat/completions", self._complete)
        web.add_route(self.app, "POST", "/v1/completions", self._complete)
        web.add_route(self.app, "GET", "/standin/stats", self._stats)

    def load(self) -> wire.Load:
        """Returns the load report of the moment."""
        return wire.Load(running=self.running, waiting=len(self._waiting))

    async def _stats(self, request: blacksheep.Request):
        return _json(
            {
                "executions": dict(self.executions),
                "output_tokens": self.output_tokens,
                "prompt_tokens": self.prompt_tokens,
                "cached_tokens": self.cached_tokens,
                "running": self.running,
                "waiting": len(self._waiting),
            }
        )

    async def _complete(self, request: blacksheep.Request):
        fields = msgspec.json.decode(await request.read() or b"")
        header = request.get_first_header(b"X-Request-Id") or b""
        request_id = header.decode()
        job = _Job(request=fields, request_id=request_id, options=self.options)
        self.executions[request_id] += 1
        headers = [(b"X-Request-Id", header)]
        if fields.get("stream"):
            content = blacksheep.StreamedContent(
                b"text/event-stream", functools.partial(self._stream, job)
            )
            return blacksheep.Response(200, headers, content)
        async for _ in self._run(job):
            pass
        response = _json(self._whole(job))
        response.headers.add(b"X-Request-Id", header)
        return response

    async def _run(self, job: _Job):
        """Yields each word when it is due."""
        await self._admit(job)
        try:
            await self._prefill(job)
            words = job.words()
            first = job.request.get("resume_from_event", 0)
            due = time.monotonic()
            for word in words[first:]:
                due += self.options.token_seconds
                delay = due - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                self.output_tokens += 1
                yield word
        finally:
            self._leave()

    async def _admit(self, job: _Job) -> None:
        if self.running < self.options.max_running:
            self.running += 1
            return
        fut = asyncio.get_running_loop().create_future()
        priority = job.request.get("priority", 0)
        entry = (priority, next(self._order), fut)
        self._waiting.append(entry)
        self._waiting.sort(key=lambda item: item[:2])
        try:
            await fut
        except asyncio.CancelledError:
            if entry in self._waiting:
                self._waiting.remove(entry)
            else:
                self._leave()
            raise

    def _leave(self) -> None:
        """Hands the place on, or frees it."""
        while self._waiting:
            _, _, fut = self._waiting.pop(0)
            if not fut.done():
                fut.set_result(None)
                return
        self.running -= 1

    async def _prefill(self, job: _Job) -> None:
        if CRASH_MARKER.encode() in job.prompt:
            os._exit(CRASH_EXIT_CODE)
        prefix = job.prompt[:PREFIX_BYTES]
        cached = 0
        if prefix in self._prefixes:
            cached = len(prefix) // BYTES_PER_TOKEN
            self._prefixes.move_to_end(prefix)
        self._prefixes[prefix] = True
        if len(self._prefixes) > self.options.cached_prefixes:
            self._prefixes.popitem(last=False)
        self.prompt_tokens += job.prompt_tokens
        self.cached_tokens += min(cached, job.prompt_tokens)
        left = max(0, job.prompt_tokens - cached)
        await asyncio.sleep(left * self.options.prefill_seconds)

    async def _stream(self, job: _Job):
        async for word in self._run(job):
            yield _event(self._chunk(job, word))
        options = job.request.get("stream_options") or {}
        if options.get("include_usage"):
            final = self._chunk(job, "")
            final["choices"] = []
            final["usage"] = job.usage()
            yield _event(final)
        yield b"data: [DONE]\n\n"

    def _chunk(self, job: _Job, word: str) -> dict:
        choice: dict = {"index": 0, "finish_reason": None}
        if job.chat:
            choice["delta"] = {"role": "assistant", "content": word}
        else:
            choice["text"] = word
        kind = "chat.completion.chunk" if job.chat else "text_completion"
        return {
            "id": f"cmpl-{job.id}",
            "object": kind,
            "created": 0,
            "model": job.model,
            "choices": [choice],
        }

    def _whole(self, job: _Job) -> dict:
        text = "".join(job.words())
        choice: dict = {"index": 0, "finish_reason": "stop"}
        if job.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": f"cmpl-{job.id}",
            "object": "chat.completion" if job.chat else "text_completion",
            "created": 0,
            "model": job.model,
            "choices": [choice],
            "usage": job.usage(),
        }


def _event(fields: dict) -> bytes:
    return b"data: " + msgspec.json.encode(fields) + b"\n\n"


def _json(value) -> blacksheep.Response:
    content = blacksheep.Content(
        b"application/json", msgspec.json.encode(value)
    )
    return blacksheep.Response(200, None, content)
