"""Selects the entries that use what a target shares out; no I/O.

A hash of the target's and the entries' names orders the entries, differently
for each target.  Entries whose knowledge of the others differs a little thus
select nearly the same users.
"""

import heapq
import typing

import xxhash


def order(target: str, name: str) -> int:
    """Orders the entries that may use a target, differently for each."""
    return xxhash.xxh64_intdigest(f"{target}#{name}".encode())


def find_candidates(
    target: str, names: typing.Iterable[str], count: int
) -> list[str]:
    """Returns the first ``count`` entries by the hash."""
    return heapq.nsmallest(count, names, key=lambda name: order(target, name))


def select(
    candidates: list[str], rates: typing.Mapping[str, float], demand: float
) -> list[str]:
    """Returns the first candidates whose requests a second reach ``demand``.

    ``rates`` are the requests a second of each candidate.

    Example::

        assert select(["a", "b"], {"a": 5.0, "b": 5.0}, 4.0) == ["a"]
    """
    total = 0.0
    for count, name in enumerate(candidates, start=1):
        total += rates[name]
        if total >= demand:
            return candidates[:count]
    return candidates
