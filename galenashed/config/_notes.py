"""Release notes: TOML files turned into :class:`wire.Note` messages."""

import pathlib

import expression

from galenashed.config import _findings
from galenashed.config import _reader
from galenashed.protocol import control as wire

MAX_TOKENS = 10**15
MAX_NOTE_NUMBER = 10**12


def load_note(
    path: pathlib.Path,
) -> expression.Result[wire.Note, list[_findings.Finding]]:
    """Reads and checks a release note.

    What depends on the notes in force, such as whether the team of a budget
    is known, is checked when the note is published.
    """
    return _reader.read_document(pathlib.Path(path), _build)


def _build(root: _reader.Section) -> wire.Note:
    head = root.section("note")
    models = root.sections("model")
    services = root.sections("service")
    teams = root.sections("team")
    budgets = root.sections("budget")
    for tables in (models, services, teams, budgets):
        _check_unique(tables)
    return wire.Note(
        number=head.integer("number", low=1, high=MAX_NOTE_NUMBER),
        author=head.text("author"),
        models=[_model(table) for table in models],
        services=[_service(table) for table in services],
        teams=[_team(table) for table in teams],
        budgets=[_budget(table) for table in budgets],
        withdrawn=_withdrawn(root.section("withdrawn", required=False)),
    )


def _check_unique(tables: list[_reader.Section], key: str = "name") -> None:
    seen = set()
    for table in tables:
        value = table.text(key, default="")
        if value and value in seen:
            table.add_fault(key, f"{value!r} stands twice in this note")
        seen.add(value)


def _model(table: _reader.Section) -> wire.Model:
    return wire.Model(
        name=table.name(),
        version=table.text("version"),
        adapters=table.names("adapters"),
        max_output=table.integer("max_output", 4096, low=1, high=10**6),
    )


def _service(table: _reader.Section) -> wire.Service:
    kind = table.choice("kind", ["engine", "plain"])
    models = table.names("models")
    if kind == "engine" and not models:
        table.add_fault("models", "an engine service needs a model")
    if kind == "plain" and models:
        table.add_fault("models", "a plain service serves no models")
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
        fencing=table.flag("fencing", False),
        idempotent_methods=methods,
    )


def _team(table: _reader.Section) -> wire.Team:
    return wire.Team(
        name=table.name(),
        key_hash=table.key_hash(),
        weight=table.integer("weight", 1, low=1, high=1000),
    )


def _budget(table: _reader.Section) -> wire.Budget:
    top_ups = table.sections("top_up")
    _check_unique(top_ups, "id")
    return wire.Budget(
        name=table.name(),
        team=table.name("team"),
        top_ups=[
            wire.TopUp(
                id=item.name("id"),
                tokens=item.integer(
                    "tokens", low=-MAX_TOKENS, high=MAX_TOKENS
                ),
            )
            for item in top_ups
        ],
    )


def _withdrawn(table: _reader.Section) -> wire.Withdrawn:
    return wire.Withdrawn(
        models=table.names("models"),
        services=table.names("services"),
        teams=table.names("teams"),
        budgets=table.names("budgets"),
        targets=table.names("targets"),
    )
