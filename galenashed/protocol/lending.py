"""Messages by which entries hand prepaid tokens to one another."""

import msgspec


class Loan(msgspec.Struct, frozen=True, kw_only=True):
    """Asks for tokens of a budget, at best ``need`` of them."""

    borrower: str
    budget: str
    need: int


class Lent(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that count as spent at the giver and are the asker's now."""

    tokens: int
