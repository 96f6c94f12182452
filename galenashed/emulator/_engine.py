"""An emulated engine: batches, prompts read in pieces, and cached parts.

Requests of a batch take a step together, and each gets a token in it.
Prompts are read between the tokens of the others, a bounded number of tokens
a step, so that long prompts delay everybody's tokens.  Parts that were read
stay in memory until the least recently used ones yield.
"""

import collections
import heapq
import itertools

import msgspec


class EngineSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine can do; times in milliseconds, sizes in tokens.

    ``slots`` is the size of the batch, ``memory`` holds running requests and
    cached parts, ``read_per_ms`` is the rate at which prompts are read and
    ``chunk`` the most of them in one step.  A step takes ``step_ms`` and
    ``slot_ms`` more for each request; an event holds ``per_event`` tokens.
    """

    count: int = 6
    slots: int = 96
    memory: int = 317_000
    step_ms: float = 4.63
    slot_ms: float = 0.0116
    read_per_ms: float = 41.4
    chunk: int = 4096
    per_event: int = 4


class Work:
    """One request at an engine.

    ``parts`` are its shared parts with their tokens, ``own`` the prompt's
    other tokens and ``output`` the tokens to be made.  Times are seconds.
    """

    __slots__ = (
        "event_at",
        "first_at",
        "left",
        "longest_pause",
        "made",
        "output",
        "own",
        "parts",
        "priority",
        "read",
    )

    def __init__(
        self,
        *,
        parts: list[tuple[str, int]],
        own: int,
        output: int,
        priority: int,
    ):
        self.parts = parts
        self.own = own
        self.output = output
        self.priority = priority
        self.left = 0
        self.read = 0
        self.made = 0
        self.first_at: float | None = None
        self.event_at = 0.0
        self.longest_pause = 0.0

    @property
    def size(self) -> int:
        """The most memory that it takes."""
        return sum(size for _, size in self.parts) + self.own + self.output


class Engine:
    """The sans-IO model of one engine; its owner keeps the time.

    Example::

        engine = Engine(name="engine-1", cfg=EngineSettings())
        engine.add(work)
        seconds, ended = engine.step(now=0.0)
    """

    __slots__ = (
        "_cached",
        "_cached_tokens",
        "_order",
        "_waiting",
        "cfg",
        "name",
        "pace",
        "running",
        "tokens_cached",
        "tokens_read",
    )

    def __init__(self, *, name: str, cfg: EngineSettings, pace: float = 1.0):
        self.name = name
        self.cfg = cfg
        # How many times longer everything takes than at a sound engine.
        self.pace = pace
        self.running: list[Work] = []
        self.tokens_read = 0
        self.tokens_cached = 0
        self._waiting: list[tuple[int, int, Work]] = []
        self._order = itertools.count()
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._cached_tokens = 0

    @property
    def waiting(self) -> int:
        """Requests that are not in the batch yet."""
        return len(self._waiting)

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens still to be read, of all that were sent here."""
        waiting = sum(work.size - work.output for *_, work in self._waiting)
        return waiting + sum(work.left for work in self.running)

    def add(self, work: Work) -> None:
        """Queues a request."""
        heapq.heappush(self._waiting, (work.priority, next(self._order), work))

    def step(self, now: float) -> tuple[float, list[Work]]:
        """Takes one step; returns its seconds and the requests that ended.

        Returns no time if there is nothing to do.
        """
        self._admit()
        if not self.running:
            return 0.0, []
        read = self._read_prompts()
        cfg = self.cfg
        millis = cfg.step_ms + cfg.slot_ms * len(self.running)
        seconds = self.pace * (millis + read / cfg.read_per_ms) / 1000.0
        ended = [
            work for work in self.running if self._advance(work, now + seconds)
        ]
        for work in ended:
            self.running.remove(work)
            self._keep(work)
        return seconds, ended

    def _admit(self) -> None:
        used = sum(work.size for work in self.running)
        while self._waiting and len(self.running) < self.cfg.slots:
            work = self._waiting[0][2]
            if self.running and used + work.size > self.cfg.memory:
                return
            heapq.heappop(self._waiting)
            used += work.size
            self._evict(self.cfg.memory - used)
            work.left = self._uncached(work)
            self.running.append(work)

    def _uncached(self, work: Work) -> int:
        """Returns the tokens to be read; parts count up to the first gap."""
        left, gap = work.own, False
        for part, tokens in work.parts:
            gap = gap or part not in self._cached
            if gap:
                left += tokens
            else:
                self._cached.move_to_end(part)
                self.tokens_cached += tokens
        return left

    def _read_prompts(self) -> int:
        room = self.cfg.chunk
        for work in self.running:
            if work.left and room:
                work.read = min(work.left, room)
                room -= work.read
            else:
                work.read = 0
        return self.cfg.chunk - room

    def _advance(self, work: Work, now: float) -> bool:
        """Gives a request its part of a step; whether it has ended."""
        if work.left:
            work.left -= work.read
            self.tokens_read += work.read
            if work.left:
                return False
        work.made += 1
        if work.made % self.cfg.per_event == 0 or work.made == work.output:
            if work.first_at is None:
                work.first_at = now
            else:
                pause = now - work.event_at
                work.longest_pause = max(work.longest_pause, pause)
            work.event_at = now
        return work.made >= work.output

    def _keep(self, work: Work) -> None:
        for part, tokens in work.parts:
            if part not in self._cached:
                self._cached[part] = tokens
                self._cached_tokens += tokens
        used = sum(running.size for running in self.running)
        self._evict(self.cfg.memory - used)

    def _evict(self, room: int) -> None:
        while self._cached and self._cached_tokens > room:
            _, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens
