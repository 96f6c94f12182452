"""Checks of a configuration before it is sent; no I/O.

Errors are what control refuses.  Warnings are what it accepts and what does
not do what its author probably means: entries that can never match, limits
that contradict each other.
"""

import enum
import hashlib
import typing

from galenashed.config import _findings
from galenashed.protocol import control as wire
from galenashed.protocol import routes as routes_wire

EMPTY_KEY_HASH = hashlib.sha256(b"").hexdigest()


class Severity(enum.StrEnum):
    """Whether control refuses the configuration for a remark."""

    ERROR = "error"
    WARNING = "warning"


class Remark(typing.NamedTuple):
    """A result of a check; ``place`` leads from the root to the value."""

    severity: Severity
    place: _findings.KeyPath
    message: str


class CheckResult:
    """The remarks on a configuration, and its differences to another."""

    __slots__ = ("differences", "remarks")

    def __init__(
        self,
        *,
        remarks: list[Remark],
        differences: list[str] | None = None,
    ):
        self.remarks = remarks
        self.differences = differences

    @property
    def accepted(self) -> bool:
        """Whether control accepts the configuration."""
        return not self.of(Severity.ERROR)

    def of(self, severity: Severity) -> list[Remark]:
        """Returns the remarks of a severity."""
        return [item for item in self.remarks if item.severity is severity]


def _warn(place: _findings.KeyPath, message: str) -> Remark:
    return Remark(Severity.WARNING, place, message)


# Routing tables


def check_table(table: routes_wire.RoutingTable) -> list[Remark]:
    """Returns the errors and the warnings of a routing table.

    Control accepts the table if none is an error.

    Example::

        remarks = check_table(table)
        valid = all(r.severity is not Severity.ERROR for r in remarks)
    """
    remarks = [
        Remark(Severity.ERROR, error.place, error.message)
        for error in routes_wire.locate_errors(table)
    ]
    for number, route in enumerate(table.routes):
        remarks += [
            _warn(
                ("routes", number, *place), f"route {route.name!r}: {message}"
            )
            for place, message in (
                *_find_unmatched(route),
                *_find_contradictions(route),
            )
        ]
    remarks += _check_services(table)
    remarks += _check_teams(table)
    remarks += _check_limits(table.limits)
    for field in ("routes", "services", "teams"):
        remarks += _check_names(field, getattr(table, field))
    return remarks


_Found = typing.Iterator[tuple[_findings.KeyPath, str]]


def _find_unmatched(route: routes_wire.Route) -> _Found:
    """Finds what no request can match."""
    prefix, host = route.prefix, route.host
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield (
            ("prefix",),
            f"prefix {prefix!r} matches no request; a prefix that matches"
            " starts and ends with '/'",
        )
    elif "?" in prefix or "#" in prefix:
        yield (
            ("prefix",),
            f"prefix {prefix!r} matches no request: a path ends before '?'"
            " and '#'",
        )
    if not host or host != host.lower() or set(host) & set(":/ "):
        yield (
            ("host",),
            f"host {host!r} matches no request; a host that matches is in"
            " lower case, without a port",
        )
    for number, share in enumerate(route.shares):
        if share.weight == 0:
            yield (
                ("shares", number, "weight"),
                f"service {share.service!r} gets no requests: its weight is 0",
            )


def _find_contradictions(route: routes_wire.Route) -> _Found:
    """Finds limits of a route that contradict each other."""
    if 0 < route.time_limit < route.objective:
        yield (
            ("time_limit",),
            f"the time limit of {route.time_limit:g} s is below the latency"
            f" objective of {route.objective:g} s",
        )
    if route.kind is routes_wire.RouteKind.STREAM:
        if route.max_pause > route.time_limit > 0:
            yield (
                ("max_pause",),
                f"the longest pause of {route.max_pause:g} s is over the time"
                f" limit of {route.time_limit:g} s",
            )
    elif route.resumable:
        yield ("resumable",), "only streams can be resumed"
    if route.max_targets > 1 and not route.repeatable:
        yield (
            ("max_targets",),
            f"{route.max_targets} targets are allowed, but a request that may"
            " have run is not repeated",
        )
    if route.max_targets < 2 and route.kind is (
        routes_wire.RouteKind.IDEMPOTENT
    ):
        yield (
            ("max_targets",),
            "requests may be repeated, but no second target is allowed",
        )
    if route.hedge_share and (route.max_targets < 2 or not route.repeatable):
        yield (
            ("hedge_share",),
            "no request is hedged, as none may run at a second target",
        )


def _check_services(table: routes_wire.RoutingTable) -> list[Remark]:
    used = {
        share.service
        for route in table.routes
        for share in route.shares
        if share.weight > 0
    }
    remarks = []
    for number, service in enumerate(table.services):
        place = ("services", number)
        if service.name not in used:
            message = f"service {service.name!r}: no route leads to it"
            remarks.append(_warn((*place, "name"), message))
        slots = service.engine.slots if service.engine is not None else 0
        if 0 < service.max_connections < slots:
            message = (
                f"service {service.name!r}: {service.max_connections}"
                f" connections to a target use only a part of its {slots}"
                " slots"
            )
            remarks.append(_warn((*place, "max_connections"), message))
    return remarks


def _check_teams(table: routes_wire.RoutingTable) -> list[Remark]:
    largest = max(
        (
            service.engine.memory
            for service in table.services
            if service.engine
        ),
        default=0,
    )
    remarks = []
    for number, team in enumerate(table.teams):
        place = ("teams", number)
        if not team.key_hashes:
            message = f"team {team.name!r}: no request matches it without keys"
            remarks.append(_warn((*place, "key_hashes"), message))
        if EMPTY_KEY_HASH in team.key_hashes:
            position = team.key_hashes.index(EMPTY_KEY_HASH)
            message = f"team {team.name!r}: no request matches an empty key"
            remarks.append(_warn((*place, "key_hashes", position), message))
        if team.prepaid is not None and team.prepaid < max(1, largest):
            message = (
                f"team {team.name!r}: a total of {team.prepaid} tokens is"
                " below the largest request that an engine can hold"
                f" ({max(1, largest)} tokens)"
            )
            remarks.append(_warn((*place, "prepaid"), message))
    return remarks


def _check_limits(limits: routes_wire.CallerLimits) -> list[Remark]:
    return [
        _warn(
            ("limits", field),
            f"a limit of {getattr(limits, field):g} leaves no room for"
            " requests",
        )
        for field in limits.__struct_fields__
        if getattr(limits, field) <= 0
    ]


def _check_names(field: str, items: typing.Iterable) -> list[Remark]:
    remarks = []
    seen = set()
    for number, item in enumerate(items):
        if item.name in seen:
            message = f"name {item.name!r} occurs twice; logs can't tell which"
            remarks.append(_warn((field, number, "name"), message))
        seen.add(item.name)
    return remarks


# Release notes


def check_note(
    note: wire.Note,
    release: wire.Release | None = None,
    totals: typing.Mapping[str, int] | None = None,
) -> list[Remark]:
    """Returns the warnings of a release note.

    ``release`` and ``totals``, the tokens by budget, are those that result
    from the note, if these are known.
    Which notes control refuses depends on its state; see
    ``control.NotePreview``.
    """
    remarks = _check_withdrawn(note)
    remarks += _check_models(note, release)
    for number, budget in enumerate(note.budgets):
        place = ("budget", number)
        remarks += [
            _warn(
                (*place, "top_up", position, "tokens"),
                f"budget {budget.name!r}: top-up {top_up.id!r} changes"
                " nothing",
            )
            for position, top_up in enumerate(budget.top_ups)
            if top_up.tokens == 0
        ]
        total = sum(top_up.tokens for top_up in budget.top_ups)
        if totals is not None:
            total = totals.get(budget.name, total)
        remarks += _check_total(note, release, budget, total, place)
    if release is not None:
        with_budget = set(release.budgets.values())
        remarks += [
            _warn(
                ("team", number, "name"),
                f"team {team.name!r}: without a budget its requests are"
                " refused",
            )
            for number, team in enumerate(note.teams)
            if team.name not in with_budget
        ]
    return remarks


def _check_withdrawn(note: wire.Note) -> list[Remark]:
    withdrawn = note.withdrawn
    remarks = []
    defined: tuple[tuple[str, list[str], typing.Sequence], ...] = (
        ("models", withdrawn.models, note.models),
        ("services", withdrawn.services, note.services),
        ("teams", withdrawn.teams, note.teams),
        ("budgets", withdrawn.budgets, note.budgets),
    )
    for field, names, items in defined:
        both = {item.name for item in items} & set(names)
        remarks += [
            _warn(
                ("withdrawn", field),
                f"{name!r} is also defined in this note, and stays in force",
            )
            for name in sorted(both)
        ]
    return remarks


def _check_models(
    note: wire.Note, release: wire.Release | None
) -> list[Remark]:
    if release is None:
        return []
    served = {
        model
        for service in release.services.values()
        for model in service.models
    }
    return [
        _warn(
            ("model", number, "name"),
            f"model {model.name!r}: no service runs it, so no request"
            " matches it",
        )
        for number, model in enumerate(note.models)
        if model.name not in served
    ]


def _check_total(
    note: wire.Note,
    release: wire.Release | None,
    budget: wire.Budget,
    total: int,
    place: _findings.KeyPath,
) -> list[Remark]:
    """Warns of a budget that can't pay for the largest request."""
    models = note.models if release is None else release.models.values()
    services = note.services if release is None else release.services.values()
    largest = max(
        [
            *(model.max_output for model in models),
            *(service.cost for service in services),
        ],
        default=0,
    )
    if total >= largest:
        return []
    return [
        _warn(
            (*place, "top_up"),
            f"budget {budget.name!r}: a total of {total} tokens is below the"
            f" largest request ({largest} tokens)",
        )
    ]
