"""Reads a TOML document key by key and collects what is wrong with it."""

import ipaddress
import pathlib
import re
import tomllib
import typing

import expression

from galenashed.config import _findings

T = typing.TypeVar("T")

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
HASH_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")

_REQUIRED: typing.Any = object()


class Section:
    """One table of a document.

    Each reader method takes a key, checks its value and returns it, or a
    stand-in of the right type if there is a fault; the fault is collected.
    Keys that nobody read are faults too.
    """

    def __init__(self, *, table: dict, path: _findings.Path, faults: list):
        self._table = table
        self._path = path
        self._faults = faults
        self._read: set[str] = set()
        self._children: list[Section] = []

    def add_fault(self, name: str, message: str) -> None:
        """Collects a fault of a key of this table."""
        path = (*self._path, name) if name else self._path
        self._faults.append((path, message))

    def has(self, name: str) -> bool:
        """Whether the key is there."""
        return name in self._table

    def _take(self, name, kinds, wanted, default, standin):
        self._read.add(name)
        if name not in self._table:
            if default is _REQUIRED:
                self.add_fault(name, f"missing; allowed: {wanted}")
                return standin
            return default
        value = self._table[name]
        is_flag = isinstance(value, bool) and bool not in kinds
        if is_flag or not isinstance(value, kinds):
            self.add_fault(name, f"{value!r} is not {wanted}")
            return standin
        return value

    def text(self, name: str, default=_REQUIRED) -> str:
        """Reads a text that is not empty."""
        value = self._take(name, (str,), "a text", default, "")
        if value == "" and default != "" and name in self._table:
            self.add_fault(name, "'' is empty; allowed: a text")
        return value

    def name(self, name: str = "name", default=_REQUIRED) -> str:
        """Reads a name: letters, digits, dot, hyphen, underscore."""
        value = self._take(name, (str,), "a name", default, "")
        if name in self._table and value is not None:
            self._check_name(name, value)
        return value

    def _check_name(self, key: str, value: str) -> None:
        if not NAME_PATTERN.fullmatch(value):
            self.add_fault(
                key,
                f"{value!r} is not a name; allowed: up to 64 letters,"
                " digits, '.', '-', '_'",
            )

    def names(self, name: str) -> list[str]:
        """Reads a list of names, empty if it is missing."""
        values = self._take(name, (list,), "a list of names", [], [])
        for value in values:
            if not isinstance(value, str):
                self.add_fault(name, f"{value!r} is not a name")
            else:
                self._check_name(name, value)
        if len({str(v) for v in values}) != len(values):
            self.add_fault(name, "has a name twice")
        return [value for value in values if isinstance(value, str)]

    def integer(
        self, name: str, default=_REQUIRED, *, low: int, high: int
    ) -> int:
        """Reads a whole number from ``low`` to ``high``."""
        wanted = f"a whole number from {low} to {high}"
        value = self._take(name, (int,), wanted, default, low)
        return self._bounded(name, value, low, high)

    def number(
        self, name: str, default=_REQUIRED, *, low: float, high: float
    ) -> float:
        """Reads a number from ``low`` to ``high``."""
        wanted = f"a number from {low} to {high}"
        value = self._take(name, (int, float), wanted, default, low)
        return float(self._bounded(name, value, low, high))

    def _bounded(self, name, value, low, high):
        if low <= value <= high:
            return value
        word = "low" if value < low else "high"
        self.add_fault(
            name, f"{value} is too {word}; allowed: {low} to {high}"
        )
        return low

    def flag(self, name: str, default=_REQUIRED) -> bool:
        """Reads true or false."""
        return self._take(name, (bool,), "true or false", default, False)

    def choice(self, name: str, allowed: list[str], default=_REQUIRED) -> str:
        """Reads one of some words."""
        wanted = "one of " + ", ".join(allowed)
        value = self._take(name, (str,), wanted, default, allowed[0])
        if value not in allowed:
            self.add_fault(name, f"{value!r} is not {wanted}")
            return allowed[0]
        return value

    def key_hash(self, name: str = "key_hash") -> str:
        """Reads ``sha256:`` and a digest; returns the digest."""
        value = self._take(
            name, (str,), "sha256:<64 hex digits>", _REQUIRED, ""
        )
        if name in self._table and not HASH_PATTERN.fullmatch(value):
            # The value may be a key put here by mistake: it is not shown.
            self.add_fault(
                name, "is not a key's hash; allowed: sha256:<64 hex digits>"
            )
        return value.removeprefix("sha256:")

    def address(self, name: str, default=_REQUIRED) -> str:
        """Reads ``ip:port``."""
        wanted = "ip:port, such as 127.0.0.1:8080"
        value = self._take(name, (str,), wanted, default, "127.0.0.1:0")
        if name in self._table:
            self._check_address(name, value)
        return value

    def addresses(self, name: str) -> list[str]:
        """Reads a list of ``ip:port``, empty if it is missing."""
        values = self._take(name, (list,), "a list of ip:port", [], [])
        for value in values:
            self._check_address(name, str(value))
        return [str(value) for value in values]

    def _check_address(self, key: str, value: str) -> None:
        host, _, port = value.rpartition(":")
        try:
            ipaddress.ip_address(host.strip("[]"))
            good = 0 <= int(port) <= 65535
        except ValueError:
            good = False
        if not good:
            self.add_fault(
                key, f"{value!r} is not ip:port; allowed: 127.0.0.1:8080"
            )

    def address_map(self, name: str) -> dict[str, str]:
        """Reads a table of names and their ``ip:port``."""
        table = self._take(name, (dict,), "a table", _REQUIRED, {})
        for key, value in table.items():
            self._check_name(name, key)
            if isinstance(value, str):
                self._check_address(name, value)
            else:
                self.add_fault(name, f"{value!r} is not ip:port")
        if name in self._table and not table:
            self.add_fault(name, "is empty; allowed: name = ip:port")
        return {k: v for k, v in table.items() if isinstance(v, str)}

    def section(self, name: str, *, required: bool = True) -> "Section":
        """Returns a table below this one, empty if it is missing."""
        default = _REQUIRED if required else {}
        table = self._take(name, (dict,), "a table", default, {})
        return self._child(table, (*self._path, name))

    def sections(self, name: str) -> list["Section"]:
        """Returns an array of tables, empty if it is missing."""
        tables = self._take(name, (list,), "an array of tables", [], [])
        found = []
        for position, table in enumerate(tables):
            if isinstance(table, dict):
                path = (*self._path, name, position)
                found.append(self._child(table, path))
            else:
                self.add_fault(name, f"{table!r} is not a table")
        return found

    def _child(self, table: dict, path: _findings.Path) -> "Section":
        child = Section(table=table, path=path, faults=self._faults)
        self._children.append(child)
        return child

    def close(self) -> None:
        """Collects the keys that nobody read, here and below."""
        for name in self._table:
            if name not in self._read:
                allowed = ", ".join(sorted(self._read))
                self.add_fault(name, f"unknown key; allowed: {allowed}")
        for child in self._children:
            child.close()


def read_document(
    path: pathlib.Path, build: typing.Callable[[Section], T]
) -> expression.Result[T, list[_findings.Finding]]:
    """Reads a file through ``build``; returns its result or all findings."""
    try:
        text = path.read_text(encoding="utf-8")
        table = tomllib.loads(text)
    except (OSError, UnicodeDecodeError) as exc:
        return expression.Error([_finding(path, 1, "", str(exc))])
    except tomllib.TOMLDecodeError as exc:
        match = re.search(r"at line (\d+)", str(exc))
        line = int(match.group(1)) if match else text.count("\n") + 1
        return expression.Error([_finding(path, line, "", str(exc))])
    faults: list[tuple[_findings.Path, str]] = []
    root = Section(table=table, path=(), faults=faults)
    result = build(root)
    root.close()
    if not faults:
        return expression.Ok(result)
    lines = _findings.locate_keys(text)
    findings = [
        _finding(
            path,
            _findings.line_of(lines, place),
            _findings.format_key(place),
            message,
        )
        for place, message in faults
    ]
    findings.sort(key=lambda finding: finding.line)
    return expression.Error(findings)


def _finding(path, line: int, key: str, message: str) -> _findings.Finding:
    return _findings.Finding(
        file=str(path), line=line, key=key, message=message
    )
