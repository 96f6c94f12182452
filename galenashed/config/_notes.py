"""Loading of release notes from TOML files as :class:`wire.Note`."""

import pathlib

import expression

from galenashed.config import _findings
from galenashed.config import _reader
from galenashed.protocol import control as wire

MAX_TOP_UP_TOKENS = 10**15
MAX_NOTE_NUMBER = 10**12


def load_note(
    path: pathlib.Path,
) -> expression.Result[wire.Note, list[_findings.Finding]]:
    """Reads and validates a release note.

    Checks that depend on the notes already in force, such as whether the
    team of a budget exists, run when the note is published.
    """
    return _reader.read_document(pathlib.Path(path), _build_note)


def _build_note(root: _reader.TableReader) -> wire.Note:
    header = root.table("note")
    models = root.tables("model")
    services = root.tables("service")
    teams = root.tables("team")
    budgets = root.tables("budget")
    for tables in (models, services, teams, budgets):
        _check_unique(tables)
    return wire.Note(
        number=header.integer("number", low=1, high=MAX_NOTE_NUMBER),
        author=header.string("author"),
        models=[_build_model(table) for table in models],
        services=[_build_service(table) for table in services],
        teams=[_build_team(table) for table in teams],
        budgets=[_build_budget(table) for table in budgets],
        withdrawn=_build_withdrawn(root.table("withdrawn", required=False)),
    )


def _check_unique(
    tables: list[_reader.TableReader], key: str = "name"
) -> None:
    seen = set()
    for table in tables:
        value = table.string(key, default="")
        if value and value in seen:
            table.add_error(key, f"{value!r} is defined twice in this note")
        seen.add(value)


def _build_model(table: _reader.TableReader) -> wire.Model:
    return wire.Model(
        name=table.name(),
        version=table.string("version"),
        adapters=table.names("adapters"),
        max_output=table.integer("max_output", 4096, low=1, high=10**6),
    )


def _build_service(table: _reader.TableReader) -> wire.Service:
    kind = table.choice("kind", ["engine", "plain"])
    models = table.names("models")
    if kind == "engine" and not models:
        table.add_error("models", "an engine service needs at least one model")
    if kind == "plain" and models:
        table.add_error("models", "a plain service cannot serve models")
    methods = wire.Service(name="", kind="").idempotent_methods
    if table.has("idempotent_methods"):
        methods = tuple(table.names("idempotent_methods"))
    return wire.Service(
        name=table.name(),
        kind=kind,
        models=models,
        cost=table.integer("cost", 0, low=0, high=10**9),
        concurrency=table.integer("concurrency", 16, low=1, high=100_000),
        timeout=table.number("timeout", 300.0, low=0.1, high=86400.0),
        fencing=table.boolean("fencing", False),
        idempotent_methods=methods,
    )


def _build_team(table: _reader.TableReader) -> wire.Team:
    return wire.Team(
        name=table.name(),
        key_hash=table.key_hash(),
        weight=table.integer("weight", 1, low=1, high=1000),
    )


def _build_budget(table: _reader.TableReader) -> wire.Budget:
    top_ups = table.tables("top_up")
    _check_unique(top_ups, "id")
    return wire.Budget(
        name=table.name(),
        team=table.name("team"),
        top_ups=[
            wire.TopUp(
                id=item.name("id"),
                tokens=item.integer(
                    "tokens", low=-MAX_TOP_UP_TOKENS, high=MAX_TOP_UP_TOKENS
                ),
            )
            for item in top_ups
        ],
    )


def _build_withdrawn(table: _reader.TableReader) -> wire.Withdrawn:
    return wire.Withdrawn(
        models=table.names("models"),
        services=table.names("services"),
        teams=table.names("teams"),
        budgets=table.names("budgets"),
        targets=table.names("targets"),
    )
