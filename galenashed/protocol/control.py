"""Messages of the replicated control state.

Commands change the state through the log and must be safe to send twice.
Amounts are whole tokens, times are seconds since the epoch.
"""

import msgspec

from galenashed.protocol import routes as routes_wire


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """A model that teams may call."""

    name: str
    version: str
    adapters: list[str] = []
    max_output: int = 4096


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of equal targets.

    ``kind`` is ``engine`` or ``plain``.  ``cost`` is what one call of a
    plain service takes from the budget, in tokens.  ``concurrency`` bounds
    the requests in flight at one target.  ``timeout`` is how long a whole
    answer, or the head of a streamed one, may take, in seconds.
    ``fencing`` says whether the targets check fencing tokens.
    """

    name: str
    kind: str
    models: list[str] = []
    cost: int = 0
    concurrency: int = 16
    timeout: float = 300.0
    fencing: bool = False
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")


class Team(msgspec.Struct, frozen=True, kw_only=True):
    """A team and the SHA-256 of its key, in hexadecimal."""

    name: str
    key_hash: str
    weight: int = 1


class TopUp(msgspec.Struct, frozen=True, kw_only=True):
    """Adds ``tokens``, or takes them if negative, once per ``id``."""

    id: str
    tokens: int


class Budget(msgspec.Struct, frozen=True, kw_only=True):
    """A prepaid budget of a team, and what a note adds to it."""

    name: str
    team: str
    top_ups: list[TopUp] = []


class Withdrawn(msgspec.Struct, frozen=True, kw_only=True):
    """Names that a note takes out of force."""

    models: list[str] = []
    services: list[str] = []
    teams: list[str] = []
    budgets: list[str] = []
    targets: list[str] = []


class Note(msgspec.Struct, frozen=True, kw_only=True):
    """A release note: what is added or changed, and what is withdrawn."""

    number: int
    author: str
    models: list[Model] = []
    services: list[Service] = []
    teams: list[Team] = []
    budgets: list[Budget] = []
    withdrawn: Withdrawn = Withdrawn()


class Release(msgspec.Struct, kw_only=True):
    """All notes in force taken together, as entries use it."""

    number: int = 0
    digest: str = ""
    index: int = 0
    models: dict[str, Model] = {}
    services: dict[str, Service] = {}
    teams: dict[str, Team] = {}
    budgets: dict[str, str] = {}
    withdrawn_targets: list[str] = []


class Part(msgspec.Struct, frozen=True, array_like=True):
    """Tokens taken from one grant."""

    grant: str
    tokens: int


class Bill(msgspec.Struct, frozen=True, kw_only=True):
    """What one request costs.

    ``id`` names the request within its team; two bills of the same id count
    once.  ``attempt`` names the run that the bill is for.
    """

    id: str
    team: str
    budget: str
    subject: str
    attempt: str
    keyed: bool
    prompt_tokens: int
    output_tokens: int
    parts: list[Part]

    @property
    def tokens(self) -> int:
        return sum(part.tokens for part in self.parts)


class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """The kept answer of a non-idempotent call."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    whole: bool


# Commands


class PublishNote(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Puts a release note in force."""

    note: Note
    digest: str


class ReplaceRoutes(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Puts a routing table in force if its version is the highest so far.

    ``source`` is what the operator sent, kept to be read back unchanged.
    """

    table: routes_wire.RoutingTable
    source: bytes


class AcceptedNote(msgspec.Struct, frozen=True, kw_only=True):
    """A note and the index at which it was accepted."""

    index: int
    publish: PublishNote


class OpenGrant(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Asks for tokens to spend: at least ``need``, at best ``want``.

    ``number`` counts the holder's grants; ``sequence`` is that of its last
    settled batch of bills.  Any of the ``witnesses`` knows how far it may
    be spent, in the ``term`` in which the holder speaks to them.  With a
    ``limit`` the holder spends no more than that before it says so by
    :class:`Holding`.
    """

    grant: str
    budget: str
    holder: str
    number: int
    sequence: int
    need: int
    want: int
    term: int = 0
    witnesses: list[str] = []
    limit: int | None = None


class CloseGrant(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Returns what is left of a grant; its holder spends no more of it."""

    grant: str
    holder: str


class ShrinkGrant(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Returns what a grant holds beyond ``amount`` tokens.

    Its holder has stopped to spend that before it sends this.
    """

    grant: str
    holder: str
    amount: int


class SettleBills(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Bills requests; ``sequence`` counts the holder's batches from 1.

    ``first`` is the number of the first bill, which counts the holder's
    bills from 1 too.
    """

    holder: str
    sequence: int
    first: int
    bills: list[Bill]


class BillCopy(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """A bill as a witness has it, with its number."""

    number: int
    bill: Bill


class RecoverHolder(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """A witness's word on a holder that is gone.

    It has closed the holder's grants of a term: no more than ``limits`` of
    them can have been spent, and nothing of one that is not named.
    """

    holder: str
    term: int
    witness: str
    limits: dict[str, int]
    copies: list[BillCopy]


class Holding(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Says how far its holder may spend its grants, before it does.

    ``sent_at`` is when the holder sent this, by its machine's time of day.
    """

    holder: str
    sent_at: float
    limits: dict[str, int]


class SucceedHolder(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Says that ``holder`` runs where others of its ``place`` ran before.

    Only one process can run at a place, so the others are gone for good.
    ``started_at`` is when this process started, by the same clock.
    """

    place: str
    holder: str
    started_at: float


class ClaimCall(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Claims a non-idempotent call for one run by ``owner``."""

    team: str
    key: str
    digest: str
    owner: str


class FinishCall(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Records the outcome of a claimed call.

    ``outcome`` is ``run``, ``unknown`` or ``not_run``; the last one frees
    the key for another try.
    """

    team: str
    key: str
    owner: str
    outcome: str
    answer: Answer | None = None


class ReportCrash(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Says that a target died while it ran the request of ``digest``.

    ``attempt`` names the run; a trial by that name ends.
    """

    digest: str
    target: str
    attempt: str


class BeginTrial(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Asks to run a suspected request once; ``attempt`` names the run."""

    digest: str
    attempt: str


class EndTrial(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Ends a trial; a request that was ``answered`` is suspect no more."""

    digest: str
    attempt: str
    answered: bool


class ChangeReplicas(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Changes which control replicas take part.

    ``action`` is ``add``, which lets a new replica follow without a vote,
    ``promote``, which gives it one, or ``remove``.
    """

    action: str
    name: str
    actor: str
    address: str = ""


class Barrier(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Changes nothing; its commit shows that the leader still leads."""


Command = (
    PublishNote
    | ReplaceRoutes
    | OpenGrant
    | CloseGrant
    | ShrinkGrant
    | SettleBills
    | RecoverHolder
    | Holding
    | SucceedHolder
    | ClaimCall
    | FinishCall
    | ReportCrash
    | BeginTrial
    | EndTrial
    | ChangeReplicas
    | Barrier
)


class Stamped(msgspec.Struct, array_like=True, frozen=True):
    """A command with the time at which the leader took it."""

    at: float
    command: Command


# Replies


class Done(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The command took effect, at this or an earlier sending."""

    index: int


class Refused(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The command changed nothing; ``findings`` say why."""

    findings: list[str]


class Granted(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """``amount`` tokens may be spent from the grant."""

    grant: str
    amount: int


class Closed(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The grant was closed or refused before, or a later one was asked for."""

    grant: str


class Short(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """No grant: ``available`` tokens are free, ``elsewhere`` are granted."""

    available: int
    elsewhere: int


class Settled(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The batch is recorded; ``duplicates`` were billed before."""

    sequence: int
    duplicates: list[str]


class CallState(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The record of a non-idempotent call.

    ``state`` is ``claimed``, ``run``, ``unknown`` or ``not_run``;
    ``fresh`` is set if this very command made the claim.
    """

    owner: str
    digest: str
    state: str
    fresh: bool
    answer: Answer | None = None


class Succession(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """What became of the tokens of holders that are gone.

    ``freed`` came back, ``lost`` counts as spent, for it may have been;
    ``silent`` is the longest silence of one of them before its successor
    started, in seconds, None where that is not known.
    """

    freed: int
    lost: int
    silent: float | None = None


class Crashes(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """How many targets died running the request, as of ``index``."""

    count: int
    index: int


class Trial(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Whether a suspected request may be run once.

    If not, it has cost ``count`` targets already, or its trial elsewhere
    has not ended.
    """

    allowed: bool
    count: int


Reply = (
    Done
    | Refused
    | Granted
    | Closed
    | Short
    | Settled
    | CallState
    | Succession
    | Crashes
    | Trial
)


# Queries and the configuration feed


class AuditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the audit trail."""

    index: int
    at: float
    actor: str
    action: str
    subject: str
    digest: str
    result: str


class Balance(msgspec.Struct, frozen=True, kw_only=True):
    """What a budget stands at, in tokens.

    ``unwitnessed`` is the part of ``outstanding`` that is lost to the team
    if its holders die.
    """

    budget: str
    team: str
    prepaid: int
    settled: int
    outstanding: int
    unwitnessed: int
    pending_cut: int
    grants: int

    @property
    def free(self) -> int:
        return self.prepaid - self.settled - self.outstanding


class MemberStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A control replica as another one sees it.

    ``held`` is the index up to which it surely holds the log, None where
    that is not known, as it is by the leader.
    """

    name: str
    address: str
    learner: bool
    held: int | None


class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """How one control replica is doing; ``contact_age`` in seconds."""

    name: str
    role: str
    leader: str
    term: int
    commit: int
    applied: int
    note: int
    contact_age: float
    disk_bytes: int
    members: list[MemberStatus]
    followers: list["FollowerStatus"]


class FollowerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Which note an entry has in force; ``seen_ago`` in seconds.

    ``suspects`` is the index up to which it knows the suspected requests.
    """

    name: str
    incarnation: str
    note: int
    suspects: int
    seen_ago: float
    connected: bool


class Query(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Asks for balances, bills or audit records.

    ``kind`` is ``balance``, ``bill``, ``audit`` or ``routes``; ``subject``
    filters by budget or by request, ``team`` by team.
    """

    kind: str
    subject: str = ""
    team: str = ""
    limit: int = 100


class QueryReply(msgspec.Struct, frozen=True, kw_only=True):
    """What a :class:`Query` found, or with ``leader`` whom to ask."""

    leader: str | None = None
    balances: list[Balance] = []
    bills: list[Bill] = []
    audit: list[AuditRecord] = []
    routes_version: int = 0
    routes_source: bytes = b""


class FollowReport(msgspec.Struct, frozen=True, kw_only=True):
    """Sent by an entry: what it has in force.

    ``suspects`` is the index up to which it knows the suspected requests.
    """

    name: str
    incarnation: str
    number: int
    index: int
    suspects: int
    draining: bool = False
    routes_version: int = 0


class Suspects(msgspec.Struct, frozen=True, kw_only=True):
    """How many targets each suspected request has cost, as of ``index``.

    Requests are named by the digest of their content.
    """

    index: int
    crashes: dict[str, int]


class FollowEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Sent to an entry: what is new, or only a sign of life.

    ``age`` is the seconds since the replica was surely up to date.  News is
    either the whole ``release`` or the ``notes`` accepted since.
    ``replicas`` are the addresses of those that take part, ``routes`` the
    routing table if it is newer than what the entry has.
    """

    age: float
    release: Release | None = None
    notes: list[AcceptedNote] = []
    recalls: list[str] = []
    suspects: Suspects | None = None
    replicas: dict[str, str] | None = None
    routes: routes_wire.RoutingTable | None = None


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """What became of a proposed command: a reply, or who leads."""

    reply: Reply | None = None
    leader: str | None = None
