"""Demo on loopback: stand-ins, three entry VMs and a mix of calls.

Prints the number of served calls, the calls by target, the latency and the
output of the operator commands, then stops every process that it started.
"""
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tests", "scenario"))
from rig import Rig, request  # noqa: E402

with Rig(entries=3, targets=8, regions=("nairobi", "kisumu", "mombasa")) as rig:
    print("platform stand-in  http://" + rig.platform)
    print("target stand-ins   " + " ".join(rig.targets))
    for entry in rig.entries:
        print("entry VM %-9s callers %s  admin %s" % (
            entry.name, entry.listen, entry.admin))
    print("\n$ chervilshelf apply config.json --wait")
    print(rig.apply()[1].strip())
    rig.wait_for_membership()
    print("\ncalls for 3 s: 300 per second, 3 in 10 non-idempotent with a key")
    totals = rig.finish_load(rig.start_load(
        "--rate", "300", "--seconds", "3", "--post-share", "0.3",
        "--member", "barua", "--callers", "40"))
    print("sent %(sent)d, right %(right)d, wrong %(wrong)d, not-run "
          "%(not_run)d, unknown %(unknown)d, lost %(lost)d" % totals)
    print("p50 %.1f ms, p95 %.1f ms, p99 %.1f ms" % (
        totals["p50_us"] / 1e3, totals["p95_us"] / 1e3,
        totals["p99_us"] / 1e3))
    served = json.loads(request(rig.control, "GET", "/served")[2])
    for address, count in sorted(served.items()):
        print("  %s served %d" % (address, count))
    for command in ("status", "report"):
        print("\n$ chervilshelf " + command)
        print(rig.run_command(command)[1], end="")
    sys.exit(0 if totals["right"] == totals["sent"] else 1)
