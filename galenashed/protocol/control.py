"""Messages of the replicated control state.

Commands change the state through the replicated log and must be idempotent,
as a sender may repeat them.  Amounts are whole tokens, times are seconds since
the epoch.
"""

import msgspec

from galenashed.protocol import routes as routes_wire
from galenashed.protocol import texts

# Callers choose the path and the id of a request, and replicas keep thousands
# of bills.
MAX_BILL_TEXT_BYTES = 100
# Callers name the parts of prompts, and replicas keep hundreds of suspects.
MAX_PART_ID_BYTES = 100


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """A model that teams may use."""

    name: str
    version: str
    adapters: list[str] = []
    max_output: int = 4096


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A group of equivalent targets.

    ``kind`` is ``engine`` or ``plain``.  ``cost`` is the price of one call of
    a plain service, in tokens of the budget.  ``concurrency`` limits the
    requests in flight at one target.  ``timeout`` limits the time to a
    complete response, or to the head of a streamed one and between its events,
    in seconds.
    ``fencing`` tells whether the targets check fencing tokens.
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
    """Adds ``tokens``, negative for a cut, to a budget once per ``id``."""

    id: str
    tokens: int


class Budget(msgspec.Struct, frozen=True, kw_only=True):
    """A prepaid budget of a team, with the top-ups in a release note."""

    name: str
    team: str
    top_ups: list[TopUp] = []


class Withdrawn(msgspec.Struct, frozen=True, kw_only=True):
    """Names of the items that a release note withdraws."""

    models: list[str] = []
    services: list[str] = []
    teams: list[str] = []
    budgets: list[str] = []
    targets: list[str] = []


class Note(msgspec.Struct, frozen=True, kw_only=True):
    """A release note: configuration to add, change or withdraw."""

    number: int
    author: str
    models: list[Model] = []
    services: list[Service] = []
    teams: list[Team] = []
    budgets: list[Budget] = []
    withdrawn: Withdrawn = Withdrawn()


class Release(msgspec.Struct, kw_only=True):
    """The configuration that results from all release notes in force."""

    number: int = 0
    digest: str = ""
    index: int = 0
    models: dict[str, Model] = {}
    services: dict[str, Service] = {}
    teams: dict[str, Team] = {}
    budgets: dict[str, str] = {}
    withdrawn_targets: list[str] = []


class BillPart(msgspec.Struct, frozen=True, array_like=True):
    """The tokens of a bill that are charged to one grant."""

    grant: str
    tokens: int


class Bill(msgspec.Struct, frozen=True, kw_only=True):
    """The tokens charged for one request.

    ``id`` identifies the request within its team.  If ``keyed``, the request
    has an idempotency key, and bills of the same ``id`` are charged only
    once.  ``attempt`` identifies the attempt that the bill is for.
    """

    id: str
    team: str
    budget: str
    subject: str
    attempt: str
    keyed: bool
    prompt_tokens: int
    output_tokens: int
    parts: list[BillPart]

    @property
    def tokens(self) -> int:
        return sum(part.tokens for part in self.parts)


def shorten_bill(bill: Bill) -> Bill:
    """Returns a bill whose texts from callers have a bounded length.

    The id and the attempt of a keyed bill are kept, as bills are charged once
    by these; idempotency keys are bounded where they are received.
    """
    subject = texts.shorten(bill.subject, MAX_BILL_TEXT_BYTES)
    id, attempt = bill.id, bill.attempt
    if not bill.keyed:
        id = texts.shorten(id, MAX_BILL_TEXT_BYTES)
        attempt = texts.shorten(attempt, MAX_BILL_TEXT_BYTES)
    if (subject, id, attempt) == (bill.subject, bill.id, bill.attempt):
        return bill
    return msgspec.structs.replace(
        bill, subject=subject, id=id, attempt=attempt
    )


class StoredResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The stored response of a non-idempotent call."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    whole: bool


# Commands


class PublishNote(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Publishes a release note."""

    note: Note
    digest: str


class ReplaceRoutes(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Replaces the routing table if the version of the new one is higher.

    ``source`` is the original text from the operator, stored so that it can
    be read back unchanged.
    """

    table: routes_wire.RoutingTable
    source: bytes


class AcceptedNote(msgspec.Struct, frozen=True, kw_only=True):
    """A published release note and the log index of its acceptance."""

    index: int
    publish: PublishNote


class OpenGrant(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Requests a grant of at least ``need`` and preferably ``want`` tokens.

    ``number`` counts the holder's grants; ``sequence`` is that of its last
    settled batch of bills.  Each of the ``witnesses`` stores the spending
    limit of the grant under the holder's current ``term``.  With a ``limit``,
    the holder spends no more than that until it has announced a higher limit
    by :class:`Holding`.
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
    """Returns the rest of a grant, which its holder no longer spends."""

    grant: str
    holder: str


class ShrinkGrant(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Returns the tokens of a grant beyond ``amount``.

    The holder must stop spending these tokens before it sends the command.
    """

    grant: str
    holder: str
    amount: int


class SettleBills(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Settles a batch of bills.

    ``sequence`` counts the holder's batches from 1.  ``first`` is the number
    of the first bill of the batch, counted over all bills of the holder from
    1.
    """

    holder: str
    sequence: int
    first: int
    bills: list[Bill]


class BillCopy(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """A witness's copy of a bill, with the bill's number."""

    number: int
    bill: Bill


class RecoverHolder(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """A witness's report on a holder that has failed.

    The witness has closed the holder's term: at most ``limits`` tokens of
    each of the term's grants can have been spent, and none of a grant that is
    not listed.
    """

    holder: str
    term: int
    witness: str
    limits: dict[str, int]
    copies: list[BillCopy]


class Holding(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Announces new spending limits of grants before the holder uses them.

    ``sent_at`` is the time of sending by the wall clock of the holder's
    machine.
    """

    holder: str
    sent_at: float
    limits: dict[str, int]


class SucceedHolder(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Announces ``holder`` as the successor of earlier ones at its ``place``.

    Only one process can run at a place, so that the earlier holders cannot
    come back.  ``started_at`` is the start time of the new process by the
    same clock as ``sent_at`` of :class:`Holding`.
    """

    place: str
    holder: str
    started_at: float


class ClaimCall(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Claims a non-idempotent call for a single execution by ``owner``."""

    team: str
    key: str
    digest: str
    owner: str


class FinishCall(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Records the outcome of a claimed call.

    ``outcome`` is ``run``, ``unknown`` or ``not_run``; with ``not_run`` the
    key can be claimed again.
    """

    team: str
    key: str
    owner: str
    outcome: str
    answer: StoredResponse | None = None


class ReportCrash(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Reports that a target crashed while it ran the request of ``digest``.

    ``attempt`` identifies the attempt; its trial, if any, ends.
    """

    digest: str
    target: str
    attempt: str


class BeginTrial(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Requests a trial.

    In a trial, only ``attempt`` may run the suspected request.
    """

    digest: str
    attempt: str


class EndTrial(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Ends a trial; if ``answered``, the request is no longer suspected."""

    digest: str
    attempt: str
    answered: bool


class ReportLostTarget(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Reports that a target crashed before the end of its answer to a request.

    ``request`` is the digest of the request and ``parts`` are the ids of the
    parts of its prompt that other requests may share, as :func:`shorten_part`
    returns them.  ``begun`` tells whether the target had just begun the
    answer, without a complete event.  ``known`` is the index of the
    :class:`Quarantine` that the sender knew when it sent the request to the
    target.
    """

    target: str
    request: str
    parts: list[str]
    begun: bool
    known: int


def shorten_part(part: str) -> str:
    """Returns the id of a part of prompts in a bounded length."""
    return texts.shorten(part, MAX_PART_ID_BYTES)


def name_part(part: str) -> str:
    """Returns the name of a part of prompts as a suspect."""
    return f"part:{part}"


def name_request(digest: str) -> str:
    """Returns the name of a request as a suspect."""
    return f"request:{digest}"


class ClearSuspects(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Reports that an answer has ended whole in spite of the suspects."""

    suspects: list[str]


class BeginSuspectTrial(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Asks whether a single request with a quarantined suspect may run.

    ``request`` is the digest of the request.  The reply is a :class:`Trial`.
    """

    suspect: str
    request: str


class ChangeReplicas(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Changes the membership of the control replicas.

    ``action`` is ``add``, which adds a replica as a non-voting learner,
    ``readmit``, which does the same with one that was removed before and has
    kept its disk, ``promote``, which makes a learner a voter, or ``remove``.
    """

    action: str
    name: str
    actor: str
    address: str = ""


class EvacuationOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Orders or revokes that no request is sent to a failure domain.

    ``active`` tells whether the targets of ``domain`` are to get none.
    """

    domain: str
    active: bool
    actor: str


class Barrier(
    msgspec.Struct, tag=True, frozen=True, kw_only=True, omit_defaults=True
):
    """Confirms by its commit that the leader is still the leader.

    Changes nothing without an ``evacuation``.  Builds from before that field
    ignore it.
    """

    evacuation: EvacuationOrder | None = None


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
    | ReportLostTarget
    | ClearSuspects
    | BeginSuspectTrial
    | ChangeReplicas
    | Barrier
)


class TimestampedCommand(msgspec.Struct, array_like=True, frozen=True):
    """A command with the time at which the leader received it."""

    at: float
    command: Command


# Replies


class Done(
    msgspec.Struct, tag=True, frozen=True, kw_only=True, omit_defaults=True
):
    """The command took effect, now or when it was first sent.

    ``scarce`` are the budgets of an announcement that will soon be used up.
    """

    index: int
    scarce: list[str] = []


class Refused(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The command was rejected without effect; ``findings`` are reasons."""

    findings: list[str]


class Granted(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The grant is open with ``amount`` tokens to spend."""

    grant: str
    amount: int


class Closed(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The grant was closed or refused, or a later one was requested."""

    grant: str


class HeldShare(msgspec.Struct, frozen=True, kw_only=True):
    """Unbilled tokens of a budget at a holder.

    It has announced that it may spend ``announced`` of them.
    """

    holder: str
    tokens: int
    announced: int


class Short(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Too few free tokens for a grant.

    ``available`` tokens are free, ``elsewhere`` are granted to other holders,
    ``silent`` of them to holders that control has not heard for seconds.
    ``lost`` are those that dead holders may have spent, and ``holders`` the
    other holders that have the most, for the logs.
    """

    available: int
    elsewhere: int
    silent: int = 0
    lost: int = 0
    holders: list[HeldShare] = []


class Settled(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The batch is recorded; ``duplicates`` lists attempts billed before."""

    sequence: int
    duplicates: list[str]


class CallState(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The record of a non-idempotent call.

    ``state`` is ``claimed``, ``run``, ``unknown`` or ``not_run``;
    ``fresh`` is set if the claim was made by this command.
    """

    owner: str
    digest: str
    state: str
    fresh: bool
    answer: StoredResponse | None = None


class Succession(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The result of closing the grants of earlier holders at a place.

    Reply to :class:`SucceedHolder`.  Of the tokens not billed, ``freed`` were
    returned to the budgets and ``lost`` count as spent, as the holders may
    have spent them.  ``unannounced`` of those lost were beyond the limits that
    the holders had announced, None if the replica does not tell.  ``silent``
    is the longest time between a holder's last :class:`Holding` and the start
    of the successor, in seconds, None if unknown.
    """

    freed: int
    lost: int
    silent: float | None = None
    unannounced: int | None = None


class Crashes(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """The number of targets that crashed on a request, as of ``index``."""

    count: int
    index: int


class Trial(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Whether a trial of a suspected request is ``allowed``.

    If not, either ``count``, the number of targets that crashed on the
    request, is too high, or another trial is in progress.
    """

    allowed: bool
    count: int


class Quarantine(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """What is suspected of crashing targets, as of log index ``index``.

    A suspect is a part of prompts or a whole request.  Requests with a
    suspect in ``quarantined`` must not run.  For those that are also in
    ``trials_due``, control may allow one by :class:`BeginSuspectTrial`.
    """

    index: int
    suspected: list[str] = []
    quarantined: list[str] = []
    trials_due: list[str] = []


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
    | Quarantine
)


# Queries and the configuration feed


class AuditRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One record of the audit trail."""

    index: int
    at: float
    actor: str
    action: str
    subject: str
    digest: str
    result: str


class Balance(msgspec.Struct, frozen=True, kw_only=True):
    """The balance of a budget, in tokens.

    ``unwitnessed`` is the part of ``outstanding`` in grants without
    witnesses, which is lost to the team if the holders fail.
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
    """A member of the control replicas, as seen by another replica.

    ``held`` is the index up to which the member is known to hold the log,
    None if unknown: only the leader tracks the other members.
    """

    name: str
    address: str
    learner: bool
    held: int | None


class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The state of one control replica; ``contact_age`` is in seconds.

    ``understands_evacuations`` is false for builds from before these.
    """

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
    understands_evacuations: bool = False


class FollowerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The configuration that an entry uses; ``seen_ago`` is in seconds.

    ``note`` is the number of its release note, ``suspects`` the index of its
    list of suspected requests.  ``understands_evacuations`` is false for
    builds from before these.
    """

    name: str
    incarnation: str
    note: int
    suspects: int
    seen_ago: float
    connected: bool
    understands_evacuations: bool = False


class Query(msgspec.Struct, tag=True, frozen=True, kw_only=True):
    """Reads balances, bills, audit records or what is in force.

    ``kind`` is ``balance``, ``bill``, ``audit``, ``evacuations``, ``routes``
    for the routing table, or ``release``; ``subject`` filters by budget or by
    request, ``team`` by team.  Replicas of earlier builds know neither
    ``evacuations`` nor ``release``.
    """

    kind: str
    subject: str = ""
    team: str = ""
    limit: int = 100


class Evacuation(msgspec.Struct, frozen=True, kw_only=True):
    """An evacuated failure domain.

    ``index``, ``at`` and ``actor`` are log index, time and sender of the
    order in force.
    """

    domain: str
    index: int
    at: float
    actor: str


class EvacuatedDomains(msgspec.Struct, frozen=True, kw_only=True):
    """All evacuated failure domains as of log index ``index``."""

    index: int
    domains: list[str]


class QueryReply(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a :class:`Query`, or the ``leader`` to send it to."""

    leader: str | None = None
    balances: list[Balance] = []
    bills: list[Bill] = []
    audit: list[AuditRecord] = []
    routes_version: int = 0
    routes_source: bytes = b""
    evacuations: list[Evacuation] = []
    release: Release | None = None


class FollowReport(msgspec.Struct, frozen=True, kw_only=True):
    """Sent by an entry to report the configuration that it uses.

    ``number`` is that of its release note, ``index`` the log index at which
    that was accepted, ``suspects`` the index of its list of suspected
    requests, ``routes_version`` the version of its routing table and
    ``evacuations`` the index of its evacuated domains.  Each is 0 if the entry
    does not use it; ``evacuations`` is None for builds from before these.
    """

    name: str
    incarnation: str
    number: int
    index: int
    suspects: int
    draining: bool = False
    routes_version: int = 0
    evacuations: int | None = None


class Suspects(msgspec.Struct, frozen=True, kw_only=True):
    """Number of crashed targets by suspected request, as of ``index``.

    Requests are identified by the digest of their content.
    """

    index: int
    crashes: dict[str, int]


class FollowEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Sent to an entry: changes of the configuration, or a keepalive.

    ``age`` is the time since the replica was last known to be up to date, in
    seconds; infinite if it has not been since it started, in which case the
    event has no changes.  A change is sent as the complete ``release`` or as
    the ``notes`` accepted since the last event.  ``recalls`` names the budgets
    of which the entry should return idle tokens.  ``quarantine`` is the whole
    list, sent when it changes.  ``replicas`` maps the names
    of the voting replicas to their addresses.  ``routes`` is the routing table
    if it is newer than the entry's, ``evacuations`` lists the evacuated
    domains if they have changed since the entry's index.
    """

    age: float
    release: Release | None = None
    notes: list[AcceptedNote] = []
    recalls: list[str] = []
    suspects: Suspects | None = None
    quarantine: Quarantine | None = None
    replicas: dict[str, str] | None = None
    routes: routes_wire.RoutingTable | None = None
    evacuations: EvacuatedDomains | None = None


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """The result of a proposed command: a reply, or the leader to ask."""

    reply: Reply | None = None
    leader: str | None = None
