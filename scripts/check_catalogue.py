"""Checks that docs/EVENTS.md and the code list the same log events and reasons,
and that every event is logged somewhere."""
import re
import sys


def find_rows(pattern, path):
    with open(path) as text:
        return set(re.findall(pattern, text.read(), re.M))


def reasons_in_code():
    with open("lib/decide/check.c") as text:
        source = text.read()
    names = dict(re.findall(
        r"case (DC_REASON_\w+):\s+return \"(\w+)\";", source))
    numbers = dict(find_rows(r"(DC_REASON_\w+) = (\d+)", "lib/decide/decide.h"))
    return {(number, names[symbol]) for symbol, number in numbers.items()
            if number != "0"}


mismatches = 0
events = find_rows(r"CS_LOG_EVENT\(\w+, (\d+), \w+, \"(\w+)\"\)",
              "lib/base/log_events.def")
catalogue = find_rows(r"^\| (\d+) \| (\w+) \|", "docs/EVENTS.md")
documented = {row for row in catalogue if row in events}
for row in sorted((events | reasons_in_code()) - catalogue):
    print("not in docs/EVENTS.md:", *row)
    mismatches += 1
known_numbers = {number for number, _ in events | reasons_in_code()}
for row in sorted(catalogue - events - reasons_in_code()):
    print("not in the code:", *row)
    mismatches += 1
for number, name in sorted(events):
    symbol = next(iter(find_rows(
        r"CS_LOG_EVENT\((\w+), %s," % number, "lib/base/log_events.def")))
    found = any("CS_LOG_" + symbol in open(path).read()
                for path in sys.argv[1:])
    if not found:
        print("never logged:", number, name)
        mismatches += 1
print("catalogue: %d events, %d reasons, %d faults" % (
    len(events), len(reasons_in_code()), mismatches))
sys.exit(1 if mismatches else 0)
