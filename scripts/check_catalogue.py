"""Holds docs/EVENTS.md against the code: log events and reasons, both ways."""
import re
import sys


def rows(pattern, path):
    with open(path) as text:
        return set(re.findall(pattern, text.read(), re.M))


def names_in_code():
    with open("lib/decide/check.c") as text:
        source = text.read()
    names = dict(re.findall(
        r"case (DC_REASON_\w+):\s+return \"(\w+)\";", source))
    numbers = dict(rows(r"(DC_REASON_\w+) = (\d+)", "lib/decide/decide.h"))
    return {(number, names[symbol]) for symbol, number in numbers.items()
            if number != "0"}


faults = 0
events = rows(r"CS_LOG_EVENT\(\w+, (\d+), \w+, \"(\w+)\"\)",
              "lib/base/log_events.def")
catalogue = rows(r"^\| (\d+) \| (\w+) \|", "docs/EVENTS.md")
documented = {row for row in catalogue if row in events}
for row in sorted((events | names_in_code()) - catalogue):
    print("not in docs/EVENTS.md:", *row)
    faults += 1
known_numbers = {number for number, _ in events | names_in_code()}
for row in sorted(catalogue - events - names_in_code()):
    print("not in the code:", *row)
    faults += 1
for number, name in sorted(events):
    symbol = next(iter(rows(
        r"CS_LOG_EVENT\((\w+), %s," % number, "lib/base/log_events.def")))
    found = any("CS_LOG_" + symbol in open(path).read()
                for path in sys.argv[1:])
    if not found:
        print("never logged:", number, name)
        faults += 1
print("catalogue: %d events, %d reasons, %d faults" % (
    len(events), len(names_in_code()), faults))
sys.exit(1 if faults else 0)
