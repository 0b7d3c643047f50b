"""A request that crashes its targets is refused by every VM, also by one that
starts later."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
CRASHING_PATH = "/write/crash"
# The request crashes two targets before it is known; one VM may try it again.
CRASHES_MAX = 3


class CrashingTarget(standin.Target):
    async def run(self, first, headers, body):
        if CRASHING_PATH in first:
            self.cluster.crashes += 1
            await self.stop()
            raise ConnectionError("crashed")
        return await super().run(first, headers, body)


async def crash_one_target(cluster, vm):
    before = cluster.crashes

    async def is_crashed():
        await cluster.call(vm.host, CRASHING_PATH, "once")
        return cluster.crashes > before
    await cluster.wait_until(is_crashed, 10, "a target crashes")
    for target in cluster.targets:
        if target.server is None:
            await target.start()


async def check_refusals(cluster, vms):
    for vm in vms:
        async def is_refused(vm=vm):
            return await cluster.call(vm.host, CRASHING_PATH, "once") == 503
        await cluster.wait_until(is_refused, 10, "%s refuses" % vm.name)
        assert await cluster.call(vm.host, "/write/other", "once") == 200
    assert cluster.crashes <= CRASHES_MAX, cluster.crashes


async def main():
    cluster = standin.Cluster(BINARY, vm_count=3, pools=("a",))
    cluster.crashes = 0
    for target in cluster.targets:
        target.__class__ = CrashingTarget
    cluster.put_config([("/write/", "unsafe", "a")])
    try:
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 15, "every VM is ready")
        await crash_one_target(cluster, cluster.vms[0])
        await crash_one_target(cluster, cluster.vms[1])
        await asyncio.sleep(0.5)  # reports between VMs
        await check_refusals(cluster, cluster.vms)

        late = cluster.vms[2]
        await late.terminate()
        await late.start()
        await cluster.wait_until(cluster.all_ready, 15, "the VM is back")
        await check_refusals(cluster, [late])
    finally:
        await cluster.stop()
    print("crashing requests: %d crashes" % cluster.crashes)


if __name__ == "__main__":
    asyncio.run(main())
