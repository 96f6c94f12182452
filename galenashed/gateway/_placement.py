"""Chooses the target of a request from locally known load; does no I/O.

Three properties of the load shape the choice.  Prompts share long parts, which
a target that has cached them need not prefill again; so requests of a session
go to the same target.  Long prompts arrive in bursts, and each waits for those
before it; so the wait at a target is predicted from the tokens that it must
prefill first.  Load reports lag, and many entries read the same ones; so each
entry counts what it has sent since the last report, and compares only a small
random sample of the targets.
"""

import bisect
import functools
import random
import typing

import xxhash

from galenashed.gateway import _request

# Assumed prefill speed of a target: that of the emulated engines.
PREFILL_TOKENS_PER_SECOND = 40_000.0
# Assumed seconds that a full batch adds to a response, and that each request
# queued before it adds: those of the emulated targets.
FULL_BATCH_SECONDS = 0.3
SECONDS_PER_WAITING_REQUEST = 0.05
# Seconds that a full batch adds to an engine's first event, which it delays
# much less than a complete response.
FULL_ENGINE_BATCH_SECONDS = 0.05
# Weight of an uncached token of the request relative to a pending token of
# others: its prefill also delays all prompts after it.
UNCACHED_TOKEN_WEIGHT = 2.0
# Of the shared tokens of a prompt that this entry does not know to be cached
# at the affinity target, only this share counts as uncached there: requests of
# other entries may have had the target cache the rest.
AFFINITY_UNCACHED_SHARE = 0.5
# Seconds to the first event of a small request at an idle target, which take
# longer at a slow one.
IDLE_SECONDS = 0.2
IDLE_ENGINE_SECONDS = 0.05
# Share by which predictions for targets of unusual speed are varied at random:
# all entries get the same reports, and must not choose the same target.
SPEED_JITTER = 0.2
# Round trip to a target in another failure domain.
CROSS_DOMAIN_SECONDS = 0.003
# Rings whose points are kept, for the sets of candidates used last.
MAX_CACHED_RINGS = 16
# Number of random targets compared besides the affinity target.
SAMPLE_SIZE = 6


class Candidate(typing.Protocol):
    """The properties of a target that placement uses."""

    @property
    def name(self) -> str: ...

    @property
    def same_domain(self) -> bool: ...

    @property
    def slots(self) -> int: ...

    @property
    def running(self) -> int: ...

    @property
    def waiting(self) -> int: ...

    @property
    def slowness(self) -> float:
        """Factor by which work takes longer than usual now."""

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens that it must prefill before a new request."""

    def uncached_tokens(self, prompt: tuple[_request.PromptPart, ...]) -> int:
        """Tokens of a prompt that it is not known to have cached."""


C = typing.TypeVar("C", bound=Candidate)


# A ring is made anew whenever a target comes, goes or fails for a while, and
# often the same targets are usable again soon.
@functools.lru_cache(maxsize=MAX_CACHED_RINGS)
def _sorted_points(
    names: tuple[str, ...], points_per_name: int
) -> tuple[list[int], list[int]]:
    """Returns the points of a ring and the positions of their names."""
    ring = sorted(
        (xxhash.xxh64_intdigest(f"{name}#{number}".encode()), position)
        for position, name in enumerate(names)
        for number in range(points_per_name)
    )
    return [point for point, _ in ring], [position for _, position in ring]


class HashRing(typing.Generic[C]):
    """Consistent-hash ring that maps sessions to candidates.

    Example::

        ring = HashRing(candidates=candidates)
        preferred = ring.affinity_target("5c1e07a2", excluded=())
    """

    __slots__ = ("_points", "_positions", "candidates")

    # Evens out the share of each candidate to within about a tenth.
    POINTS_PER_CANDIDATE = 64

    def __init__(self, *, candidates: list[C]):
        self.candidates = candidates
        self._points, self._positions = _sorted_points(
            tuple(candidate.name for candidate in candidates),
            self.POINTS_PER_CANDIDATE,
        )

    def affinity_target(
        self, key: str, excluded: typing.Collection[str]
    ) -> C | None:
        """Returns the first candidate not excluded, from the key's hash on."""
        start = bisect.bisect(
            self._points, xxhash.xxh64_intdigest(key.encode())
        )
        for step in range(len(self._positions)):
            position = self._positions[(start + step) % len(self._positions)]
            if self.candidates[position].name not in excluded:
                return self.candidates[position]
        return None


def session_id(prompt: tuple[_request.PromptPart, ...]) -> str | None:
    """Returns the id of the last part that other requests may share.

    The part after it is specific to the request.
    """
    return prompt[-2].id if len(prompt) >= 2 else None


def affinity_target(
    ring: HashRing[C],
    prompt: tuple[_request.PromptPart, ...],
    excluded: typing.Collection[str],
) -> C | None:
    """Returns the affinity target of a prompt; None without a session."""
    session = session_id(prompt)
    return None if session is None else ring.affinity_target(session, excluded)


def choose(
    ring: HashRing[C],
    prompt: tuple[_request.PromptPart, ...],
    excluded: typing.Collection[str],
    rng: random.Random,
) -> C | None:
    """Returns the target with the shortest predicted wait.

    Compares a random sample and the affinity target of the session.
    """
    preferred = affinity_target(ring, prompt, excluded)
    sampled = _sample(ring.candidates, excluded, rng)
    if preferred is not None and preferred not in sampled:
        sampled.append(preferred)
    if not sampled:
        return None
    return min(
        sampled,
        key=lambda candidate: (
            _vary(
                predicted_wait(
                    candidate,
                    prompt,
                    is_affinity_target=candidate is preferred,
                ),
                candidate,
                prompt,
                rng,
            ),
            rng.random(),
        ),
    )


def _vary(
    seconds: float,
    candidate: Candidate,
    prompt: tuple[_request.PromptPart, ...],
    rng: random.Random,
) -> float:
    """Returns a prediction with the random part of an unusual speed."""
    if candidate.slowness == 1.0:
        return seconds
    idle = IDLE_ENGINE_SECONDS if prompt else IDLE_SECONDS
    spread = SPEED_JITTER * (seconds + idle)
    return seconds + rng.uniform(-spread, spread)


def predicted_wait(
    candidate: Candidate,
    prompt: tuple[_request.PromptPart, ...],
    *,
    is_affinity_target: bool = False,
) -> float:
    """Returns the seconds by which load and speed delay the first event."""
    slots = max(1, candidate.slots)
    full_batch_seconds = (
        FULL_ENGINE_BATCH_SECONDS if prompt else FULL_BATCH_SECONDS
    )
    seconds = full_batch_seconds * min(1.0, candidate.running / slots)
    queued = max(0, candidate.running - slots) + candidate.waiting
    seconds += SECONDS_PER_WAITING_REQUEST * queued
    if prompt:
        uncached = candidate.uncached_tokens(prompt)
        if is_affinity_target:
            unshared = prompt[-1].tokens
            uncached = unshared + int(
                (uncached - unshared) * AFFINITY_UNCACHED_SHARE
            )
        tokens = (
            candidate.pending_prefill_tokens + uncached * UNCACHED_TOKEN_WEIGHT
        )
        seconds += tokens / PREFILL_TOKENS_PER_SECOND
    if candidate.slowness != 1.0:
        idle = IDLE_ENGINE_SECONDS if prompt else IDLE_SECONDS
        seconds = seconds * candidate.slowness + idle * (
            candidate.slowness - 1.0
        )
    return seconds if candidate.same_domain else seconds + CROSS_DOMAIN_SECONDS


def _sample(
    candidates: list[C],
    excluded: typing.Collection[str],
    rng: random.Random,
) -> list[C]:
    if len(candidates) > SAMPLE_SIZE + len(excluded):
        candidates = rng.sample(candidates, SAMPLE_SIZE + len(excluded))
    return [
        candidate for candidate in candidates if candidate.name not in excluded
    ]
