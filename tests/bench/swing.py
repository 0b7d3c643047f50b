"""Benchmark: a load swing from 0.3 of capacity to 1.5 for two seconds and back,
and short requests mixed with long ones. Both policies get the same arrivals."""
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "scenario"))
sys.path.insert(0, os.path.dirname(__file__))
from bench import MEAN_SERVICE_MS, STRAGGLER_MS  # noqa: E402
from rig import Rig  # noqa: E402

TARGETS, SLOTS, ENTRIES = 16, 4, 15


def run(policy, rate, stragglers, *options):
    with Rig(entries=ENTRIES, targets=TARGETS, slots=SLOTS,
             target_options=["--mean-ms", str(MEAN_SERVICE_MS), "--straggler-share",
                             str(stragglers), "--straggler-ms",
                             str(STRAGGLER_MS)],
             entry_options=["--dispatch", policy, "--log-level", "error"]
             ) as rig:
        config = rig.config(deadline_ms=2000)
        config["pools"] = [{"name": "browsing", "targets": [
            {"address": a, "data_centre": "nairobi1", "slots": SLOTS}
            for a in rig.targets]}]
        config["routes"] = config["routes"][:1]
        rig.apply(config)
        rig.wait_for_membership()
        rig.finish_load(rig.start_load("--rate", str(rate), "--seconds", "2",
                                      "--callers", "240"))
        return rig.finish_load(rig.start_load(
            "--rate", str(rate), "--callers", "240", *options))


def print_row(label, totals):
    print("%-32s right %5d of %5d  not-run %5d  unknown %4d  p50 %6.1f "
          "p95 %6.1f p98 %6.1f p99 %6.1f ms" % (
              label, totals["right"], totals["sent"], totals["not_run"], totals["unknown"],
              totals["p50_us"] / 1e3, totals["p95_us"] / 1e3, totals["p98_us"] / 1e3,
              totals["p99_us"] / 1e3), flush=True)


mean = MEAN_SERVICE_MS * 0.99 + STRAGGLER_MS * 0.01
capacity = TARGETS * SLOTS * 1000.0 / mean
for policy in ("two-choices", "leases"):
    print_row("swing 0.3 - 1.5 - 0.3 " + policy,
         run(policy, 0.3 * capacity, 0.01, "--seconds", "6", "--swing-rate",
             str(1.5 * capacity), "--swing-from", "2", "--swing-to", "4"))
capacity_without_stragglers = TARGETS * SLOTS * 1000.0 / MEAN_SERVICE_MS
for policy in ("two-choices", "leases"):
    for share in (0.0, 0.01):
        print_row("0.7, %.0f%% of 600 ms, %s" % (share * 100, policy),
             run(policy, 0.7 * capacity_without_stragglers if share == 0 else 0.7 * capacity,
                 share, "--seconds", "8"))
