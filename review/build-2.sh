#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: all are Python, and need
# the packages of target/deps only. Run at the project's root after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -B -c '
import review.stage2.deployment
import standins.users_platform.replica
import standins.users_platform.store
'
