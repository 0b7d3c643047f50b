"""Single connections to the store that fall silent for good, without a reset.

Guards against a configuration that only the watch would have brought: nothing
showed that the watch was dead until it timed out after 28 s.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
# Well above the bound of a few seconds and below the timeout of a watch.
BOUND_S = 15
METRICS_PORT = 9464


async def serves(cluster, path):
    for vm in cluster.vms:
        if await cluster.call(vm.host, path) != 200:
            return False
    return True


async def confirmed_age_s(vm):
    _, body = await vm.cluster.get(vm.host, METRICS_PORT, "/metrics")
    for line in body.decode().splitlines():
        if line.startswith("chervilshelf_objects_confirmed_age_seconds "):
            return float(line.split(" ")[1])
    return -1


async def all_confirmed(cluster):
    ages = [await confirmed_age_s(vm) for vm in cluster.vms]
    return all(0 <= age < BOUND_S for age in ages)


async def main():
    cluster = standin.Cluster(BINARY, vm_count=3)
    routes = [("/read/", "safe", "a")]
    cluster.put_config(routes)
    try:
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 20, "every VM is ready")
        for number, only_watches in enumerate([True, True, False]):
            await asyncio.sleep(1)
            silenced = sum(vm.store_proxy.silence(only_watches)
                           for vm in cluster.vms)
            assert silenced > 0, "no VM watches the store"
            prefix = "/added-%d/" % number
            routes.append((prefix, "safe", "b"))
            cluster.put_config(routes)
            await cluster.wait_until(
                lambda: serves(cluster, prefix + "x"), BOUND_S,
                "route %s is served after %d connections fell silent" % (
                    prefix, silenced))
            await cluster.wait_until(lambda: all_confirmed(cluster), BOUND_S,
                                     "every VM knows that it has all changes")
    finally:
        await cluster.stop()
    assert not cluster.check_guarantees(), cluster.violations


asyncio.run(main())
print("1 passed, 0 failed")
