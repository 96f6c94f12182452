"""Shares out the requests that cold targets take; no I/O.

A target that has just started is cold: it sustains a few requests a second
from all entries together and fails well above that.  The load that breaks it
comes when a whole failure domain returns cold and every entry sends it what a
warm target would get.

As with the limits that targets name (:mod:`_target_limits`), a hash selects
the few entries that use a cold target.  Unlike these, a cold target must not
get too much in any second, whatever the entries know of one another.  So:

- An entry that has just started uses no cold target until it has had contact
  with control, and so with the others, for ``SETTLE_SECONDS``.
- An entry that hears less than half of the entries that it heard lately uses
  none: others have taken its place, or soon will.
- Knowledge that is older than ``VIEW_SECONDS``, as after a freeze, counts as
  none.
- All users together use half of what the target bears, so that two sets of
  users without an entry in common don't exceed it.  Two sets exist while
  entries learn of a change one after the other, if an entry is heard by
  nobody but hears all, and in a partition into halves.
- A user's part does not depend on which entries it takes for the others, or
  on their load.
- No user saves up requests: one that has been idle may send a single one.
"""

import itertools
import typing

from galenashed.routing import _users

# Of its rate, what a cold target bears in any second: this many times the
# rate, and this many requests.
OVERAGE = 1.5
SLACK = 5.0
# Disjoint sets of users that together stay below that.
MAX_SETS = 2
# Entries that may take themselves for users without that the bound is
# exceeded, beyond the number of users, where a set has a single one.
MIN_SPARE_USERS = 2
# Requests that a user may send in a second, at least.  That is one more than
# its part a second, so that many users make less of a set's rate.
SET_RATE_PER_USER = 3.5
# Entries with at least this share of the most requests of any entry are users.
MIN_LOAD_SHARE = 0.25
# Time after which a started entry and the others know of one another.
SETTLE_SECONDS = 2.0
# How long an entry that is no longer heard counts as one of all entries, for
# those that have contact with control.
MEMORY_SECONDS = 20.0
# Age from which knowledge of the other entries is not used.
VIEW_SECONDS = 1.0
# Time after which callers may find a share of an entry that uses the target.
OTHER_ENTRY_SECONDS = 0.5
SERVING_STATES = ("serving", "cut-off")


class Entry(typing.Protocol):
    """An entry that is alive, as announced."""

    @property
    def name(self) -> str: ...

    @property
    def state(self) -> str:
        """``serving``, ``cut-off``, ``draining`` or another one."""

    @property
    def isolated(self) -> bool:
        """Whether it reaches no target."""

    @property
    def request_rate(self) -> float:
        """Requests a second that it takes from callers."""


class _Share:
    """This entry's part of a cold target's rate."""

    __slots__ = ("order", "part", "rate", "refilled_at", "tokens", "view")

    def __init__(self, *, rate: float, now: float):
        self.rate = rate
        # All entries by the hash: which of them may be users changes often.
        self.order: list[str] = []
        self.part = 0.0
        self.tokens = 0.0
        self.refilled_at = now
        # Number of the view of the other entries that it was derived from.
        self.view = -1

    def refill(self, now: float) -> None:
        gained = (now - self.refilled_at) * self.part
        self.tokens = min(1.0, self.tokens + gained)
        self.refilled_at = now

    def set_part(self, part: float, now: float) -> None:
        self.refill(now)
        if not part or not self.part:
            # Another entry may have used the part until now.
            self.tokens = min(0.0, self.tokens)
        self.part = part


class ColdLimits:
    """What this entry may send to cold targets.

    Targets are named by their incarnation.  Times are in seconds on one
    monotonic clock.

    Parameters
    ----------
    name : str
        Name of this entry.

    Example::

        limits = ColdLimits(name="entry-1")
        limits.set_entries(entries, in_contact=True, now=1.0)
        if limits.may_send("engine-1/a", 12.0, now=4.0):
            limits.on_send("engine-1/a", now=4.0)
    """

    def __init__(self, *, name: str):
        self.name = name
        self._shares: dict[str, _Share] = {}
        # Entries that may be users.
        self._users: set[str] = set()
        # When each entry was last alive, and the view since which these are
        # the same entries.
        self._heard_at: dict[str, float] = {}
        self._heard_view = 0
        self._hears_enough = False
        self._view = 0
        self._updated_at = float("-inf")
        self._contact_since: float | None = None
        self._settled = False

    def set_entries(
        self,
        entries: typing.Iterable[Entry],
        *,
        in_contact: bool,
        now: float,
    ) -> None:
        """Sets the entries that are alive, this one included.

        ``in_contact`` tells whether this entry has contact with control.
        """
        known = list(entries)
        before = set(self._heard_at)
        for entry in known:
            if entry.state == "draining":
                # It stops as planned, so it isn't missed.
                self._heard_at.pop(entry.name, None)
            else:
                self._heard_at[entry.name] = now
        for name, heard_at in list(self._heard_at.items()):
            # Without control, they may be on the other side of a partition.
            if in_contact and now - heard_at > MEMORY_SECONDS:
                del self._heard_at[name]
        heard = sum(at == now for at in self._heard_at.values())
        self._hears_enough = heard >= len(self._heard_at) / 2
        self._set_users(known)
        self._updated_at = now
        self._view += 1
        if self._heard_at.keys() != before:
            self._heard_view = self._view
        if not self._settled:
            if not in_contact:
                self._contact_since = None
            elif self._contact_since is None:
                self._contact_since = now
            elif now - self._contact_since >= SETTLE_SECONDS:
                self._settled = True

    def _set_users(self, entries: list[Entry]) -> None:
        usable = [
            entry
            for entry in entries
            if entry.state in SERVING_STATES and not entry.isolated
        ]
        most = max((entry.request_rate for entry in usable), default=0.0)
        self._users = {
            entry.name
            for entry in usable
            if entry.request_rate >= MIN_LOAD_SHARE * most
        }

    def _may_use(self, now: float) -> bool:
        return (
            self._settled
            and self._hears_enough
            and now - self._updated_at <= VIEW_SECONDS
        )

    def _share(self, target: str, rate: float, now: float) -> _Share:
        share = self._shares.get(target)
        if share is None:
            share = self._shares[target] = _Share(rate=rate, now=now)
        if not self._may_use(now):
            share.set_part(0.0, now)
            share.view = -1
        elif share.view != self._view or share.rate != rate:
            share.set_part(self._find_part(target, share, rate), now)
            share.view = self._view
            share.rate = rate
        else:
            share.refill(now)
        return share

    def _find_part(self, target: str, share: _Share, rate: float) -> float:
        """Returns the requests a second that this entry may send."""
        bound = OVERAGE * rate + SLACK
        count = max(1, int(bound / MAX_SETS / SET_RATE_PER_USER))
        if share.view < self._heard_view:
            share.order = sorted(
                self._heard_at, key=lambda name: _users.order(target, name)
            )
        users = (name for name in share.order if name in self._users)
        if self.name not in itertools.islice(users, count):
            return 0.0
        # The same for users that take different entries for the others.
        count = min(count, len(self._heard_at))
        most_users = max(MAX_SETS * count, count + MIN_SPARE_USERS)
        most_users = min(most_users, MAX_SETS * len(self._heard_at))
        return min(rate / count, bound / most_users - 1.0)

    def may_send(self, target: str, rate: float, now: float) -> bool:
        """Whether this entry may send a cold target a request now.

        ``rate`` is what the target takes a second from all entries together.
        """
        return self._share(target, rate, now).tokens >= 1.0

    def on_send(self, target: str, now: float) -> None:
        """Records a request to a target, cold or not."""
        share = self._shares.get(target)
        if share is not None:
            share.refill(now)
            share.tokens -= 1.0

    def wait_seconds(self, target: str, rate: float, now: float) -> float:
        """Returns the time until a cold target takes another request.

        If this entry is no user of it, that is the time after which another
        one is worth trying.
        """
        share = self._share(target, rate, now)
        if share.part:
            return max(0.0, (1.0 - share.tokens) / share.part)
        if self._settled:
            return max(1.0 / rate, OTHER_ENTRY_SECONDS)
        since = now if self._contact_since is None else self._contact_since
        return max(1.0 / rate, since + SETTLE_SECONDS - now)

    def forget(self, target: str) -> None:
        """Forgets a target that is not cold any more."""
        self._shares.pop(target, None)
