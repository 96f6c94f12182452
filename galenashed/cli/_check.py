"""The check of a release note or of a configuration before it is sent."""

import json as json_library
import pathlib
import typing

import cyclopts
import expression

from galenashed.cli import _clients
from galenashed.cli import _output
from galenashed import config
from galenashed import control
from galenashed.platform import checks
from galenashed.protocol import control as wire

# Value of --against for what control has in force.
IN_FORCE = "in-force"
QUERY_SECONDS = 5.0
MAX_BALANCES = 1_000_000

Against = typing.Annotated[list[str], cyclopts.Parameter(name="--against")]
OptionalConfigPath = typing.Annotated[
    pathlib.Path | None, cyclopts.Parameter(name="--config")
]


class _Report:
    """What a check has found in a file, as it is printed."""

    __slots__ = ("differences", "file", "findings", "subject")

    def __init__(self, *, file: pathlib.Path):
        self.file = file
        # What the file is, if it is valid.
        self.subject = ""
        self.findings: dict[config.Severity, list[config.Finding]] = {
            severity: [] for severity in config.Severity
        }
        self.differences: list[str] | None = None

    @property
    def errors(self) -> list[config.Finding]:
        return self.findings[config.Severity.ERROR]

    def add(
        self,
        result: config.CheckResult,
        lines: dict[config.KeyPath, int] | None = None,
    ) -> None:
        """Adds the result of a check; ``lines`` tells where keys are."""
        self.differences = result.differences
        for remark in result.remarks:
            line = config.find_line(lines, remark.place) if lines else 0
            self.findings[remark.severity].append(
                config.Finding(
                    file=str(self.file),
                    line=line,
                    key=config.format_key(remark.place),
                    message=remark.message,
                )
            )

    def print(self, *, json: bool) -> int:
        """Prints the report; returns the exit code."""
        if json:
            _output.print_json(self._encode())
        else:
            self._print_text()
        return _output.EXIT_BAD_INPUT if self.errors else _output.EXIT_OK

    def _encode(self) -> dict[str, object]:
        """Returns the report for scripts."""
        encoded: dict[str, object] = {
            "file": str(self.file),
            "accepted": not self.errors,
        }
        for severity, findings in self.findings.items():
            encoded[f"{severity.value}s"] = [
                {
                    "line": item.line,
                    "place": item.key,
                    "message": item.message,
                }
                for item in findings
            ]
        if self.differences is not None:
            encoded["differences"] = self.differences
        return encoded

    def _print_text(self) -> None:
        for finding in self.errors:
            _output.print_error(str(finding))
        warnings = self.findings[config.Severity.WARNING]
        for finding in warnings:
            print(finding.describe("warning"))
        for line in self.differences or []:
            print(f"changes: {line}")
        if self.differences == []:
            print("changes: none")
        if self.errors:
            _output.print_error(f"{self.file}: {len(self.errors)} error(s)")
            return
        noted = f"; {len(warnings)} warning(s)" if warnings else ""
        print(f"{self.file}: valid {self.subject}{noted}")


def check_note(
    path: pathlib.Path,
    against: Against | None = None,
    config_path: OptionalConfigPath = None,
    json: bool = False,
) -> int:
    """Checks a release note or a configuration of the platform.

    Prints all errors and warnings with their locations.  Control refuses
    what has errors, and accepts what has warnings only.

    Parameters
    ----------
    path
        Release note, a TOML file, or the platform's configuration, a file
        whose name ends with ``.json``.
    against
        Prints the differences, in words, to a file of the same kind, or to
        what is ``in-force``.  Of notes, several files can be given, in the
        order of their numbers.
    config_path
        Operator settings, a TOML file; only for ``--against in-force``.
    json
        Prints JSON.
    """
    against = against or []
    if IN_FORCE in against and (len(against) > 1 or config_path is None):
        return _output.fail_input(
            "--against in-force needs --config, and no other --against"
        )
    is_note = path.suffix != ".json"
    if not is_note and len(against) > 1:
        return _output.fail_input(
            "--against can be given once for a configuration"
        )
    if config_path is not None and against == [IN_FORCE]:
        return _clients.run_with_client(
            config_path,
            lambda client: _check_in_force(client, path, json=json),
        )
    if is_note:
        return _check_note_file(path, against).print(json=json)
    before = pathlib.Path(against[0]).read_bytes() if against else None
    return _check_configuration_file(path, before).print(json=json)


async def _check_in_force(
    client: control.ControlClient, path: pathlib.Path, *, json: bool
) -> int:
    """Checks a file against what control has in force."""
    if path.suffix == ".json":
        reply = await client.query(
            wire.Query(kind="routes"), timeout=QUERY_SECONDS
        )
        before = reply.routes_source if reply.routes_version else None
        return _check_configuration_file(path, before).print(json=json)
    reply = await client.query(
        wire.Query(kind="release"), timeout=QUERY_SECONDS
    )
    if reply.release is None:
        return _output.fail(
            "control does not tell its release: it is an earlier build"
        )
    balances = await client.query(
        wire.Query(kind="balance", limit=MAX_BALANCES), timeout=QUERY_SECONDS
    )
    preview = control.NotePreview(
        release=reply.release, balances=balances.balances
    )
    return _check_note_file(path, [], preview).print(json=json)


def _check_note_file(
    path: pathlib.Path,
    against: list[str],
    preview: control.NotePreview | None = None,
) -> _Report:
    """Checks a note against a state and the notes before it.

    Without either, whether control accepts it is not known: what it refers
    to may be in force.
    """
    report = _Report(file=path)
    match config.load_note(path):
        case expression.Result(tag="ok", ok=note):
            pass
        case expression.Result(error=findings):
            report.errors.extend(findings)
            return report
    digest = control.compute_digest(note)[:12]
    report.subject = f"note {note.number}, {digest}"
    lines = config.find_key_lines(path.read_text(encoding="utf-8"))
    if not against and preview is None:
        report.add(config.CheckResult(remarks=config.check_note(note)), lines)
        return report
    preview = preview or control.NotePreview()
    for file in against:
        earlier = _output.unwrap_or_exit(
            config.load_note(pathlib.Path(file)), file
        )
        messages = [error.message for error in preview.publish(earlier)]
        if messages:
            report.add(_make_errors(f"--against {file}", messages))
            return report
    report.add(_preview_note(preview, note), lines)
    return report


def _preview_note(
    preview: control.NotePreview, note: wire.Note
) -> config.CheckResult:
    """Returns what a note leads to, or why control refuses it."""
    before, totals = preview.release, preview.totals
    refusals = preview.publish(note)
    if refusals:
        return config.CheckResult(
            remarks=[
                config.Remark(config.Severity.ERROR, place, message)
                for place, message in refusals
            ]
        )
    return config.CheckResult(
        remarks=config.check_note(note, preview.release, preview.totals),
        differences=[
            *config.describe_note_changes(before, preview.release),
            *config.describe_top_ups(totals, preview.totals),
        ],
    )


def _make_errors(source: str, messages: list[str]) -> config.CheckResult:
    """Returns errors that are not in the file that is checked."""
    return config.CheckResult(
        remarks=[
            config.Remark(config.Severity.ERROR, (), f"{source}: {message}")
            for message in messages
        ]
    )


def _check_configuration_file(
    path: pathlib.Path, before: bytes | None
) -> _Report:
    """Checks a configuration, against another one if that is given."""
    report = _Report(file=path)
    document = path.read_bytes()
    try:
        result = checks.check_configuration(document, before)
    except checks.ConfigurationError as exc:
        report.add(_make_errors("--against", exc.findings))
        return report
    report.add(result)
    if result.accepted:
        report.subject = checks.describe(document)
    else:
        _set_line_of_syntax_error(report, document)
    return report


def _set_line_of_syntax_error(report: _Report, document: bytes) -> None:
    """Sets the line of an error in the JSON itself."""
    try:
        json_library.loads(document)
    except json_library.JSONDecodeError as exc:
        for finding in report.errors:
            finding.line = exc.lineno
    except ValueError:
        # Not UTF-8.
        pass
