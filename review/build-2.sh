#!/bin/sh
# builds the stand-ins of the cases 4 to 8: byte code of the project's own and of those in review/common-2 and
# review/common-3; needs the build of the deploy file
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q tests/standins review/common-2 review/common-3
