"""Demo on loopback: gateways with a store, targets and callers.

Prints the number of served calls, the log lines of one call and some metrics,
then stops every process that it started.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "tests", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
CALLS = 200


async def run_demo(cluster):
    cluster.put_config([("/read/", "safe", "a"), ("/write/", "unsafe", "b")])
    await cluster.start()
    await cluster.wait_until(cluster.all_ready, 20, "every VM is ready")
    addresses = await cluster.directory(cluster.vms[0])
    print("\ndirectory of the platform lists " + ", ".join(addresses))
    served = 0
    for number in range(CALLS):
        kind, path = (("safe", "/read/x"), ("once", "/write/x"))[number % 2]
        host = addresses[number % len(addresses)].split(":")[0]
        served += await cluster.call(host, path, kind) == 200
    print("%d calls, %d served, violations: %s" % (
        CALLS, served, cluster.check_guarantees() or "none"))
    await asyncio.sleep(0.5)  # Gateways write their logs four times a second.
    for vm in cluster.vms:
        with open(vm.log) as lines:
            for line in lines:
                if "request=once-%d " % (CALLS - 1) in line:
                    print("%s: %s" % (vm.name, line.strip()))
    _, metrics = await cluster.get(cluster.vms[0].host, 9464, "/metrics")
    for line in metrics.decode().splitlines():
        if "answered" in line or "version" in line or "targets{" in line:
            print("  " + line)
    return served == CALLS and not cluster.check_guarantees()


async def main():
    cluster = standin.Cluster(BINARY)
    try:
        return await run_demo(cluster)
    finally:
        await cluster.stop()


if __name__ == "__main__":
    sys.exit(0 if asyncio.run(main()) else 1)
