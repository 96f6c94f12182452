"""Emulated model engine with continuous batching and a prefix cache.

Each step generates one token for every request of the batch that has been
prefilled.  Prefill is chunked: a step also processes a bounded number of
prompt tokens and takes longer for them, so a long prompt delays the tokens
of the whole batch.  Shared prompt parts stay cached after their request and
are evicted in LRU order.
"""

import collections
import heapq
import itertools

import msgspec


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Capacity and speed of the emulated engines, all of them alike.

    Parameters
    ----------
    count : int
        Number of engines.
    slots : int
        Maximum number of requests in the batch.
    memory : int
        Tokens that fit into memory, for running requests and cached parts.
    step_ms : float
        Duration of a step, in milliseconds, without requests and prefill.
    slot_ms : float
        Milliseconds that each request in the batch adds to a step.
    read_per_ms : float
        Prompt tokens prefilled per millisecond.
    chunk : int
        Maximum number of prompt tokens prefilled in one step.
    per_event : int
        Output tokens in one event of the response stream.
    """

    count: int = 6
    slots: int = 96
    memory: int = 317_000
    step_ms: float = 4.63
    slot_ms: float = 0.0116
    read_per_ms: float = 41.4
    chunk: int = 4096
    per_event: int = 4


class EngineRequest:
    """A request at an engine and its progress; times in seconds.

    Parameters
    ----------
    parts : list of (str, int)
        Prompt parts that other requests may share, with their tokens.
    unique_tokens : int
        Tokens of the rest of the prompt.
    output_tokens : int
        Tokens to generate.
    priority : int
        Lower values leave the queue first.
    """

    __slots__ = (
        "first_event_at",
        "generated_tokens",
        "last_event_at",
        "longest_pause",
        "output_tokens",
        "parts",
        "pending_prefill_tokens",
        "prefill_chunk",
        "priority",
        "unique_tokens",
    )

    def __init__(
        self,
        *,
        parts: list[tuple[str, int]],
        unique_tokens: int,
        output_tokens: int,
        priority: int,
    ):
        self.parts = parts
        self.unique_tokens = unique_tokens
        self.output_tokens = output_tokens
        self.priority = priority
        self.pending_prefill_tokens = 0
        # Prompt tokens that the current step prefills.
        self.prefill_chunk = 0
        self.generated_tokens = 0
        self.first_event_at: float | None = None
        self.last_event_at = 0.0
        self.longest_pause = 0.0

    @property
    def memory_tokens(self) -> int:
        """Memory reserved while it runs: its prompt and its whole output."""
        return (
            sum(tokens for _, tokens in self.parts)
            + self.unique_tokens
            + self.output_tokens
        )


class Engine:
    """Model of one engine without I/O or a clock; the caller passes the time.

    Example::

        engine = Engine(name="engine-1", cfg=EngineSettings())
        engine.add(request)
        seconds, finished = engine.step(now=0.0)
    """

    __slots__ = (
        "_cache",
        "_cache_size",
        "_counter",
        "_waiting",
        "cache_hit_tokens",
        "cfg",
        "name",
        "prefilled_tokens",
        "running",
        "slowdown",
    )

    def __init__(
        self, *, name: str, cfg: EngineSettings, slowdown: float = 1.0
    ):
        self.name = name
        self.cfg = cfg
        # Factor by which each step takes longer than the settings say.
        self.slowdown = slowdown
        self.running: list[EngineRequest] = []
        self.prefilled_tokens = 0
        self.cache_hit_tokens = 0
        # Heap; the counter keeps requests of equal priority in FIFO order.
        self._waiting: list[tuple[int, int, EngineRequest]] = []
        self._counter = itertools.count()
        # Tokens by part, the least recently used part first.
        self._cache: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cache_size = 0

    @property
    def waiting(self) -> int:
        """Number of requests that are not in the batch yet."""
        return len(self._waiting)

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens of all its requests that are not prefilled yet."""
        waiting = sum(
            request.memory_tokens - request.output_tokens
            for *_, request in self._waiting
        )
        return waiting + sum(
            request.pending_prefill_tokens for request in self.running
        )

    def add(self, request: EngineRequest) -> None:
        """Adds a request to the queue."""
        heapq.heappush(
            self._waiting, (request.priority, next(self._counter), request)
        )

    def step(self, now: float) -> tuple[float, list[EngineRequest]]:
        """Runs one step; returns its seconds and the finished requests.

        The duration is 0 if the engine has no requests.
        """
        self._admit()
        if not self.running:
            return 0.0, []
        prefill_tokens = self._schedule_prefill()
        cfg = self.cfg
        millis = cfg.step_ms + cfg.slot_ms * len(self.running)
        seconds = (
            self.slowdown
            * (millis + prefill_tokens / cfg.read_per_ms)
            / 1000.0
        )
        finished = [
            request
            for request in self.running
            if self._advance(request, now + seconds)
        ]
        for request in finished:
            self.running.remove(request)
            self._cache_parts(request)
        return seconds, finished

    def _admit(self) -> None:
        """Moves requests into the batch as far as slots and memory allow.

        A request larger than the memory is admitted to an empty batch.
        """
        used = sum(request.memory_tokens for request in self.running)
        while self._waiting and len(self.running) < self.cfg.slots:
            request = self._waiting[0][2]
            if self.running and used + request.memory_tokens > self.cfg.memory:
                return
            heapq.heappop(self._waiting)
            used += request.memory_tokens
            self._evict(self.cfg.memory - used)
            request.pending_prefill_tokens = self._count_uncached_tokens(
                request
            )
            self.running.append(request)

    def _count_uncached_tokens(self, request: EngineRequest) -> int:
        """Returns the number of prompt tokens to prefill.

        As in any prefix cache, parts after the first one that is not cached
        must be prefilled too.  Cached parts are marked as recently used.
        """
        uncached, missed = request.unique_tokens, False
        for part, tokens in request.parts:
            missed = missed or part not in self._cache
            if missed:
                uncached += tokens
            else:
                self._cache.move_to_end(part)
                self.cache_hit_tokens += tokens
        return uncached

    def _schedule_prefill(self) -> int:
        """Divides the step's chunk among requests; returns the tokens used."""
        available = self.cfg.chunk
        for request in self.running:
            if request.pending_prefill_tokens and available:
                request.prefill_chunk = min(
                    request.pending_prefill_tokens, available
                )
                available -= request.prefill_chunk
            else:
                request.prefill_chunk = 0
        return self.cfg.chunk - available

    def _advance(self, request: EngineRequest, step_end: float) -> bool:
        """Applies a step; returns whether the request has finished."""
        if request.pending_prefill_tokens:
            request.pending_prefill_tokens -= request.prefill_chunk
            self.prefilled_tokens += request.prefill_chunk
            if request.pending_prefill_tokens:
                return False
        request.generated_tokens += 1
        if (
            request.generated_tokens % self.cfg.per_event == 0
            or request.generated_tokens == request.output_tokens
        ):
            if request.first_event_at is None:
                request.first_event_at = step_end
            else:
                pause = step_end - request.last_event_at
                request.longest_pause = max(request.longest_pause, pause)
            request.last_event_at = step_end
        return request.generated_tokens >= request.output_tokens

    def _cache_parts(self, request: EngineRequest) -> None:
        for part, tokens in request.parts:
            if part not in self._cache:
                self._cache[part] = tokens
                self._cache_size += tokens
        used = sum(running.memory_tokens for running in self.running)
        self._evict(self.cfg.memory - used)

    def _evict(self, capacity: int) -> None:
        while self._cache and self._cache_size > capacity:
            _, tokens = self._cache.popitem(last=False)
            self._cache_size -= tokens
