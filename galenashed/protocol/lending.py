"""Messages for lending prepaid tokens between entries."""

import msgspec


class LoanRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request for up to ``need`` tokens of a budget."""

    borrower: str
    budget: str
    need: int


class LoanReply(msgspec.Struct, frozen=True, kw_only=True):
    """Reply to a :class:`LoanRequest`: the number of tokens transferred.

    The lender counts them as spent; the borrower may spend them.
    """

    tokens: int
