#!/bin/sh
# Checks the format, common faults and the catalogue of events.
set -eu

sources=$(git ls-files '*.c' '*.h')
# shellcheck disable=SC2086 # the lists are meant to be split
clang-format --dry-run --Werror $sources
# shellcheck disable=SC2086
cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
    --enable=warning,portability --suppress=missingIncludeSystem \
    --suppress=unusedFunction --suppress=unknownMacro --suppress=normalCheckLevelMaxBranches \
    $(git ls-files 'lib/*.c' 'programs/*.c' 'platform/*.c')
echo "lint: clean"
# shellcheck disable=SC2046 # the list is meant to be split
python3 scripts/check_catalogue.py $(git ls-files 'lib/*.c' 'programs/*.c' 'platform/*.c')
# Only platform/ may contain the header names of the platform's protocol.
if git grep -liE 'Chervilshelf-(Attempt-Id|Response-Seal|Not-Executed|Expected-Instance|Server-Load|Instance-Id|Request-Deadline|Warmup-Remaining)|Server-(Limit|Leaving)' \
    -- 'lib/*.c' 'lib/*.h' 'programs/*.c' 'programs/*.h'; then
	echo "lint: header names of the platform protocol outside platform/" >&2
	exit 1
fi
