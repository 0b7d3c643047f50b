#!/bin/sh
# The stand-ins are Python programs and need no build; checks that they parse.
cd "$(dirname "$0")" || exit 1
exec python3 - <<'P'
import ast, glob, sys
if sys.version_info < (3, 8):
    sys.exit("the stand-ins need Python 3.8 or later")
for path in sorted(glob.glob("standins/*.py") + glob.glob("[0-9]*/*.py")):
    with open(path) as source:
        ast.parse(source.read(), path)
    print("ok", path)
P
