#!/usr/bin/env bash
# Builds what the scripts of cases 12 to 15 and of late-report start, after the
# build of the deploy file.  All stand-ins are in Python and need no other library,
# so this checks that they compile and that the program of the deploy file can be
# imported.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPYCACHEPREFIX="${TMPDIR:-/tmp}/review-pycache-$$"
trap 'rm -rf "$PYTHONPYCACHEPREFIX"' EXIT
python3 -m py_compile review/site3.py review/1[2-5]/*.py review/late-report/*.py
PYTHONPATH=target/deps python3 -c "import galenashed.platform._program"
