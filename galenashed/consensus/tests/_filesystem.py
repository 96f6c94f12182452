"""Stands in for ``os`` in the storage and tracks what a power loss keeps."""

import contextlib
import errno
import itertools
import os
import pathlib
import random
import typing

from galenashed.consensus import _storage


class Crash(BaseException):
    """Raised at a step of the storage in place of the step."""


class File:
    """Content of one file, now and as of its last sync."""

    __slots__ = ("data", "synced")

    def __init__(self) -> None:
        self.data = b""
        self.synced = b""

    def contents_after_power_loss(self) -> list[bytes]:
        """Returns the contents that a power loss may leave."""
        if self.data == self.synced:
            return [self.synced]
        torn = self.data[: (len(self.synced) + len(self.data)) // 2]
        zeros = self.synced.ljust(len(self.data), b"\0")
        return [self.synced, torn, zeros, self.data]


class FileSystem:
    """File operations of the storage below one directory.

    Names that were created, renamed or removed since the last sync of the
    directory may each be kept or lost, and so may what was written to a file
    since its last sync.  Syncs are recorded but not passed on.

    ``before_step`` is called before each operation that changes or syncs
    something; an exception that it raises takes the place of the operation.

    Example::

        files = FileSystem(directory)
        with files.installed():
            storage.save(ready)
        for content in files.power_loss_states():
            files.restore(content)
    """

    def __init__(self, directory: pathlib.Path):
        self.directory = pathlib.Path(directory)
        self.before_step: typing.Callable[[], None] = lambda: None
        self._names: dict[str, File] = {}
        self._durable: dict[str, File] = {}
        self._open: dict[int, File | None] = {}

    @contextlib.contextmanager
    def installed(self) -> typing.Iterator[None]:
        """Routes the operations of the storage through this object."""

        original = _storage.os, pathlib.Path.unlink
        _storage.os = self
        pathlib.Path.unlink = lambda path: self.unlink(path)
        try:
            yield
        finally:
            _storage.os, pathlib.Path.unlink = original

    def __getattr__(self, name: str):
        return getattr(os, name)

    # Operations

    def open(self, path, flags: int, mode: int = 0o777) -> int:
        file = None
        if pathlib.Path(path) != self.directory:
            self.before_step()
            name = pathlib.Path(path).name
            file = self._names.setdefault(name, File())
            if flags & os.O_TRUNC:
                file.data = b""
        fd = os.open(path, flags, mode)
        self._open[fd] = file
        return fd

    def close(self, fd: int) -> None:
        del self._open[fd]
        os.close(fd)

    def write(self, fd: int, data) -> int:
        file = self._open[fd]
        assert file is not None
        self.before_step()
        written = os.write(fd, data)
        file.data += bytes(data[:written])
        return written

    def fsync(self, fd: int) -> None:
        self.before_step()
        file = self._open[fd]
        if file is None:
            self._durable = dict(self._names)
        else:
            file.synced = file.data

    fdatasync = fsync

    def replace(self, source, target) -> None:
        self.before_step()
        os.replace(source, target)
        file = self._names.pop(pathlib.Path(source).name)
        self._names[pathlib.Path(target).name] = file

    def unlink(self, path) -> None:
        self.before_step()
        os.unlink(path)
        del self._names[pathlib.Path(path).name]

    # Power losses

    def _choices(self) -> list[list[tuple[str, bytes | None]]]:
        """Returns for each name what a power loss may leave under it."""
        choices = []
        for name in sorted({*self._names, *self._durable}):
            contents: list[bytes | None] = []
            for file in (self._durable.get(name), self._names.get(name)):
                if file is None:
                    contents.append(None)
                else:
                    contents.extend(file.contents_after_power_loss())
            unique = dict.fromkeys(contents)
            choices.append([(name, content) for content in unique])
        return choices

    def current_state(self) -> dict[str, bytes]:
        """Returns the content by name, as the end of a process leaves it."""
        return {name: file.data for name, file in self._names.items()}

    def power_loss_states(self) -> typing.Iterator[dict[str, bytes]]:
        """Yields each content by name that a power loss may leave."""
        for combination in itertools.product(*self._choices()):
            yield {
                n: content for n, content in combination if content is not None
            }

    def choose_power_loss_state(self, rng: random.Random) -> dict[str, bytes]:
        """Returns one of the states that a power loss may leave."""
        chosen = [rng.choice(options) for options in self._choices()]
        return {n: content for n, content in chosen if content is not None}

    def restore(self, state: dict[str, bytes]) -> None:
        """Replaces the directory by a state, which counts as durable."""
        for fd in list(self._open):
            self.close(fd)
        self.directory.mkdir(parents=True, exist_ok=True)
        for path in self.directory.iterdir():
            os.unlink(path)
        self._names = {}
        for name, content in state.items():
            (self.directory / name).write_bytes(content)
            file = self._names[name] = File()
            file.data = file.synced = content
        self._durable = dict(self._names)


class StepLimit:
    """Raises an error in place of the step after a number of steps.

    With ``repeat`` each later step fails as well.
    """

    __slots__ = ("error", "remaining", "repeat")

    def __init__(
        self, steps: int, error: BaseException, *, repeat: bool = False
    ):
        self.remaining = steps
        self.error = error
        self.repeat = repeat

    def __call__(self) -> None:
        self.remaining -= 1
        if self.remaining == -1 or (self.repeat and self.remaining < -1):
            raise self.error


def no_space() -> OSError:
    """Returns the error of a write to a full disk."""
    return OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
