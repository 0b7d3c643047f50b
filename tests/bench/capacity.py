"""Benchmark for docs/CAPACITY.md: control traffic, CPU and memory of one entry
VM by the number of entry VMs and by its calls per second.
Usage: capacity.py [SIZES]"""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "scenario"))
sys.path.insert(0, os.path.dirname(__file__))
from bench import cpu_seconds, read_metrics, peak_rss_mb  # noqa: E402
from rig import Rig, get_json  # noqa: E402

PERIOD_S = 8


def sample(rig):
    return (time.monotonic(), [read_metrics(e) for e in rig.entries],
            sum(cpu_seconds(e.process) for e in rig.entries))


def rate_per_vm(rig, before, after, name):
    total = sum(a[name] - b[name] for a, b in zip(after[1], before[1]))
    return total / (after[0] - before[0]) / len(rig.entries)


def print_row(rig, label, before, after):
    cpu = (after[2] - before[2]) / (after[0] - before[0]) / len(rig.entries)
    print("%3d %-10s %8.1f %8.1f %8.1f %8.2f %8.2f %7.2f %6.1f" % (
        len(rig.entries), label,
        rate_per_vm(rig, before, after, "chervilshelf_calls_arrived_total"),
        rate_per_vm(rig, before, after, "chervilshelf_peer_messages_sent_total"),
        rate_per_vm(rig, before, after, "chervilshelf_peer_bytes_sent_total"),
        rate_per_vm(rig, before, after, "chervilshelf_platform_calls_total")
        * len(rig.entries),
        rate_per_vm(rig, before, after, "chervilshelf_lease_messages_total"),
        cpu * 100, max(peak_rss_mb(e.process) for e in rig.entries)), flush=True)


def measure_size(size, rates):
    with Rig(entries=size, targets=16, slots=4,
             target_options=["--mean-ms", "20"],
             entry_options=["--log-level", "error"]) as rig:
        rig.apply()
        rig.wait_for_membership()
        time.sleep(2)
        before = sample(rig)
        time.sleep(PERIOD_S)
        print_row(rig, "idle", before, sample(rig))
        for rate in rates:
            before = sample(rig)
            rig.finish_load(rig.start_load(
                "--rate", str(rate), "--seconds", str(PERIOD_S),
                "--callers", "240", "--get-path", "/profiles/1"))
            print_row(rig, "%d/s" % rate, before, sample(rig))
        if size == 15:
            measure_config_changes(rig)


def measure_config_changes(rig):
    """Times twenty configuration changes until all entry VMs use them."""
    durations_s = []
    for weight in range(2, 22):
        began = time.monotonic()
        rig.apply(rig.config(weight=weight))
        durations_s.append(time.monotonic() - began)
        assert all(get_json(e.admin, "/status")["config_version"] == weight
                   for e in rig.entries)
    durations_s.sort()
    print("in force on 15 entry VMs, apply --wait included: median %.0f ms, "
          "slowest of 20 %.0f ms" % (durations_s[10] * 1e3, durations_s[-1] * 1e3))


def main():
    sizes = [int(x) for x in (sys.argv[1] if len(sys.argv) > 1
                              else "15,30,60").split(",")]
    print("%3s %-10s %8s %8s %8s %8s %8s %7s %6s" % (
        "VMs", "load", "calls/s", "msg/s", "bytes/s", "store/s", "lease/s",
        "cpu%", "MB"))
    print("per entry VM, except store/s: platform calls of all entry VMs")
    for size in sizes:
        measure_size(size, [500, 1000] if size <= 30 else [500])


if __name__ == "__main__":
    main()
