"""The command line."""

__all__: list[str] = []
