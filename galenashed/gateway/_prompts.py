"""Estimates of the pending and the cached prompts of one target.

Long prompts can arrive in bursts.  An engine prefills them one after the
other, so the first event of a new request waits for all of them.  The load
that targets report arrives too late to show a burst and does not include
prompt lengths.  Each entry therefore counts the prompt tokens that it has sent
and that have not led to a first event yet.
"""

import collections

from galenashed.gateway import _request


class PendingPrompts:
    """Prompt tokens that a target was sent and has not prefilled yet.

    Example::

        pending = PendingPrompts()
        pending.begin("request-1", 4000)
        assert pending.tokens == 4000
        pending.end("request-1")
    """

    __slots__ = ("_requests", "tokens")

    def __init__(self) -> None:
        self.tokens = 0
        self._requests: dict[str, int] = {}

    def begin(self, request: str, tokens: int) -> None:
        """Adds the prompt of a request that is being sent."""
        self.end(request)
        if tokens > 0:
            self._requests[request] = tokens
            self.tokens += tokens

    def end(self, request: str) -> None:
        """Removes a prompt, at the first event or the end of its request."""
        self.tokens -= self._requests.pop(request, 0)


class CachedParts:
    """Prompt parts that a target is assumed to cache, as they were sent to it.

    The least recently used parts are evicted beyond ``max_tokens`` tokens, and
    beyond a number of parts, as callers may send parts without tokens.
    """

    __slots__ = ("_cached", "_tokens", "max_tokens")

    def __init__(self, *, max_tokens: int):
        self.max_tokens = max_tokens
        self._cached: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def __contains__(self, part: str) -> bool:
        return part in self._cached

    def __len__(self) -> int:
        return len(self._cached)

    def record(
        self, prompt: tuple[_request.PromptPart, ...], max_parts: int
    ) -> None:
        """Records the shared parts of a prompt that was sent to the target.

        Keeps ``max_parts`` at most.
        """
        for part in prompt[:-1]:
            self._tokens += part.tokens - self._cached.get(part.id, 0)
            self._cached[part.id] = part.tokens
            self._cached.move_to_end(part.id)
        while self._tokens > self.max_tokens or len(self) > max_parts:
            _, tokens = self._cached.popitem(last=False)
            self._tokens -= tokens

    def uncached_tokens(self, prompt: tuple[_request.PromptPart, ...]) -> int:
        """Returns the tokens of a prompt that the target must prefill.

        Only parts before the first uncached one count as cached.
        """
        for position, part in enumerate(prompt[:-1]):
            if part.id not in self._cached:
                return sum(uncached.tokens for uncached in prompt[position:])
        return prompt[-1].tokens if prompt else 0
