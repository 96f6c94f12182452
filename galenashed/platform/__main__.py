"""Entry point of ``python3 -m galenashed.platform``."""

import sys

from galenashed.platform import _program

sys.exit(_program.main())
