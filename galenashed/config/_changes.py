"""Differences between configurations, in words; no I/O."""

import enum
import typing

import msgspec

from galenashed.protocol import control as wire
from galenashed.protocol import routes as routes_wire

# Words for the fields whose names are not words, and the units of values.
_WORDS = {
    "prefix": "path prefix",
    "time_limit": "time limit",
    "objective": "latency objective",
    "max_pause": "longest pause",
    "max_targets": "most targets",
    "keyless": "without an API key",
    "hedge_share": "share of hedged requests",
    "health_path": "path of health checks",
    "max_connections": "most connections",
    "tokens_per_event": "tokens an event",
    "max_header_bytes": "most bytes of headers",
    "max_body_bytes": "most bytes of a body",
    "header_timeout": "time limit of headers",
    "idle_timeout": "time limit of idle connections",
    "prepaid": "prepaid total",
    "max_output": "most output",
    "idempotent_methods": "idempotent methods",
}
_UNITS = {
    "time_limit": " s",
    "objective": " s",
    "max_pause": " s",
    "header_timeout": " s",
    "idle_timeout": " s",
    "timeout": " s",
    "prepaid": " tokens",
    "memory": " tokens",
    "cost": " tokens",
    "max_output": " tokens",
}
# What must not be printed: only that it has changed is told.
_SECRET = ("key_hash", "key_hashes")


def describe_table_changes(
    old: routes_wire.RoutingTable, new: routes_wire.RoutingTable
) -> list[str]:
    """Returns the differences between two routing tables, one a line.

    Example::

        describe_table_changes(old, new)
        # ["route 'lookup': time limit 2 s -> 4 s", "team 'ops' is added"]
    """
    lines = _compare_fields("", old, new, ("version",))
    for noun, before, after in (
        ("route", old.routes, new.routes),
        ("service", old.services, new.services),
        ("team", old.teams, new.teams),
    ):
        lines += _compare_items(noun, _by_name(before), _by_name(after))
    fields = old.limits.__struct_fields__
    return lines + _compare_fields("limits: ", old.limits, new.limits, fields)


def describe_note_changes(old: wire.Release, new: wire.Release) -> list[str]:
    """Returns what a release note changes, one difference a line."""
    lines = []
    if old.number != new.number:
        lines.append(f"note {old.number} -> {new.number}")
    lines += _compare_items("model", old.models, new.models)
    lines += _compare_items("service", old.services, new.services)
    lines += _compare_items("team", old.teams, new.teams)
    for name in _changed_names(old.budgets, new.budgets):
        if name not in new.budgets:
            lines.append(f"budget {name!r} is removed")
        elif name not in old.budgets:
            lines.append(
                f"budget {name!r} of team {new.budgets[name]!r} is added"
            )
    added = set(new.withdrawn_targets) - set(old.withdrawn_targets)
    return lines + [f"target {name!r} is withdrawn" for name in sorted(added)]


def describe_top_ups(
    old: typing.Mapping[str, int], new: typing.Mapping[str, int]
) -> list[str]:
    """Returns how the totals of budgets change, one difference a line."""
    return [
        f"budget {name!r}: {new[name] - old.get(name, 0):+d} tokens,"
        f" {new[name]} in all"
        for name in new
        if new[name] != old.get(name, 0)
    ]


def _by_name(items: typing.Iterable) -> dict[str, typing.Any]:
    """Returns items by their names, which need not be unique."""
    named: dict[str, typing.Any] = {}
    for item in items:
        name, number = item.name, 1
        while name in named:
            number += 1
            name = f"{item.name}#{number}"
        named[name] = item
    return named


def _changed_names(old: typing.Mapping, new: typing.Mapping) -> list[str]:
    """Returns the names whose values differ, the old ones first."""
    names = [*old, *(name for name in new if name not in old)]
    return [name for name in names if old.get(name) != new.get(name)]


def _compare_items(
    noun: str, old: typing.Mapping, new: typing.Mapping
) -> list[str]:
    lines = []
    for name in _changed_names(old, new):
        if name not in new:
            lines.append(f"{noun} {name!r} is removed")
        elif name not in old:
            lines.append(f"{noun} {name!r} is added")
        else:
            fields = old[name].__struct_fields__
            lines += _compare_fields(
                f"{noun} {name!r}: ", old[name], new[name], fields
            )
    return lines


def _compare_fields(
    prefix: str, old: typing.Any, new: typing.Any, fields: typing.Iterable[str]
) -> list[str]:
    lines = []
    for field in fields:
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        words = _WORDS.get(field, field.replace("_", " "))
        if field in _SECRET:
            lines.append(f"{prefix}the API keys differ")
        elif isinstance(before, msgspec.Struct) and type(before) is type(
            after
        ):
            nested = before.__struct_fields__
            lines += _compare_fields(
                f"{prefix}{words}: ", before, after, nested
            )
        else:
            lines.append(
                f"{prefix}{words} {_describe(field, before)} ->"
                f" {_describe(field, after)}"
            )
    return lines


def _describe(field: str, value: typing.Any) -> str:
    """Returns a value in words, with its unit."""
    if value is None:
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, (list, tuple)):
        return ", ".join(_describe(field, item) for item in value) or "none"
    if isinstance(value, routes_wire.WeightedService):
        return f"{value.service}:{value.weight}"
    if isinstance(value, msgspec.Struct):
        return ", ".join(
            f"{_WORDS.get(name, name.replace('_', ' '))}"
            f" {_describe(name, getattr(value, name))}"
            for name in value.__struct_fields__
        )
    if isinstance(value, int):
        return f"{value}{_UNITS.get(field, '')}"
    if isinstance(value, float):
        return f"{value:.10g}{_UNITS.get(field, '')}"
    return repr(value)
