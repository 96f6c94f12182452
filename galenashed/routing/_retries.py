"""Retry budget, which keeps retries from amplifying an overload."""

RETRY_SHARE = 0.1
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Limits retries to a share of the first attempts.

    Parameters
    ----------
    share : float
        Retries gained by each first attempt.
    max_saved : float
        Maximum number of unused retries that accumulate.

    Example::

        retries = RetryBudget()
        retries.on_request()
        if retries.try_acquire():
            ...  # send the request again
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
        """Records a first attempt."""
        self._saved = min(self.max_saved, self._saved + self.share)

    def try_acquire(self) -> bool:
        """Takes one retry from the budget; returns whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
