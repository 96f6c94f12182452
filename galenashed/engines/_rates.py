"""Request rates that targets name in their responses."""

MAX_DIGITS = 18


def parse_decimal(value: str | None) -> float | None:
    """Parses a decimal number, 0 or more; returns None for anything else.

    Example::

        assert parse_decimal("1.5") == 1.5
        assert parse_decimal("soon") is None
    """
    if not value or len(value) > MAX_DIGITS:
        return None
    whole, point, decimals = value.partition(".")
    digits = whole + decimals if point else whole
    if not (digits.isascii() and digits.isdigit()):
        return None
    return float(value)
