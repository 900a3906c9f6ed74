#!/bin/sh
# Builds what the scripts start beside the product: the stand-ins of the project and of the review.
# They are Python and run with the packages of target/deps, so they are compiled and imported here.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 1
if [ ! -d target/deps ]; then
    echo 'target/deps is missing: run the build of deploy/system.toml first' >&2
    exit 1
fi
PYTHONPATH="target/deps:." python3 -m compileall -q standins/users_platform review || exit 1
PYTHONPATH="target/deps:." python3 -c '
import review.common.deployment
import standins.users_platform.replica
import standins.users_platform.store
' || exit 1
echo 'stand-ins built'
