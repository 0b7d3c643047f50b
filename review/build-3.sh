#!/bin/sh
# Prepares the cases 11 to 15, after the build of deploy/system.toml. Their stand-ins
# are Python programs that need only its standard library: nothing is compiled but
# checked.
set -eu
cd "$(dirname "$0")"
python3 - standins-2/fleet.py 12/case.py 13/case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
PYTHON
