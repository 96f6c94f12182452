"""Chooses between warm and cold targets.

Warm targets answer sooner and bear more load, but a cold one is to be warm
before its requests are needed: when other targets fail, or the load rises.  So
a cold target is sent the next request as soon as it may be.
"""

import random
import typing

from galenashed.gateway import _placement
from galenashed.gateway import _request


class Candidate(_placement.Candidate, typing.Protocol):
    """A target, with the name of its incarnation."""

    @property
    def incarnation_name(self) -> str: ...


C = typing.TypeVar("C", bound=Candidate)


def choose(
    ring: _placement.HashRing[C],
    prompt: tuple[_request.PromptPart, ...],
    excluded: typing.Collection[str],
    rng: random.Random,
    cold: typing.Collection[str],
) -> C | None:
    """Returns the target for a request.

    ``cold`` are incarnations; those that take no request now are excluded.
    """
    if not cold:
        return _placement.choose(ring, prompt, excluded, rng)
    available = [
        candidate
        for candidate in ring.candidates
        if candidate.incarnation_name in cold
        and candidate.name not in excluded
    ]
    # A full target would let the request wait, or reject it.
    free = [
        candidate
        for candidate in available
        if not candidate.slots or candidate.running < candidate.slots
    ]
    if free:
        return _with_shortest_wait(free, prompt, rng)
    warm = _placement.choose(
        ring, prompt, {*excluded, *(c.name for c in available)}, rng
    )
    if warm is not None or not available:
        return warm
    return _with_shortest_wait(available, prompt, rng)


def _with_shortest_wait(
    candidates: list[C],
    prompt: tuple[_request.PromptPart, ...],
    rng: random.Random,
) -> C:
    return min(
        candidates,
        key=lambda candidate: (
            _placement.predicted_wait(candidate, prompt),
            rng.random(),
        ),
    )
