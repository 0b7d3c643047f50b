#!/bin/sh
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not
# run. TROUBLE=0 leaves the disruption out. Writes record.txt beside this file: what was
# sent, answered and run.
command -v python3 >/dev/null || exit 2
exec python3 "$(dirname "$0")/case.py"
