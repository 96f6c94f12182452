"""Which target runs a request: pure decisions over what this entry knows.

Three load patterns shape them.  Prompts share long parts, which a target that
has read them need not read again; so requests of one session meet at one
target.  Long prompts come in clumps, and each waits for those before it; so a
target's time is predicted from the tokens that it must read first.  And
reports of load lag while many entries read the same ones; so an entry counts
what it has sent since, and looks at few targets only.
"""

import bisect
import random
import typing

import xxhash

from galenashed.gateway import _request

# Tokens of prompts that an engine reads in a second; trial figure of the
# emulated engines.
PREFILL_TOKENS_PER_SECOND = 40_000.0
# Seconds that a full batch adds to an answer, and each request that waits
# before it; trial figures of the emulated targets.
FULL_BATCH_SECONDS = 0.3
WAITING_SECONDS = 0.05
# The same for an engine's first event, whose batch hardly slows it down.
FULL_ENGINE_SECONDS = 0.05
# How much more a token counts that must be read than one that is read anyway:
# it also delays all prompts after it.  From experiments with the emulator.
MISSING_WEIGHT = 2.0
# Of a session that may have been read at its home for another entry, the
# part of its tokens that is expected to be missing there.
HOME_SHARE = 0.5
# Seconds that a target in another failure domain costs: a round trip.
FAR_SECONDS = 0.003
# Of many targets this many are looked at beside the home of the session.
SAMPLE_SIZE = 6


class Candidate(typing.Protocol):
    """A target as the placement sees it."""

    @property
    def name(self) -> str: ...

    @property
    def near(self) -> bool: ...

    @property
    def slots(self) -> int: ...

    @property
    def running(self) -> int: ...

    @property
    def waiting(self) -> int: ...

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens that it must read before those of a new request."""

    def uncached_tokens(self, prompt: tuple[_request.Part, ...]) -> int:
        """Tokens of a prompt that it is not known to have read."""


C = typing.TypeVar("C", bound=Candidate)


class Ring(typing.Generic[C]):
    """Candidates in the order of their hashes, for finding a home.

    Example::

        ring = Ring(candidates=candidates)
        home = ring.affinity_target("5c1e07a2")
    """

    __slots__ = ("_owners", "_points", "candidates")

    # Points a candidate on the ring; evens the shares out to about a tenth.
    POINTS = 64

    def __init__(self, *, candidates: list[C]):
        self.candidates = candidates
        ring = sorted(
            (
                xxhash.xxh64_intdigest(f"{candidate.name}#{n}".encode()),
                position,
            )
            for position, candidate in enumerate(candidates)
            for n in range(self.POINTS)
        )
        self._points = [point for point, _ in ring]
        self._owners = [owner for _, owner in ring]

    def affinity_target(
        self, key: str, excluded: typing.Collection[str]
    ) -> C | None:
        """Returns the first candidate from the key's point on."""
        start = bisect.bisect(
            self._points, xxhash.xxh64_intdigest(key.encode())
        )
        for step in range(len(self._owners)):
            owner = self._owners[(start + step) % len(self._owners)]
            if self.candidates[owner].name not in excluded:
                return self.candidates[owner]
        return None


def session_of(prompt: tuple[_request.Part, ...]) -> str | None:
    """Returns the last part that other requests share.

    The part after it belongs to the request alone.
    """
    return prompt[-2].id if len(prompt) >= 2 else None


def affinity_target(
    ring: Ring[C],
    prompt: tuple[_request.Part, ...],
    excluded: typing.Collection[str],
) -> C | None:
    """Returns the home of a prompt's session; None without a session."""
    session = session_of(prompt)
    return None if session is None else ring.affinity_target(session, excluded)


def choose(
    ring: Ring[C],
    prompt: tuple[_request.Part, ...],
    excluded: typing.Collection[str],
    rng: random.Random,
) -> C | None:
    """Returns the target with the earliest predicted first event."""
    home = affinity_target(ring, prompt, excluded)
    looked_at = _sample(ring.candidates, excluded, rng)
    if home is not None and home not in looked_at:
        looked_at.append(home)
    if not looked_at:
        return None
    return min(
        looked_at,
        key=lambda one: (
            predicted_wait(one, prompt, is_home=one is home),
            rng.random(),
        ),
    )


def predicted_wait(
    candidate: Candidate,
    prompt: tuple[_request.Part, ...],
    *,
    is_home: bool = False,
) -> float:
    """Returns the seconds until the first event, beyond the least."""
    slots = max(1, candidate.slots)
    full = FULL_ENGINE_SECONDS if prompt else FULL_BATCH_SECONDS
    wait = full * min(1.0, candidate.running / slots)
    over = max(0, candidate.running - slots) + candidate.waiting
    wait += WAITING_SECONDS * over
    if prompt:
        missing = candidate.uncached_tokens(prompt)
        if is_home:
            own = prompt[-1].tokens
            missing = own + int((missing - own) * HOME_SHARE)
        tokens = candidate.pending_prefill_tokens + missing * MISSING_WEIGHT
        wait += tokens / PREFILL_TOKENS_PER_SECOND
    return wait if candidate.near else wait + FAR_SECONDS


def _sample(
    candidates: list[C],
    excluded: typing.Collection[str],
    rng: random.Random,
) -> list[C]:
    if len(candidates) > SAMPLE_SIZE + len(excluded):
        candidates = rng.sample(candidates, SAMPLE_SIZE + len(excluded))
    return [one for one in candidates if one.name not in excluded]
