"""Bills for the tests of budgets."""

from galenashed.protocol import control as wire


def make_bill(budget, tokens):
    """Returns a bill for a prompt alone."""
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
