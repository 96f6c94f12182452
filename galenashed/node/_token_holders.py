"""Decides which entries hold prepaid tokens ahead of demand; does no I/O.

The load that these decisions answer: most entries lose contact with control at
once, for up to ten seconds, while callers keep using those that they were
told of before.  What these entries hold then is all that can be spent, and
tokens at entries that no caller uses are of no use to anybody.
"""

import random
import typing

from galenashed import budget
from galenashed.protocol import gossip as wire
from galenashed.protocol import routes as routes_wire

# Share of a team's prepaid total that all named entries together request ahead
# of demand, so that the team's first request at each finds tokens.
SPARE_SHARE = 0.25
# How long the named entries must stay as many before one of them prefetches:
# while a fleet starts, the first ones would take the shares of the rest.
STABLE_SECONDS = 3.0
# Entries asked at once for a loan, and how often others are asked for what is
# still missing: enough to find tokens, and few at any fleet size.
LENDERS_ASKED = 3
MAX_LOAN_ROUNDS = 3
# The next ones are asked once the others have not answered for this long: a
# few round trips within a region.
NEXT_LENDERS_SECONDS = 0.03
LENDER_STATES = ("serving", "cut-off")


class Naming:
    """Whether callers are sent to this entry, and to how many in all.

    ``prefetched`` tells whether it holds its share of tokens.
    """

    __slots__ = ("_changed_at", "count", "is_named", "prefetched")

    def __init__(self) -> None:
        self.is_named = False
        self.count = 0
        self.prefetched = False
        self._changed_at = 0.0

    def update(self, *, is_named: bool, count: int, now: float) -> bool:
        """Applies what is known now; returns whether ``is_named`` changed."""
        changed = is_named != self.is_named
        if changed or count != self.count:
            self._changed_at = now
        self.is_named = is_named
        self.count = count
        if not is_named:
            self.prefetched = False
        return changed

    def prefetch_due(self, now: float) -> bool:
        """Returns, once, that this entry should request its share."""
        if not self.is_named or self.prefetched:
            return False
        if now - self._changed_at < STABLE_SECONDS:
            return False
        self.prefetched = True
        return True


def policy(*, is_named: bool) -> budget.Policy:
    """Returns the policy of an entry that callers are sent to, or not."""
    return budget.POLICIES["cut-tolerant" if is_named else "standby"]


def spare_tokens(prepaid: int, named_count: int) -> int:
    """Returns the tokens of a team that a named entry holds without demand.

    Many entries that ask for a fixed number each would use up a small budget
    before any of it is spent.
    """
    return int(prepaid * SPARE_SHARE / max(1, named_count))


def hold_tokens(
    manager: budget.BudgetManager,
    table: routes_wire.RoutingTable,
    named_count: int,
    *,
    prefetch: bool,
) -> None:
    """Limits the tokens held without demand, and requests them."""
    for team in table.teams:
        if team.prepaid is None:
            continue
        spare = spare_tokens(team.prepaid, named_count)
        manager.set_max_spare(team.name, spare)
        if prefetch:
            manager.prefetch(team.name, spare)


def rank_lenders(
    own: str,
    alive: typing.Iterable[wire.Instance],
    rng: random.Random,
    domain: str = "",
) -> list[str]:
    """Returns the addresses of the entries to ask for a loan, in order.

    Entries without requests have returned their tokens, so those that serve
    callers come first.  Of these, a few of the failure domain ``domain`` do:
    they are near, and a partition most likely leaves them in reach.  The ones
    after them are of other domains, because all entries of a domain whose
    callers need more than usual run short at once.
    """
    peers = [
        peer
        for peer in alive
        if peer.name != own and peer.state in LENDER_STATES
    ]
    rng.shuffle(peers)
    peers.sort(key=lambda peer: peer.request_rate <= 0.0)
    near = [
        peer
        for peer in peers
        if peer.failure_domain == domain and peer.request_rate > 0.0
    ][:LENDERS_ASKED]
    peers = [peer for peer in peers if peer not in near]
    peers.sort(
        key=lambda peer: (
            peer.request_rate <= 0.0,
            peer.failure_domain == domain,
        )
    )
    ranked = (near + peers)[: LENDERS_ASKED * MAX_LOAN_ROUNDS]
    return [peer.peer_address for peer in ranked]


class NullWitnesses:
    """Has no witnesses: no other entry records what this one may spend."""

    def choose(self) -> list[str]:
        """See :class:`galenashed.budget.Witnesses`."""
        return []

    def send(self, notes) -> None:
        """See :class:`galenashed.budget.Witnesses`."""
