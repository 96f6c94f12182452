"""A router fleet for prepaid token budgets.

The package is a library of coordination parts (``consensus``, ``control``,
``budget``, ``membership``, ``routing``) with thin daemons over them
(``entry``, ``control``).  The coordination parts are sans-IO: they take the
time and a message and return messages, so that the same code runs under unit
tests, seeded fault tests and in production.
"""

__version__ = "0.1.0"

__all__ = ["__version__"]
