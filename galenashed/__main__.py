"""Runs the command line with ``python -m galenashed``."""

from galenashed.cli import main

if __name__ == "__main__":
    main.run()
