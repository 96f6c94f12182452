#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
exec timeout -s KILL 118 python3 case.py
