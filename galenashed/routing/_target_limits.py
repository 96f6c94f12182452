"""Shares out the request rates that targets name as their limits; no I/O.

A target in need names in its answers how many requests a second it takes from
all entries together.  The entries share a limit without asking each other for
each request: gossip tells all of them of it, and a hash of the target's and
the entries' names selects the few that use it, each with an equal part.  There
are as many users as have requests for twice the limit, but not many more than
the limit allows requests a second: the idle tokens of hundreds of entries,
spent at once, would exceed it.

Only entries that take a fair part of the callers' requests are selected.  A
user that has just been selected, or has just learned of a limit, begins
without tokens: another one may have spent them, and this entry may have sent
more than its part before.
"""

import heapq
import typing

from galenashed.protocol import gossip as wire
from galenashed.routing import _users

# A limit below this is raised to it, so that a target that has named 0 is
# asked now and then whether it still does.
MIN_LIMIT = 0.1
# Seconds of its part that an entry may save up, but at least one request.
SAVED_SECONDS = 0.5
# Entries with at least this share of the most requests of any entry may use a
# limit.
MIN_LOAD_SHARE = 0.25
# Users are selected until their requests are this many times the limit.
DEMAND_FACTOR = 2.0
# Users beyond the number of requests a second of the limit.
MAX_EXTRA_USERS = 3
# After this time without an answer that names it, all entries share a limit:
# the selected ones may have no request to send.
UNCONFIRMED_SECONDS = 10.0
# A limit that no answer has confirmed for this long is forgotten: hardly any
# request is sent to its target.
RETENTION_SECONDS = 60.0
MAX_FORWARDED = 64


class Sender(typing.Protocol):
    """An entry that may use limits."""

    @property
    def name(self) -> str: ...

    @property
    def request_rate(self) -> float:
        """Requests a second that it takes from callers."""


class _Limit:
    """The newest observation of a target's limit, and this entry's part.

    ``requests_per_second`` is None if the target's last answer named none;
    ``share`` is what this entry may send of it.  ``candidates`` are the first
    entries by the hash among those that may use it.
    """

    __slots__ = (
        "candidates",
        "observed_at",
        "refilled_at",
        "requests_per_second",
        "share",
        "shared_by_all",
        "tokens",
    )

    def __init__(self, *, now: float):
        self.requests_per_second: float | None = None
        self.observed_at = now
        self.candidates: list[str] | None = None
        self.share = 0.0
        self.shared_by_all = False
        self.tokens = 0.0
        self.refilled_at = now

    def refill(self, now: float) -> None:
        capacity = max(1.0, SAVED_SECONDS * self.share)
        gained = (now - self.refilled_at) * self.share
        self.tokens = min(capacity, self.tokens + gained)
        self.refilled_at = now


class TargetLimits:
    """The limits of targets and what this entry may use of them.

    Targets are named by their incarnation, as a target that has started again
    may name another limit or none.  Times are in seconds on one monotonic
    clock.

    Parameters
    ----------
    name : str
        Name of this entry.

    Example::

        limits = TargetLimits(name="entry-1")
        limits.set_senders(senders, now=1.0)
        limits.observe("engine-1/a", 1.5, now=1.0)
        if "engine-1/a" not in limits.exhausted(now=2.0):
            limits.on_send("engine-1/a", now=2.0)
    """

    def __init__(self, *, name: str):
        self.name = name
        self._limits: dict[str, _Limit] = {}
        # Requests a second of the entries that may use limits, by name.
        self._senders: dict[str, float] = {name: 0.0}

    def set_senders(
        self, senders: typing.Iterable[Sender], now: float
    ) -> None:
        """Sets the entries that serve callers, this one included if it does.

        Forgets limits that were not confirmed for long.
        """
        known = list(senders)
        most = max((sender.request_rate for sender in known), default=0.0)
        rates = {
            sender.name: sender.request_rate
            for sender in known
            if sender.request_rate >= MIN_LOAD_SHARE * most
        }
        changed = rates.keys() != self._senders.keys()
        self._senders = rates
        for target, limit in list(self._limits.items()):
            age = now - limit.observed_at
            if age > RETENTION_SECONDS:
                del self._limits[target]
                continue
            if changed:
                limit.candidates = None
            limit.shared_by_all = age > UNCONFIRMED_SECONDS
            self._update_share(target, limit, now)

    def observe(
        self, target: str, requests_per_second: float | None, now: float
    ) -> bool:
        """Applies what an answer of a target says; returns whether it is news.

        ``requests_per_second`` is None if the answer names no limit.
        """
        limit = self._limits.get(target)
        before = None if limit is None else limit.requests_per_second
        if requests_per_second is None and before is None:
            return False
        self._apply(target, requests_per_second, observed_at=now, now=now)
        return before != requests_per_second

    def _apply(
        self,
        target: str,
        requests_per_second: float | None,
        *,
        observed_at: float,
        now: float,
    ) -> None:
        limit = self._limits.setdefault(target, _Limit(now=now))
        changed = limit.requests_per_second != requests_per_second
        limit.observed_at = observed_at
        limit.requests_per_second = requests_per_second
        if changed or limit.shared_by_all:
            limit.candidates = None
            limit.shared_by_all = False
            self._update_share(target, limit, now)

    def _update_share(self, target: str, limit: _Limit, now: float) -> None:
        limit.refill(now)
        if not limit.share:
            limit.tokens = 0.0
        limit.share = 0.0
        if limit.requests_per_second is not None:
            rate = max(MIN_LIMIT, limit.requests_per_second)
            users = list(self._senders)
            if not limit.shared_by_all:
                users = self._select_users(target, limit, rate)
            if self.name in users:
                limit.share = rate / len(users)

    def _select_users(
        self, target: str, limit: _Limit, rate: float
    ) -> list[str]:
        """Returns the entries that use a limit of ``rate`` a second."""
        if limit.candidates is None:
            limit.candidates = _users.find_candidates(
                target, self._senders, int(rate) + MAX_EXTRA_USERS
            )
        return _users.select(
            limit.candidates, self._senders, DEMAND_FACTOR * rate
        )

    @property
    def sender_count(self) -> int:
        """The number of entries that may use limits."""
        return max(1, len(self._senders))

    def divide(self, target: str, total: int) -> int:
        """Returns this entry's part of something that a target has.

        The parts of the entries that serve callers add up to ``total``; a
        hash selects those that get one more, or any at all.
        """
        if self.name not in self._senders:
            return 0
        part, rest = divmod(total, len(self._senders))
        if not rest:
            return part
        own = _users.order(target, self.name)
        before = sum(
            _users.order(target, name) < own for name in self._senders
        )
        return part + (before < rest)

    # Requests

    def exhausted(self, now: float) -> set[str]:
        """Returns the targets to which this entry must not send now."""
        names = set()
        for target, limit in self._limits.items():
            if limit.requests_per_second is None:
                continue
            limit.refill(now)
            if limit.tokens < 1.0:
                names.add(target)
        return names

    def is_limited(self, target: str) -> bool:
        """Whether a target is known to name a limit."""
        limit = self._limits.get(target)
        return limit is not None and limit.requests_per_second is not None

    def on_send(self, target: str, now: float) -> None:
        """Records a request to a target, of whatever kind."""
        limit = self._limits.get(target)
        if limit is not None:
            limit.refill(now)
            limit.tokens -= 1.0

    def wait_seconds(self, target: str, now: float) -> float:
        """Returns the time until a target takes another request.

        If this entry doesn't use the limit, that is the mean time between the
        requests of those that do.
        """
        limit = self._limits.get(target)
        if limit is None or limit.requests_per_second is None:
            return 0.0
        if not limit.share:
            return 1.0 / max(MIN_LIMIT, limit.requests_per_second)
        limit.refill(now)
        return max(0.0, (1.0 - limit.tokens) / limit.share)

    # Gossip

    def forwarded(self, now: float) -> list[wire.TargetLimit]:
        """Returns the newest observations, to forward to other entries."""
        newest = heapq.nlargest(
            MAX_FORWARDED,
            self._limits.items(),
            key=lambda item: item[1].observed_at,
        )
        return [
            wire.TargetLimit(
                target=target,
                requests_per_second=limit.requests_per_second,
                age=round(now - limit.observed_at, 3),
            )
            for target, limit in newest
        ]

    def receive(
        self, observations: typing.Iterable[wire.TargetLimit], now: float
    ) -> None:
        """Applies observations of other entries that are newer."""
        for item in observations:
            observed_at = now - max(0.0, item.age)
            known = self._limits.get(item.target)
            if known is not None and observed_at <= known.observed_at:
                continue
            if known is None and item.requests_per_second is None:
                continue
            self._apply(
                item.target,
                item.requests_per_second,
                observed_at=observed_at,
                now=now,
            )
