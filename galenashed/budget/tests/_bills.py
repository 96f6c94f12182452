"""Bill factory for the budget tests."""

from galenashed.protocol import control as wire


def make_bill(budget, tokens):
    """Returns a bill with prompt tokens only."""
    return wire.Bill(
        id="r",
        team=budget,
        budget=budget,
        subject="/",
        attempt="r",
        keyed=False,
        prompt_tokens=tokens,
        output_tokens=0,
        parts=[],
    )
