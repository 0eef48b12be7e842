#!/bin/sh
# Checks the stand-ins of the scripts: they are Python programs, run with the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD/target/deps:$PWD/tests:$PWD/review/common" \
    python3 -S -c "import deployment, standins.platform.servers, standins.platform.store, standins.platform.operator"
