"""Parts of prompts with which answers have ended whole of late."""

import collections
import typing

MAX_SOUND_PARTS = 10_000


class SoundParts:
    """Bounded sans-IO record of whole answers, by the names of their parts.

    A part that crashes targets never has one, whatever events its answers
    bring before.

    Example::

        sound = SoundParts()
        sound.add(["part:a"], now=5.0)
        assert sound.since("part:a") == 5.0
    """

    __slots__ = ("_suspected_at", "_whole_at", "max_parts")

    def __init__(self, *, max_parts: int = MAX_SOUND_PARTS):
        self.max_parts = max_parts
        # Monotonic times of the last whole answer, the oldest first.
        self._whole_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # When suspects became known.
        self._suspected_at: dict[str, float] = {}

    def add(self, names: typing.Iterable[str], now: float) -> None:
        """Records an answer that has ended whole."""
        for name in names:
            self._whole_at[name] = now
            self._whole_at.move_to_end(name)
        while len(self._whole_at) > self.max_parts:
            self._whole_at.popitem(last=False)

    def set_suspects(self, names: frozenset[str], now: float) -> None:
        """Records what is suspected now, in all entries."""
        self._suspected_at = {
            name: self._suspected_at.get(name, now) for name in names
        }

    def since(self, name: str) -> float:
        """Returns when an answer with a part ended whole last."""
        return self._whole_at.get(name, float("-inf"))

    def suspected_at(self, name: str) -> float:
        """Returns since when a part is suspected."""
        return self._suspected_at.get(name, float("-inf"))

    def is_sound(self, name: str, *, not_before: float) -> bool:
        """Whether an answer has ended whole since a part was suspected.

        Answers from before ``not_before`` do not count.
        """
        return self.since(name) > max(not_before, self.suspected_at(name))
