"""Faults of a file, with their place."""

import tomlkit
import tomlkit.exceptions
import tomlkit.items

Path = tuple[str | int, ...]


class Finding:
    """One fault: the file, line, key and what is wrong.

    Example::

        note.toml:12: team[0].weight: 0 is too low; allowed: 1 to 1000
    """

    __slots__ = ("file", "key", "line", "message")

    def __init__(self, *, file: str, line: int, key: str, message: str):
        self.file = file
        self.line = line
        self.key = key
        self.message = message

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}"
        if not self.key:
            return f"{place}: {self.message}"
        return f"{place}: {self.key}: {self.message}"


def format_key(path: Path) -> str:
    """Returns a dotted key, such as ``team[0].weight``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def locate_keys(text: str) -> dict[Path, int]:
    """Returns the line, from 1, on which each key of a document stands."""
    lines: dict[Path, int] = {}
    try:
        document = tomlkit.parse(text)
    except tomlkit.exceptions.TOMLKitError:
        return lines
    _walk(document, (), 1, lines)
    return lines


def _walk(container, path: Path, line: int, lines: dict[Path, int]) -> int:
    for key, item in container.body:
        if key is None:
            line += item.as_string().count("\n")
            continue
        place = (*path, key.key)
        lines.setdefault(place, line)
        if isinstance(item, tomlkit.items.Table):
            if not item.is_super_table():
                line += item.trivia.trail.count("\n")
            line = _walk(item.value, place, line, lines)
        elif isinstance(item, tomlkit.items.AoT):
            for position, table in enumerate(item.body):
                lines[(*place, position)] = line
                line += table.trivia.trail.count("\n")
                line = _walk(table.value, (*place, position), line, lines)
        else:
            line += item.as_string().count("\n")
            line += item.trivia.trail.count("\n")
    return line


def line_of(lines: dict[Path, int], path: Path) -> int:
    """Returns the line of a key, or of what encloses it if it is missing."""
    while path:
        if path in lines:
            return lines[path]
        path = path[:-1]
    return 1
