"""What an entry knows of one target."""

from galenashed.gateway import _prompts
from galenashed.gateway import _request
from galenashed.gateway import _slowness
from galenashed.protocol import gossip as wire

# Tokens of shared parts that a target is assumed to cache: about half of the
# memory of the emulated engines, the rest is for running requests.
MAX_CACHED_TOKENS = 120_000


class TargetState:
    """The announcement, reported load and local requests of a target."""

    __slots__ = (
        "announced",
        "answered_recently",
        "cached_parts",
        "consecutive_failures",
        "ejected_until",
        "in_flight",
        "in_flight_tokens",
        "paused_until",
        "pending_prompts",
        "report",
        "reported_at",
        "same_domain",
        "seen_down_at",
        "seen_down_sequence",
        "sent_since_report",
        "slowness",
        "slowness_average",
    )

    def __init__(self, *, announced: wire.Target, same_domain: bool):
        self.announced = announced
        self.same_domain = same_domain
        self.report = wire.Load()
        self.reported_at: float | None = None
        # Updated by :meth:`Targets.set_alive`.
        self.answered_recently = False
        self.sent_since_report = 0
        self.slowness_average = _slowness.SlownessAverage()
        # How much longer than usual work takes there, as of the last report
        # or :meth:`Targets.set_alive`.
        self.slowness = _slowness.USUAL
        self.in_flight = 0
        # Tokens of these requests, at their most.
        self.in_flight_tokens = 0
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        # Until when it wants no requests of this entry.
        self.paused_until = 0.0
        # When its address refused connections, until it has reported since,
        # and the number of the last report that it may have sent before.
        self.seen_down_at: float | None = None
        self.seen_down_sequence = 0
        self.pending_prompts = _prompts.PendingPrompts()
        self.cached_parts = _prompts.CachedParts(max_tokens=MAX_CACHED_TOKENS)

    @property
    def name(self) -> str:
        return self.announced.name

    @property
    def incarnation_name(self) -> str:
        return f"{self.name}/{self.announced.incarnation}"

    @property
    def slots(self) -> int:
        return self.announced.slots

    @property
    def running(self) -> int:
        """Running requests: the higher of the reported and the local count."""
        return max(
            self.report.running + self.sent_since_report, self.in_flight
        )

    @property
    def waiting(self) -> int:
        return self.report.waiting

    @property
    def pending_prefill_tokens(self) -> int:
        """Prompt tokens sent to it that it has not prefilled yet."""
        return self.pending_prompts.tokens

    def uncached_tokens(self, prompt: tuple[_request.PromptPart, ...]) -> int:
        """Tokens of a prompt that it is not known to have cached."""
        return self.cached_parts.uncached_tokens(prompt)

    def report_age(self, now: float) -> float | None:
        """Returns the seconds since the last report; None before one."""
        if self.reported_at is None:
            return None
        return round(now - self.reported_at, 3)
