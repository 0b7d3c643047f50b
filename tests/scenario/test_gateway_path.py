"""Gateways under load serve every call while the configuration changes, a
target drains and a VM is replaced."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")


async def call_until_stopped(cluster, stop, results):
    """Sends calls to addresses from the directory until `stop` is set."""
    number = 0
    while not stop.is_set():
        vm = cluster.vms[number % len(cluster.vms)]
        addresses = await cluster.directory(vm)
        if not addresses:
            await asyncio.sleep(0.05)
            number += 1
            continue
        host = addresses[number % len(addresses)].split(":")[0]
        kind, path = (("safe", "/read/x"), ("once", "/write/x"))[number % 2]
        attempt = "%s-load-%d" % (kind, number)
        results.append(await cluster.call(host, path, kind, attempt))
        number += 1


async def check_configuration_edit(cluster):
    cluster.put_config(cluster.routes + [("/new/", "safe", "b")])

    async def in_force():
        return all([await cluster.call(vm.host, "/new/x") == 200
                    for vm in cluster.vms])
    await cluster.wait_until(in_force, 10, "a new route is in force on every VM")


async def check_draining_target(cluster):
    target = cluster.targets[0]
    target.start_draining()
    await asyncio.sleep(3)
    before = sum(cluster.run_counts.values())
    for vm in cluster.vms:
        assert await cluster.call(vm.host, "/read/x") == 200
    assert sum(cluster.run_counts.values()) > before
    assert not target.running


async def check_vm_replacement(cluster):
    vm = cluster.vms[0]
    await vm.terminate()
    await vm.start()
    await cluster.wait_until(cluster.all_ready, 15, "the restarted VM is listed")


async def main():
    cluster = standin.Cluster(BINARY)
    cluster.put_config([("/read/", "safe", "a"), ("/write/", "unsafe", "b")])
    stop, results = asyncio.Event(), []
    try:
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 15, "every VM is ready")
        assert await cluster.call(cluster.vms[0].host, "/none/x") == 404
        task = asyncio.ensure_future(call_until_stopped(cluster, stop, results))
        await check_configuration_edit(cluster)
        await check_draining_target(cluster)
        await check_vm_replacement(cluster)
        stop.set()
        await task
    finally:
        await cluster.stop()
    assert not cluster.check_guarantees(), cluster.violations
    failed = [status for status in results if status != 200]
    assert len(results) > 50 and not failed, (len(results), failed)
    print("gateway path: %d calls, all served" % len(results))


if __name__ == "__main__":
    asyncio.run(main())
