"""A budget for retries, so that they can't multiply an overload."""

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Allows retries as a share of the first tries.

    Parameters
    ----------
    share : float
        Retries for each first try.
    max_saved : float
        Retries that may be saved up.

    Example::

        retries = RetryBudget()
        retries.on_request()
        if retries.take():
            ...  # try again
    """

    __slots__ = ("_saved", "max_saved", "share")

    def __init__(
        self,
        *,
        share: float = RETRY_SHARE,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        self.share = share
        self.max_saved = max_saved
        self._saved = max_saved

    def on_request(self) -> None:
        """Counts a first try."""
        self._saved = min(self.max_saved, self._saved + self.share)

    def take(self) -> bool:
        """Takes one retry, if there is one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
