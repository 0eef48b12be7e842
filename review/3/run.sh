#!/bin/sh
# Runs the case in the folder of the caller: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
export NODE_PATH="$root/target/deps"
export PYTHONPATH="$root/target/deps:$root/tests:$root/review/common" PYTHONDONTWRITEBYTECODE=1
exec python3 -S "$folder/case.py"
