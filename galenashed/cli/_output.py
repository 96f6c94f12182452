"""Exit codes, findings and the two forms of output."""

import sys

import expression
import msgspec
import rich.console
import rich.table

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2

_CONSOLE = rich.console.Console(width=120, highlight=False)


def fail(message: str) -> int:
    """Prints an error and returns the exit code of a failure."""
    print(message, file=sys.stderr)
    return EXIT_FAILED


def take(result: expression.Result, what: str):
    """Returns a checked file's content; prints its findings and exits."""
    match result:
        case expression.Result(tag="ok", ok=value):
            return value
        case expression.Result(error=findings):
            for finding in findings:
                print(finding, file=sys.stderr)
            count = len(findings)
            print(f"{what}: {count} fault(s)", file=sys.stderr)
            raise SystemExit(EXIT_BAD_INPUT)


def print_json(value) -> None:
    """Prints a value as JSON for machines."""
    encoded = msgspec.json.encode(value)
    print(msgspec.json.format(encoded, indent=2).decode())


def print_rows(headings: list[str], rows: list[list[str]]) -> None:
    """Prints a table for people."""
    table = rich.table.Table(*headings, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*row)
    _CONSOLE.print(table)
