#!/bin/sh
# Builds with AddressSanitizer and UndefinedBehaviorSanitizer in a folder of its own
# and runs all tests, by hand:
#
#     scripts/sanitize.sh [ARGUMENTS OF CTEST]
#
# Fails if a test fails or a process reports anything, also one whose test passes: the
# output of the programs that a scenario starts is in its temporary folder.
# BUILD (build-sanitize), JOBS of the build (3) and TEST_JOBS (2) are taken from the
# environment.
set -eu

build=${BUILD:-build-sanitize}
jobs=${JOBS:-3}
test_jobs=${TEST_JOBS:-2}
cmake -S . -B "$build" -DSANITIZE=ON >/dev/null
cmake --build "$build" -j"$jobs"
reports=$(cd "$build" && pwd)/reports
rm -rf "$reports"
mkdir "$reports"

# Nothing is freed at the end of a process: leaks are not looked for.
export SANITIZED=1
export ASAN_OPTIONS="detect_leaks=0:log_path=$reports/address"
export UBSAN_OPTIONS="print_stacktrace=1:log_path=$reports/undefined"
status=0
(cd "$build" && ctest -j"$test_jobs" --output-on-failure "$@") || status=$?

for report in "$reports"/*; do
	[ -e "$report" ] || continue
	echo "sanitize: $report"
	cat "$report"
	status=1
done
exit $status
