"""Exit codes, error messages and output as JSON or as a table."""

import datetime
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
    """Prints an error message and returns the exit code of a failure."""
    print(message, file=sys.stderr)
    return EXIT_FAILED


def print_error(message: str) -> None:
    """Prints an error message."""
    print(message, file=sys.stderr)


def fail_input(message: str) -> int:
    """Prints an error message and returns the exit code of bad input."""
    print_error(message)
    return EXIT_BAD_INPUT


def unwrap_or_exit(result: expression.Result, source: str):
    """Returns the value of a result, or prints its findings and exits.

    ``source`` names the file that the result was read from.
    """
    match result:
        case expression.Result(tag="ok", ok=value):
            return value
        case expression.Result(error=findings):
            for finding in findings:
                print(finding, file=sys.stderr)
            count = len(findings)
            print(f"{source}: {count} error(s)", file=sys.stderr)
            raise SystemExit(EXIT_BAD_INPUT)


def format_time(timestamp: float) -> str:
    """Returns a time since the epoch in ISO 8601, UTC, to the second."""
    date = datetime.datetime.fromtimestamp(timestamp, datetime.UTC)
    return date.isoformat(timespec="seconds")


def print_json(value) -> None:
    """Prints a value as indented JSON, for scripts."""
    encoded = msgspec.json.encode(value)
    print(msgspec.json.format(encoded, indent=2).decode())


def print_table(headings: list[str], rows: list[list[str]]) -> None:
    """Prints a table for human readers."""
    table = rich.table.Table(*headings, box=None, pad_edge=False)
    for row in rows:
        table.add_row(*row)
    _CONSOLE.print(table)
