#!/bin/sh
# builds the stand-ins of the cases 4 to 8: byte code of the project's own, of those in review/common-2 (case 4) and of
# those beside the other cases; needs the build of the deploy file
cd "$(dirname "$0")/.." || exit 2
python3 -m compileall -q tests/standins review/common-2 review/5 review/6 review/7 review/8
