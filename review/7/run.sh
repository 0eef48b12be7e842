#!/bin/sh
# exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:tests:review/7 exec python3 -S review/7/case.py
