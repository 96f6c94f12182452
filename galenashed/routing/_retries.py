"""A budget for retries, so that they can't multiply an overload."""

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Allows retries as a share of the first tries.

    Example::

        retries = RetryBudget()
        retries.on_request()
        if retries.take():
            ...  # try again
    """

    __slots__ = ("_saved",)

    def __init__(self) -> None:
        self._saved = MAX_SAVED_RETRIES

    def on_request(self) -> None:
        """Counts a first try."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRY_SHARE)

    def take(self) -> bool:
        """Takes one retry, if there is one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
