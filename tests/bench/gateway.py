"""Benchmark: the latency that a gateway adds to a call and its CPU time per
call. Sends the same load alternately straight to a target and through one
gateway. With --tenants the configuration has tenants with API keys, quotas
that are not reached, and proofs of keys. Not part of CI."""
import asyncio
import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
from cluster import FRONT_PORT, Cluster  # noqa: E402

BUILD = os.environ.get("BUILD_DIR", "build")
PROGRAM = os.path.join(BUILD, "chervilshelf")
STANDIN = os.path.join(BUILD, "tests", "standin")
SECONDS, ROUNDS, RATES = 4, 3, (100, 500, 1000, 2000)
TARGETS, SLOTS, REQUEST_PATH = 4, 64, "/job/1?ms=5"
IDLE_CONNECTIONS = 1000
TENANTS, KEYS, QUOTA_PER_S = 86, 10000, 100
TENANT_BOUNDS = ("strict_revoke=true", "revoke=5000ms", "quota_window=5s",
                 "quota_excess=0.1", "quota_slack=20")
WITH_TENANTS = "--tenants" in sys.argv[1:]
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid):
    with open("/proc/%d/status" % pid) as status:
        return next(int(line.split()[1]) for line in status
                    if line.startswith("VmRSS")) / 1024


async def start_targets():
    """Starts the target stand-in; returns its process and the addresses."""
    process = await asyncio.create_subprocess_exec(
        STANDIN, "targets", "--count", str(TARGETS), "--slots", str(SLOTS),
        stdout=subprocess.PIPE)
    addresses = []
    while True:
        word, address = (await process.stdout.readline()).decode().split()
        if word == "control":
            return process, addresses
        addresses.append(address)


def add_tenants(cluster):
    cluster.tenants = {"tenant-%d" % n: ["key-%d" % key for key in
                                         range(n, KEYS, TENANTS)]
                       for n in range(TENANTS)}
    cluster.tenant_limits = {name: {"rate_per_s": QUOTA_PER_S,
                                    "burst": 2 * QUOTA_PER_S}
                             for name in cluster.tenants}


async def run_load(address, rate):
    process = await asyncio.create_subprocess_exec(
        STANDIN, "caller", "--direct", address, "--rate", str(rate),
        "--seconds", str(SECONDS), "--callers", "64", "--get-path", REQUEST_PATH,
        "--api-keys", str(KEYS if WITH_TENANTS else 0), stdout=subprocess.PIPE)
    return json.loads((await process.communicate())[0])


def print_row(label, totals, cpu_us=None):
    print("%-16s p50 %6d us  p99 %6d us  p99.9 %6d us  right %d of %d%s" % (
        label, totals["p50_us"], totals["p99_us"], totals["p999_us"],
        totals["right"], totals["sent"],
        "  cpu %.0f us a call" % cpu_us if cpu_us is not None else ""),
        flush=True)


async def measure(vm, targets):
    pid, front = vm.process.pid, "%s:%d" % (vm.host, FRONT_PORT)
    for rate in RATES:
        print("%d calls/s of 5 ms" % rate)
        for _ in range(ROUNDS):
            print_row("target itself", await run_load(targets[0], rate))
            before = cpu_seconds(pid)
            totals = await run_load(front, rate)
            print_row("through gateway", totals,
                 (cpu_seconds(pid) - before) * 1e6 / totals["sent"])
    before = resident_mb(pid)
    connections = [await asyncio.open_connection(vm.host, FRONT_PORT)
            for _ in range(IDLE_CONNECTIONS)]
    await asyncio.sleep(0.5)
    print("memory: %.1f MB, with %d idle connections %.1f MB" % (
        before, IDLE_CONNECTIONS, resident_mb(pid)))
    for _, writer in connections:
        writer.close()


async def main():
    process, addresses = await start_targets()
    cluster = Cluster(PROGRAM, vm_count=1, pools=("a",), targets=0,
                      bounds=TENANT_BOUNDS if WITH_TENANTS else ())
    if WITH_TENANTS:
        add_tenants(cluster)
    vm = cluster.vms[0]
    try:
        await cluster.start()
        for number, address in enumerate(addresses):
            cluster.store.put("servers", "t-%d" % number, {
                "address": address, "born": 1,
                "info": {"service": "a", "version": "v1",
                         "zone": cluster.zone, "slots": SLOTS},
                "status": {"state": "ready", "sequence": 1,
                           "warmup_left": "0ms"}})
        cluster.put_config([("/job/", "safe", "a")], host=vm.host)
        await cluster.wait_until(cluster.all_ready, 20, "the gateway is ready")
        await measure(vm, addresses)
    finally:
        process.kill()
        await process.wait()
        await cluster.stop()


asyncio.run(main())
