"""Errors in a TOML file, with their locations."""

import tomlkit
import tomlkit.exceptions
import tomlkit.items

# Keys and array positions from the root of a document to a value.
KeyPath = tuple[str | int, ...]


class Finding:
    """One error in a file, with its line and key; line 0 is unknown.

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
        return self.describe()

    def describe(self, severity: str = "") -> str:
        """Returns the finding in one line, with its severity if given."""
        location = f"{self.file}:{self.line}" if self.line else self.file
        parts = [location, severity, self.key, self.message]
        return ": ".join(part for part in parts if part)


def format_key(path: KeyPath) -> str:
    """Formats a path as a dotted key, such as ``team[0].weight``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text


def find_key_lines(text: str) -> dict[KeyPath, int]:
    """Returns the line number of each key of a document, starting at 1.

    The result is empty if the document is not valid TOML.
    """
    lines: dict[KeyPath, int] = {}
    try:
        document = tomlkit.parse(text)
    except tomlkit.exceptions.TOMLKitError:
        return lines
    _add_key_lines(document, (), 1, lines)
    return lines


def _add_key_lines(
    container, path: KeyPath, line: int, lines: dict[KeyPath, int]
) -> int:
    for key, item in container.body:
        if key is None:
            line += item.as_string().count("\n")
            continue
        item_path = (*path, key.key)
        lines.setdefault(item_path, line)
        if isinstance(item, tomlkit.items.Table):
            if not item.is_super_table():
                line += item.trivia.trail.count("\n")
            line = _add_key_lines(item.value, item_path, line, lines)
        elif isinstance(item, tomlkit.items.AoT):
            for position, table in enumerate(item.body):
                lines[(*item_path, position)] = line
                line += table.trivia.trail.count("\n")
                line = _add_key_lines(
                    table.value, (*item_path, position), line, lines
                )
        else:
            line += item.as_string().count("\n")
            line += item.trivia.trail.count("\n")
    return line


def find_line(lines: dict[KeyPath, int], path: KeyPath) -> int:
    """Returns the line of a key or, if it is missing, of its parent table."""
    while path:
        if path in lines:
            return lines[path]
        path = path[:-1]
    return 1
