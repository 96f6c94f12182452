"""Stand-in for a model engine.

The generated words depend only on the prompt, so all engines return the same
response and a stream can be resumed at any event.  A bounded number of
requests runs at once; the others wait in a priority queue.  A bounded cache
of prompt prefixes shortens the time to the first token.
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

from galenashed.protocol import gossip as wire
from galenashed import webapp

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 1024
# A prompt that contains this text ends the process.
CRASH_MARKER = "CRASH-THE-ENGINE"
# One that contains this text does so after some words of the output.
LATE_CRASH_MARKER = "END-THE-ENGINE-LATER"
LATE_CRASH_WORDS = 4
CRASH_EXIT_CODE = 17


class EngineOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Speed and limits of the engine.

    Parameters
    ----------
    token_seconds : float
        Seconds between output tokens.
    prefill_seconds : float
        Seconds to prefill one prompt token that is not cached.
    output_tokens : int
        Output tokens of a response, unless the request asks for fewer.
    max_running : int
        Maximum number of requests that run at once.
    cached_prefixes : int
        Maximum number of prompt prefixes in the cache.
    resumes : bool
        Whether the engine announces that its streams can be resumed.
    software_version : str
        Version of the software to announce; each word ends with it.
    """

    token_seconds: float = 0.01
    prefill_seconds: float = 0.0
    output_tokens: int = 32
    max_running: int = 16
    cached_prefixes: int = 64
    resumes: bool = True
    software_version: str = ""


class _Completion:
    """A chat or text completion that the engine generates."""

    __slots__ = (
        "body",
        "id",
        "is_chat",
        "model",
        "output_tokens",
        "prompt",
        "version",
    )

    def __init__(self, *, body: dict, request_id: str, options):
        self.body = body
        self.id = request_id
        self.model = body.get("model", "")
        self.is_chat = "messages" in body
        prompt = body.get("messages", body.get("prompt"))
        self.prompt = msgspec.json.encode(prompt)
        max_tokens = body.get("max_tokens", options.output_tokens)
        self.output_tokens = min(max_tokens, options.output_tokens)
        self.version = options.software_version

    @property
    def prompt_tokens(self) -> int:
        return max(1, len(self.prompt) // BYTES_PER_TOKEN)

    def words(self) -> list[str]:
        """Returns the words of the response, one for each output token."""
        seed = hashlib.sha256(self.prompt).digest()
        words = []
        for position in range(self.output_tokens):
            hash_input = seed + position.to_bytes(4, "big")
            word = hashlib.sha256(hash_input).hexdigest()[:6]
            words.append(f"{word}{self.version} ")
        return words

    def usage(self) -> dict[str, int]:
        """Returns the ``usage`` object of the response."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.output_tokens,
            "total_tokens": self.prompt_tokens + self.output_tokens,
        }


class StandinEngine:
    """ASGI application of the engine.

    Parameters
    ----------
    options : EngineOptions
        Speed and limits of the engine.
    """

    service_kind = "engine"

    def __init__(self, *, options: EngineOptions):
        self.options = options
        self.resumes = options.resumes
        self.software_version = options.software_version
        self.running = 0
        self.executions: collections.Counter = collections.Counter()
        self.output_tokens = 0
        self.cached_tokens = 0
        self.prompt_tokens = 0
        # Sorted; the counter keeps requests of equal priority in FIFO order.
        self._waiting: list = []
        self._counter = itertools.count()
        # The least recently used prefix comes first.
        self._cached_prefixes: collections.OrderedDict = (
            collections.OrderedDict()
        )
        self.app = webapp.make_app()
        webapp.add_route(
            self.app, "POST", "/v1/chat/completions", self._complete
        )
        webapp.add_route(self.app, "POST", "/v1/completions", self._complete)
        webapp.add_route(self.app, "GET", "/standin/stats", self._get_stats)

    def load(self) -> wire.Load:
        """Returns the current load report."""
        return wire.Load(running=self.running, waiting=len(self._waiting))

    async def _get_stats(self, request: blacksheep.Request):
        return _make_json_response(
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
        body = msgspec.json.decode(await request.read() or b"")
        header = request.get_first_header(b"X-Request-Id") or b""
        request_id = header.decode()
        completion = _Completion(
            body=body, request_id=request_id, options=self.options
        )
        self.executions[request_id] += 1
        headers = [(b"X-Request-Id", header)]
        if body.get("stream"):
            content = blacksheep.StreamedContent(
                b"text/event-stream",
                functools.partial(self._stream_events, completion),
            )
            return blacksheep.Response(200, headers, content)
        async for _ in self._generate(completion):
            pass
        response = _make_json_response(self._make_response_body(completion))
        response.headers.add(b"X-Request-Id", header)
        return response

    async def _generate(self, completion: _Completion):
        """Yields the words at the configured rate."""
        await self._acquire_slot(completion)
        try:
            await self._prefill(completion)
            words = completion.words()
            crashes = LATE_CRASH_MARKER.encode() in completion.prompt
            first_event = completion.body.get("resume_from_event", 0)
            # Counted from the start, so that late wake-ups do not add up.
            next_word_at = time.monotonic()
            for count, word in enumerate(words[first_event:]):
                if crashes and count == LATE_CRASH_WORDS:
                    os._exit(CRASH_EXIT_CODE)
                next_word_at += self.options.token_seconds
                delay = next_word_at - time.monotonic()
                if delay > 0:
                    await asyncio.sleep(delay)
                self.output_tokens += 1
                yield word
        finally:
            self._release_slot()

    async def _acquire_slot(self, completion: _Completion) -> None:
        """Waits until the completion may run, in order of priority."""
        if self.running < self.options.max_running:
            self.running += 1
            return
        fut = asyncio.get_running_loop().create_future()
        priority = completion.body.get("priority", 0)
        waiter = (priority, next(self._counter), fut)
        self._waiting.append(waiter)
        self._waiting.sort(key=lambda waiter: waiter[:2])
        try:
            await fut
        except asyncio.CancelledError:
            if waiter in self._waiting:
                self._waiting.remove(waiter)
            else:
                # The slot was passed on to it before the cancellation.
                self._release_slot()
            raise

    def _release_slot(self) -> None:
        """Passes the slot on to the first waiting request, or frees it."""
        while self._waiting:
            _, _, fut = self._waiting.pop(0)
            if not fut.done():
                fut.set_result(None)
                return
        self.running -= 1

    async def _prefill(self, completion: _Completion) -> None:
        """Waits for the prefill of the prompt and caches its prefix."""
        if CRASH_MARKER.encode() in completion.prompt:
            os._exit(CRASH_EXIT_CODE)
        prefix = completion.prompt[:PREFIX_BYTES]
        cached = 0
        if prefix in self._cached_prefixes:
            cached = len(prefix) // BYTES_PER_TOKEN
            self._cached_prefixes.move_to_end(prefix)
        self._cached_prefixes[prefix] = True
        if len(self._cached_prefixes) > self.options.cached_prefixes:
            self._cached_prefixes.popitem(last=False)
        self.prompt_tokens += completion.prompt_tokens
        self.cached_tokens += min(cached, completion.prompt_tokens)
        uncached = max(0, completion.prompt_tokens - cached)
        await asyncio.sleep(uncached * self.options.prefill_seconds)

    async def _stream_events(self, completion: _Completion):
        async for word in self._generate(completion):
            yield _encode_event(self._make_chunk(completion, word))
        options = completion.body.get("stream_options") or {}
        if options.get("include_usage"):
            usage_chunk = self._make_chunk(completion, "")
            usage_chunk["choices"] = []
            usage_chunk["usage"] = completion.usage()
            yield _encode_event(usage_chunk)
        yield b"data: [DONE]\n\n"

    def _make_chunk(self, completion: _Completion, word: str) -> dict:
        choice: dict = {"index": 0, "finish_reason": None}
        if completion.is_chat:
            choice["delta"] = {"role": "assistant", "content": word}
        else:
            choice["text"] = word
        object_type = (
            "chat.completion.chunk"
            if completion.is_chat
            else "text_completion"
        )
        return {
            "id": f"cmpl-{completion.id}",
            "object": object_type,
            "created": 0,
            "model": completion.model,
            "choices": [choice],
        }

    def _make_response_body(self, completion: _Completion) -> dict:
        text = "".join(completion.words())
        choice: dict = {"index": 0, "finish_reason": "stop"}
        if completion.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": f"cmpl-{completion.id}",
            "object": (
                "chat.completion" if completion.is_chat else "text_completion"
            ),
            "created": 0,
            "model": completion.model,
            "choices": [choice],
            "usage": completion.usage(),
        }


def _encode_event(fields: dict) -> bytes:
    """Returns a server-sent event with the fields as JSON."""
    return b"data: " + msgspec.json.encode(fields) + b"\n\n"


def _make_json_response(value) -> blacksheep.Response:
    content = blacksheep.Content(
        b"application/json", msgspec.json.encode(value)
    )
    return blacksheep.Response(200, None, content)
