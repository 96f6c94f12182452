"""Data model of the replicated control state, as stored in snapshots."""

import msgspec

from galenashed.protocol import control as wire
from galenashed.protocol import routes as routes_wire


class GrantState(msgspec.Struct, kw_only=True):
    """Tokens granted to a holder, which is one incarnation of an entry.

    ``recovered_at`` is the time at which a witness first recovered the grant
    for a dead holder.  ``limit`` is the highest spending limit that the holder
    has announced, None if it does not announce limits.
    """

    holder: str
    amount: int
    settled: int = 0
    term: int = 0
    witnesses: list[str] = []
    recovered_at: float | None = None
    limit: int | None = None


class BudgetState(msgspec.Struct, kw_only=True):
    """A prepaid budget.

    ``settled + outstanding <= prepaid`` holds in every reachable state.
    ``pending_cut`` is the part of a reduction that waits for granted tokens
    to become free.  ``routed`` is set if the budget is the prepaid total of
    a team of the routing table.  ``lost`` is the part of ``settled`` without
    bills: tokens that dead holders may have spent.
    """

    name: str
    team: str
    prepaid: int = 0
    settled: int = 0
    outstanding: int = 0
    pending_cut: int = 0
    top_ups: dict[str, int] = {}
    grants: dict[str, GrantState] = {}
    routed: bool = False
    lost: int = 0

    @property
    def free(self) -> int:
        return self.prepaid - self.settled - self.outstanding


class HolderState(msgspec.Struct, kw_only=True):
    """What the replicas know about a holder.

    ``sequence`` is the number of its last batch of bills and ``billed`` the
    number of the last bill in it; ``recovered`` lists later bills that were
    settled from a witness's copies.  ``opened`` is the highest grant number.
    ``duplicates`` lists the attempts of the last batch that were billed
    before.  ``heard_at`` is the time at which the holder sent its last
    :class:`wire.Holding`, by the clock of its machine.
    """

    sequence: int = 0
    billed: int = 0
    recovered: list[int] = []
    opened: int = 0
    duplicates: list[str] = []
    at: float = 0.0
    heard_at: float | None = None


class CallRecord(msgspec.Struct, kw_only=True):
    """Record of a non-idempotent call; see :class:`wire.CallState`."""

    owner: str
    digest: str
    state: str
    at: float
    answer: wire.StoredResponse | None = None


class BillRecord(msgspec.Struct, kw_only=True):
    """The attempt of a keyed request that was billed."""

    attempt: str
    at: float


class CrashRecord(msgspec.Struct, kw_only=True):
    """The targets that died while running requests with the same digest.

    ``trial`` names the attempt that currently retries the request, if any.
    """

    targets: list[str]
    at: float
    trial: str = ""
    trial_at: float = 0.0


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a target under a request with a suspect.

    ``begun`` and ``known`` are those of :class:`wire.ReportLostTarget`;
    ``index`` is the log index of the report and ``at`` its time.
    """

    target: str
    request: str
    begun: bool
    known: int
    index: int
    at: float


class SuspectRecord(msgspec.Struct, kw_only=True):
    """The evidence against a part of prompts or a request.

    ``at`` is the time of the latest evidence.  ``trial_at`` is the time at
    which a trial that may still be in progress began, ``trials`` the number
    of trials that have begun.
    """

    evidence: list[Evidence]
    at: float
    quarantined: bool = False
    failed_trials: int = 0
    trial_due: bool = False
    trial_at: float | None = None
    trials: int = 0


class NoteRecord(msgspec.Struct, kw_only=True):
    """Record of an accepted release note."""

    number: int
    digest: str
    author: str
    index: int


class EvacuationRecord(msgspec.Struct, frozen=True, kw_only=True):
    """The order by which a failure domain is evacuated."""

    index: int
    at: float
    actor: str


class ControlState(msgspec.Struct, kw_only=True):
    """The complete replicated state.

    ``now`` is the latest timestamp of any command, in seconds since the
    epoch; it never decreases.  ``recent_notes`` holds every note accepted
    after log index ``notes_complete_after``.  ``suspects_index`` is the log
    index of the last change of ``crashes``, ``quarantine_index`` that of the
    last change of ``suspects``.  ``retired_replicas`` lists the
    names of removed replicas, which can't be used again.
    ``evacuations`` holds the evacuated failure domains, and
    ``evacuations_index`` is the log index of their last change.
    """

    now: float = 0.0
    next_expiry: float = 0.0
    release: wire.Release = msgspec.field(default_factory=wire.Release)
    notes: dict[int, NoteRecord] = {}
    recent_notes: list[wire.AcceptedNote] = []
    notes_complete_after: int = 0
    budgets: dict[str, BudgetState] = {}
    holders: dict[str, HolderState] = {}
    calls: dict[str, dict[str, CallRecord]] = {}
    call_count: int = 0
    billed: dict[str, dict[str, BillRecord]] = {}
    recent_bills: list[wire.Bill] = []
    crashes: dict[str, CrashRecord] = {}
    suspects_index: int = 0
    suspects: dict[str, SuspectRecord] = {}
    quarantine_index: int = 0
    retired_replicas: list[str] = []
    routes: routes_wire.RoutingTable = routes_wire.RoutingTable()
    routes_source: bytes = b""
    audit: list[wire.AuditRecord] = []
    evacuations: dict[str, EvacuationRecord] = {}
    evacuations_index: int = 0
