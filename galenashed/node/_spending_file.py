"""What the holders of a place may have spent, on the disk of the place."""

import pathlib

import loguru
import msgspec

from galenashed import consensus

LOG = loguru.logger


class HolderBounds(msgspec.Struct, array_like=True, frozen=True):
    """The most that a holder spends of grants, in tokens, by grant.

    Nothing is said about grants that are not listed.
    """

    holder: str
    bounds: dict[str, int]


class SpendingFile:
    """File with the bounds of this holder and of its dead predecessors.

    A predecessor is listed until control has its bounds.  Its file is that of
    the same place, where only one process can run.

    Parameters
    ----------
    path : pathlib.Path
        The file; replaced as a whole by each write.
    holder : str
        This holder, named after its place.

    Example::

        file = SpendingFile(path=directory / "spending", holder="place/2")
        file.open()
        file.write({"place/2/1": 4000})
    """

    __slots__ = ("_holder", "_path", "predecessors")

    def __init__(self, *, path: pathlib.Path, holder: str):
        self._path = path
        self._holder = holder
        self.predecessors: list[HolderBounds] = []

    def open(self) -> None:
        """Reads the bounds of predecessors.

        A file that is missing or damaged says nothing about them.
        """
        try:
            content = msgspec.msgpack.decode(
                consensus.read_file(self._path), type=list[HolderBounds]
            )
        except FileNotFoundError:
            return
        except (
            consensus.StorageError,
            msgspec.MsgspecError,
            OSError,
        ) as exc:
            LOG.error("bounds of earlier holders can't be read: {}", exc)
            return
        place = self._place_of(self._holder)
        self.predecessors = [
            item
            for item in content
            if item.bounds
            and item.holder != self._holder
            and self._place_of(item.holder) == place
        ]

    def write(self, bounds: dict[str, int]) -> None:
        """See :class:`galenashed.budget.BoundsStore`."""
        content = [*self.predecessors, HolderBounds(self._holder, bounds)]
        consensus.write_file(self._path, msgspec.msgpack.encode(content))

    def forget_predecessors(self) -> None:
        """Leaves out predecessors from the next write on."""
        self.predecessors = []

    @staticmethod
    def _place_of(holder: str) -> str:
        return holder.rpartition("/")[0]
