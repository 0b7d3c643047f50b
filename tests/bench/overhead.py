"""Benchmark: the latency that an entry VM adds to a call. Sends the same load
alternately straight to a target and through one entry VM, in one run."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "scenario"))
sys.path.insert(0, os.path.dirname(__file__))
from bench import cpu_seconds  # noqa: E402
from rig import Rig  # noqa: E402

SECONDS, ROUNDS = 4, 3


def print_row(label, totals, cpu_us):
    print("%-16s p50 %6d us  p99 %6d us  p99.9 %6d us  right %d of %d  "
          "cpu %s" % (label, totals["p50_us"], totals["p99_us"],
                      totals["p999_us"], totals["right"], totals["sent"],
                      "%.0f us a call" % cpu_us if cpu_us else "-"),
          flush=True)


def run(rig, rate, *options):
    entry = rig.entries[0].process
    before = cpu_seconds(entry)
    totals = rig.finish_load(rig.start_load(
        "--rate", str(rate), "--seconds", str(SECONDS), "--callers", "64",
        "--get-path", "/profiles/1?ms=5", "--post-path", "/letters/1?ms=5",
        *options))
    return totals, (cpu_seconds(entry) - before) * 1e6 / totals["sent"]


with Rig(entries=1, targets=2, slots=64,
         entry_options=["--log-level", "error"]) as rig:
    rig.apply()
    time.sleep(0.5)
    for rate in (500, 2000):
        for _ in range(ROUNDS):
            print("%d calls/s of 5 ms" % rate)
            print_row("target itself", run(rig, rate, "--direct",
                                      rig.targets[0])[0], 0)
            print_row("through entry VM", *run(rig, rate))
    print("non-idempotent, bare key, 200 calls/s")
    print_row("through entry VM", *run(rig, 200, "--post-share", "1"))
