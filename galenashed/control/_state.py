"""The data of the replicated control state, which a snapshot holds whole."""

import msgspec

from galenashed.protocol import control as wire
from galenashed.protocol import routes as routes_wire


class GrantState(msgspec.Struct, kw_only=True):
    """Tokens handed to one incarnation of one entry.

    ``recovered_at`` is set once a witness has shrunk it for a holder that
    is gone.  ``limit`` is how far the holder has said that it spends it,
    None if it does not say.
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
    ``pending_cut`` is what a note has taken that is not yet free.
    ``routed`` is set for the prepaid total of a team of the routing table.
    ``lost`` is the part of ``settled`` for which there is no bill: what
    holders that are gone may have spent.
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
    """What is known of one incarnation of an entry.

    ``sequence`` is that of the last batch of bills, ``billed`` the number
    of the last bill in it, ``recovered`` later ones that a witness brought.
    ``opened`` is the highest number of a grant.  ``heard_at`` is
    when it sent its last :class:`wire.Holding`, by its machine's clock.
    """

    sequence: int = 0
    billed: int = 0
    recovered: list[int] = []
    opened: int = 0
    duplicates: list[str] = []
    at: float = 0.0
    heard_at: float | None = None


class CallRecord(msgspec.Struct, kw_only=True):
    """A non-idempotent call; see :class:`wire.CallState`."""

    owner: str
    digest: str
    state: str
    at: float
    answer: wire.Answer | None = None


class BillRecord(msgspec.Struct, kw_only=True):
    """Which attempt of a keyed request was billed."""

    attempt: str
    at: float


class CrashRecord(msgspec.Struct, kw_only=True):
    """The targets that died running a request of one digest.

    ``trial`` names the run by which it is tried again, if one is open.
    """

    targets: list[str]
    at: float
    trial: str = ""
    trial_at: float = 0.0


class NoteRecord(msgspec.Struct, kw_only=True):
    """An accepted release note."""

    number: int
    digest: str
    author: str
    index: int


class ControlState(msgspec.Struct, kw_only=True):
    """Everything that the control replicas agree on.

    ``now`` is the latest time stamped on a command, in seconds since the
    epoch; it never steps back.  ``recent_notes`` holds every note accepted
    after index ``notes_complete_after``.  ``suspects_index`` is that of the
    last change of ``crashes``.  ``retired_replicas`` took part once.
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
    retired_replicas: list[str] = []
    routes: routes_wire.RoutingTable = routes_wire.RoutingTable()
    routes_source: bytes = b""
    audit: list[wire.AuditRecord] = []
