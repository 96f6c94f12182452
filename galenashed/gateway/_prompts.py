"""What an entry knows of the prompts that one target holds or must read.

Load pattern: long prompts that arrive in clumps.  An engine reads one after
the other, so that the next first event waits for all of them; the load that
targets report comes too late to see a clump, and does not tell how long the
prompts are.  So an entry counts the prompt tokens that it has sent
and that have not led to an event yet.
"""

import collections

from galenashed.gateway import _request


class Unread:
    """Prompt tokens that a target was sent and has not read yet.

    Example::

        unread = Unread()
        unread.begin("request-1", 4000)
        assert unread.tokens == 4000
        unread.end("request-1")
    """

    __slots__ = ("_requests", "tokens")

    def __init__(self) -> None:
        self.tokens = 0
        self._requests: dict[str, int] = {}

    def begin(self, request: str, tokens: int) -> None:
        """Counts a prompt that is sent."""
        self.end(request)
        if tokens > 0:
            self._requests[request] = tokens
            self.tokens += tokens

    def end(self, request: str) -> None:
        """Counts a prompt as read; once its first event has come."""
        self.tokens -= self._requests.pop(request, 0)


class Parts:
    """Parts of prompts that a target has read for this entry.

    The least recently used ones are forgotten beyond ``room`` tokens.
    """

    __slots__ = ("_held", "_tokens", "room")

    def __init__(self, *, room: int):
        self.room = room
        self._held: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._tokens = 0

    def __contains__(self, part: str) -> bool:
        return part in self._held

    def note(self, prompt: tuple[_request.Part, ...]) -> None:
        """Notes the shared parts of a prompt that was sent there."""
        for part in prompt[:-1]:
            self._tokens += part.tokens - self._held.get(part.id, 0)
            self._held[part.id] = part.tokens
            self._held.move_to_end(part.id)
        while self._tokens > self.room:
            _, tokens = self._held.popitem(last=False)
            self._tokens -= tokens

    def uncached_tokens(self, prompt: tuple[_request.Part, ...]) -> int:
        """Returns the tokens to be read; parts are kept up to a gap."""
        for position, part in enumerate(prompt[:-1]):
            if part.id not in self._held:
                return sum(later.tokens for later in prompt[position:])
        return prompt[-1].tokens if prompt else 0
