"""Reads the values of a TOML document and collects validation errors."""

import ipaddress
import pathlib
import re
import tomllib
import typing

import expression

from galenashed.config import _findings

T = typing.TypeVar("T")

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
KEY_HASH_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")

_REQUIRED: typing.Any = object()


class TableReader:
    """Reads and validates the values of one table of a document.

    Each method that reads a value checks it and returns it.  If the value is
    invalid, the method records an error and returns a fallback of the right
    type, so that reading goes on and all errors are reported at once.  Keys
    that are never read are errors too; see :meth:`check_unknown_keys`.
    """

    def __init__(self, *, table: dict, path: _findings.KeyPath, errors: list):
        self._table = table
        self._path = path
        self._errors = errors
        self._read_keys: set[str] = set()
        self._children: list[TableReader] = []

    def add_error(self, name: str, message: str) -> None:
        """Records an error for a key of this table."""
        path = (*self._path, name) if name else self._path
        self._errors.append((path, message))

    def has(self, name: str) -> bool:
        """Whether the table has the key."""
        return name in self._table

    def _read_value(self, name, types, expected, default, fallback):
        self._read_keys.add(name)
        if name not in self._table:
            if default is _REQUIRED:
                self.add_error(name, f"missing; allowed: {expected}")
                return fallback
            return default
        value = self._table[name]
        is_unexpected_bool = isinstance(value, bool) and bool not in types
        if is_unexpected_bool or not isinstance(value, types):
            self.add_error(name, f"{value!r} is not {expected}")
            return fallback
        return value

    def string(self, name: str, default=_REQUIRED) -> str:
        """Reads a string, which may be empty only if the default is."""
        value = self._read_value(name, (str,), "a string", default, "")
        if value == "" and default != "" and name in self._table:
            self.add_error(name, "'' is empty; allowed: a non-empty string")
        return value

    def name(self, name: str = "name", default=_REQUIRED) -> str:
        """Reads a name of letters, digits, dots, hyphens and underscores."""
        value = self._read_value(name, (str,), "a name", default, "")
        if name in self._table and value is not None:
            self._check_name(name, value)
        return value

    def _check_name(self, key: str, value: str) -> None:
        if not NAME_PATTERN.fullmatch(value):
            self.add_error(
                key,
                f"{value!r} is not a name; allowed: up to 64 letters,"
                " digits, '.', '-', '_', of which the first is a letter or"
                " digit",
            )

    def names(self, name: str) -> list[str]:
        """Reads a list of names; a missing key gives an empty list."""
        values = self._read_value(name, (list,), "a list of names", [], [])
        for value in values:
            if not isinstance(value, str):
                self.add_error(name, f"{value!r} is not a name")
            else:
                self._check_name(name, value)
        if len({str(v) for v in values}) != len(values):
            self.add_error(name, "contains a duplicate name")
        return [value for value in values if isinstance(value, str)]

    def integer(
        self, name: str, default=_REQUIRED, *, low: int, high: int
    ) -> int:
        """Reads an integer from ``low`` to ``high``, inclusive."""
        expected = f"an integer from {low} to {high}"
        value = self._read_value(name, (int,), expected, default, low)
        return self._check_range(name, value, low, high)

    def number(
        self, name: str, default=_REQUIRED, *, low: float, high: float
    ) -> float:
        """Reads a number from ``low`` to ``high``, inclusive, as a float."""
        expected = f"a number from {low} to {high}"
        value = self._read_value(name, (int, float), expected, default, low)
        return float(self._check_range(name, value, low, high))

    def _check_range(self, name, value, low, high):
        if low <= value <= high:
            return value
        direction = "low" if value < low else "high"
        self.add_error(
            name, f"{value} is too {direction}; allowed: {low} to {high}"
        )
        return low

    def boolean(self, name: str, default=_REQUIRED) -> bool:
        """Reads a boolean."""
        return self._read_value(name, (bool,), "true or false", default, False)

    def choice(self, name: str, allowed: list[str], default=_REQUIRED) -> str:
        """Reads a string that must be one of ``allowed``."""
        expected = "one of " + ", ".join(allowed)
        value = self._read_value(name, (str,), expected, default, allowed[0])
        if value not in allowed:
            self.add_error(name, f"{value!r} is not {expected}")
            return allowed[0]
        return value

    def key_hash(self, name: str = "key_hash") -> str:
        """Reads ``sha256:`` and a hexadecimal digest; returns the digest."""
        value = self._read_value(
            name, (str,), "sha256:<64 hex digits>", _REQUIRED, ""
        )
        if name in self._table and not KEY_HASH_PATTERN.fullmatch(value):
            # The message omits the value, which may be a secret key that was
            # entered here by mistake.
            self.add_error(
                name, "is not a key's hash; allowed: sha256:<64 hex digits>"
            )
        return value.removeprefix("sha256:")

    def address(self, name: str, default=_REQUIRED) -> str:
        """Reads an address in the form ``ip:port``."""
        expected = "ip:port, such as 127.0.0.1:8080"
        value = self._read_value(
            name, (str,), expected, default, "127.0.0.1:0"
        )
        if name in self._table:
            self._check_address(name, value)
        return value

    def addresses(self, name: str) -> list[str]:
        """Reads a list of ``ip:port``; a missing key gives an empty list."""
        values = self._read_value(name, (list,), "a list of ip:port", [], [])
        for value in values:
            self._check_address(name, str(value))
        return [str(value) for value in values]

    def _check_address(self, key: str, value: str) -> None:
        host, _, port = value.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            is_valid = 0 <= int(port) <= 65535
        except ValueError:
            is_valid = False
        if not is_valid:
            self.add_error(
                key, f"{value!r} is not ip:port, such as 127.0.0.1:8080"
            )

    def address_map(self, name: str) -> dict[str, str]:
        """Reads a non-empty table that maps names to ``ip:port``."""
        table = self._read_value(name, (dict,), "a table", _REQUIRED, {})
        for key, value in table.items():
            self._check_name(name, key)
            if isinstance(value, str):
                self._check_address(name, value)
            else:
                self.add_error(name, f"{value!r} is not ip:port")
        if name in self._table and not table:
            self.add_error(name, "is empty; allowed: name = ip:port")
        return {k: v for k, v in table.items() if isinstance(v, str)}

    def table(self, name: str, *, required: bool = True) -> "TableReader":
        """Returns a reader for a subtable, which is empty if it is missing."""
        default = _REQUIRED if required else {}
        table = self._read_value(name, (dict,), "a table", default, {})
        return self._child(table, (*self._path, name))

    def tables(self, name: str) -> list["TableReader"]:
        """Returns readers for an array of tables, none if it is missing."""
        tables = self._read_value(name, (list,), "an array of tables", [], [])
        readers = []
        for position, table in enumerate(tables):
            if isinstance(table, dict):
                path = (*self._path, name, position)
                readers.append(self._child(table, path))
            else:
                self.add_error(name, f"{table!r} is not a table")
        return readers

    def _child(self, table: dict, path: _findings.KeyPath) -> "TableReader":
        child = TableReader(table=table, path=path, errors=self._errors)
        self._children.append(child)
        return child

    def check_unknown_keys(self) -> None:
        """Records an error for each key never read, here and in subtables."""
        for name in self._table:
            if name not in self._read_keys:
                allowed = ", ".join(sorted(self._read_keys))
                self.add_error(name, f"unknown key; allowed: {allowed}")
        for child in self._children:
            child.check_unknown_keys()


def read_document(
    path: pathlib.Path, build: typing.Callable[[TableReader], T]
) -> expression.Result[T, list[_findings.Finding]]:
    """Reads a TOML file and passes its root table to ``build``.

    Returns the result of ``build``, or all findings if there are any.
    """
    try:
        text = path.read_text(encoding="utf-8")
        table = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as exc:
        return expression.Error([_make_finding(path, 1, "", str(exc))])
    except tomllib.TOMLDecodeError as exc:
        match = re.search(r"at line (\d+)", str(exc))
        line = int(match.group(1)) if match else text.count("\n") + 1
        return expression.Error([_make_finding(path, line, "", str(exc))])
    errors: list[tuple[_findings.KeyPath, str]] = []
    root = TableReader(table=table, path=(), errors=errors)
    result = build(root)
    root.check_unknown_keys()
    if not errors:
        return expression.Ok(result)
    lines = _findings.find_key_lines(text)
    findings = [
        _make_finding(
            path,
            _findings.find_line(lines, key_path),
            _findings.format_key(key_path),
            message,
        )
        for key_path, message in errors
    ]
    findings.sort(key=lambda finding: finding.line)
    return expression.Error(findings)


def _make_finding(
    path, line: int, key: str, message: str
) -> _findings.Finding:
    return _findings.Finding(
        file=str(path), line=line, key=key, message=message
    )
