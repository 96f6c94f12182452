"""Command-line interface."""

__all__: list[str] = []
