#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH="target/deps:." exec python3 "$here/case.py"
