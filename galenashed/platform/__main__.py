"""Entry point of ``python3 -m galenashed.platform``."""

import gc
import signal
import sys

# By default a reload would end the process.  One that is requested before the
# program handles the signal is noticed when it first checks the settings file.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from galenashed.platform import _place  # noqa: E402

place = _place.hold_place()
# Nearly all objects that imports create live until exit.
gc.disable()

from galenashed.platform import _program  # noqa: E402

sys.exit(_program.main(place))
