"""Benchmark: dispatch policies side by side on separate processes.

With "+path" after a policy, callers name their path in the directory request.
For each load, each policy runs with the same arrivals (same seed) against new
stand-ins: open loop, latency from the intended start. The table also has an
ideal central queue, simulated with the same distributions of arrivals and
service times. Prints a table; `make bench` keeps it under docs/results/.

Usage: bench.py [--seconds S] [--entries N] [--loads 0.7,0.85] [--policies P]
"""
import argparse
import heapq
import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "scenario"))
from rig import Rig, request  # noqa: E402

MEAN_SERVICE_MS, STRAGGLER_MS = 20.0, 600.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def draw_service_ms(rng, straggler_share):
    if rng.random() < straggler_share:
        return STRAGGLER_MS
    return float(int(rng.expovariate(1.0 / MEAN_SERVICE_MS)))


def central_queue_quantiles_ms(rate, slots, straggler_share, seconds, seed):
    """Returns latency quantiles of one FIFO queue before all slots."""
    rng = random.Random(seed)
    free = [0.0] * slots
    now, end, times = 0.0, seconds * 1000.0, []
    while now < end:
        now += rng.expovariate(rate / 1000.0)
        start = max(now, free[0])
        done = start + draw_service_ms(rng, straggler_share)
        heapq.heapreplace(free, done)
        times.append(done - now)
    times.sort()
    return [times[int(q * (len(times) - 1))] for q in (0.5, 0.95, 0.99)]


def read_metrics(entry):
    text = request(entry.admin, "GET", "/metrics")[2].decode()
    return {line.split()[0]: int(line.split()[1])
            for line in text.splitlines() if line[0] != "#"}


def cpu_seconds(process):
    with open("/proc/%d/stat" % process.pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def peak_rss_mb(process):
    with open("/proc/%d/status" % process.pid) as status:
        for line in status:
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1024.0
    return 0.0


def usage_since(rig, before):
    """Returns messages and bytes sent, CPU share (per node and second), peak
    memory, and totals of lease messages, unleased attempts and hedges."""
    seconds = time.monotonic() - before[0]
    count = len(rig.entries)
    now = [read_metrics(e) for e in rig.entries]
    cpu = sum(cpu_seconds(e.process) for e in rig.entries)

    def total(name):
        return sum(n[name] - b[name] for n, b in zip(now, before[1]))
    return {
        "messages": total("chervilshelf_peer_messages_sent_total")
        / seconds / count,
        "bytes": total("chervilshelf_peer_bytes_sent_total")
        / seconds / count,
        "lease": total("chervilshelf_lease_messages_total"),
        "unleased": total("chervilshelf_attempts_unleased_total"),
        "hedges": total("chervilshelf_hedges_total"),
        "cpu": (cpu - before[2]) / seconds / count,
        "rss": max(peak_rss_mb(e.process) for e in rig.entries),
    }


def measure(args, policy, load, seed):
    slots = args.targets * args.slots
    mean = MEAN_SERVICE_MS * (1 - args.stragglers) + STRAGGLER_MS * args.stragglers
    rate = load * slots * 1000.0 / mean
    with Rig(entries=args.entries, targets=args.targets, slots=args.slots,
             regions=args.regions.split(","),
             target_options=["--mean-ms", str(MEAN_SERVICE_MS), "--straggler-share",
                             str(args.stragglers), "--straggler-ms",
                             str(STRAGGLER_MS), "--seed", str(seed)],
             entry_options=["--dispatch", policy.split("+")[0],
                            "--log-level", "error"]) as rig:
        path_options = ["--ask-path"] if policy.endswith("+path") else []
        config = rig.config(deadline_ms=args.deadline_ms)
        pool = {"name": "browsing", "targets": [
            {"address": a, "data_centre": "nairobi1", "slots": args.slots}
            for a in rig.targets]}
        config["pools"] = [pool]
        config["routes"] = [r for r in config["routes"]
                            if r["name"] == "browse"]
        rig.apply(config)
        rig.wait_for_membership()
        if args.slow:
            for index in range(args.slow):
                rig.set_target_fault("target=%d&slow=3" % index)
        rig.finish_load(rig.start_load(  # warms up connections and leases
            "--rate", str(rate * 0.5), "--seconds", "1", "--callers", "240", *path_options))
        before = (time.monotonic(), [read_metrics(e) for e in rig.entries],
                  sum(cpu_seconds(e.process) for e in rig.entries))
        totals = rig.finish_load(rig.start_load(
            "--rate", str(rate), "--seconds", str(args.seconds),
            "--callers", "240", "--seed", str(seed), *path_options))
        totals.update(usage_since(rig, before))
    totals["rate"] = rate
    totals["completed"] = totals["right"] / (args.seconds * slots * 1000.0
                                             / mean)
    totals["per_call"] = totals["lease"] / max(1, totals["sent"])
    return totals


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--entries", type=int, default=15)
    parser.add_argument("--targets", type=int, default=16)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--stragglers", type=float, default=0.01)
    parser.add_argument("--slow", type=int, default=0)
    parser.add_argument("--deadline-ms", type=int, default=2000)
    parser.add_argument("--regions", default="nairobi")
    parser.add_argument("--loads", default="0.7,0.85,0.95,1.5,3")
    parser.add_argument("--policies", default="two-choices,leases,leases+path")
    parser.add_argument("--seed", type=int, default=7)
    args = parser.parse_args()
    print("%d entry VMs, %d targets of %d slots, %.0f ms mean, %.1f%% "
          "stragglers of %.0f ms, %.0f s, seed %d, slow targets %d, "
          "%d cores" % (args.entries, args.targets, args.slots, MEAN_SERVICE_MS,
                        args.stragglers * 100, STRAGGLER_MS, args.seconds,
                        args.seed, args.slow, os.cpu_count()))
    print("%-12s %5s %6s %7s %7s %7s %7s %6s %7s %6s %6s %7s %6s %6s" % (
        "policy", "load", "rate", "p50 ms", "p95 ms", "p99 ms", "p99.9",
        "done", "not-run", "lost", "msg/c", "B/s", "cpu%", "MB"))
    for load in [float(x) for x in args.loads.split(",")]:
        rate = 0
        for policy in args.policies.split(","):
            t = measure(args, policy, load, args.seed)
            rate = t["rate"]
            print("%-12s %5.2f %6.0f %7.1f %7.1f %7.1f %7.1f %6.3f %7d %6d "
                  "%6.2f %7.0f %6.1f %6.1f" % (
                      policy, load, rate, t["p50_us"] / 1e3,
                      t["p95_us"] / 1e3, t["p99_us"] / 1e3,
                      t["p999_us"] / 1e3, t["completed"], t["not_run"],
                      t["lost"] + t["wrong"] + t["unknown"], t["per_call"],
                      t["bytes"], t["cpu"] * 100, t["rss"]), flush=True)
        if load < 1:
            p50, p95, p99 = central_queue_quantiles_ms(rate, args.targets * args.slots,
                                  args.stragglers, 400, args.seed)
            print("%-12s %5.2f %6.0f %7.1f %7.1f %7.1f" % (
                "ideal", load, rate, p50, p95, p99), flush=True)


if __name__ == "__main__":
    main()
