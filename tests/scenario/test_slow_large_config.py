"""Guards against a VM that runs out of memory when a large configuration is read
while slow readers hold all that buffers may take: the store's cache, the table of
routes and its copies count too."""
import asyncio

import crowd

MEMORY_MB = 112
ROUTES, TENANTS, KEYS = 1400, 86, 10000
CLIENTS, UPDATES = 120, 4
LONG_CALL_S, LONG_CALLS = 12, 32


def key(number):
    return "key-%027d" % number


def large_config(c):
    """Routes with names as long as usual, and all tenants' keys."""
    cluster = c.cluster
    cluster.tenants = {
        "tenant-%02d" % t: [key(k) for k in range(t, KEYS, TENANTS)]
        for t in range(TENANTS)}
    cluster.tenant_limits = {name: {"rate_per_s": 1000, "burst": 1000}
                             for name in cluster.tenants}
    routes = [("/service-%04d/resources/" % n, "safe", "a") for n in range(ROUTES - 1)]
    cluster.put_config([("/read/", "safe", "a", LONG_CALL_S * 1000)] + routes)


async def table_version(c, vm):
    _, text = await c.cluster.get(vm.host, 9464, "/metrics")
    return int(next(line.split()[1] for line in text.decode().splitlines()
                    if line.startswith("chervilshelf_table_version ")))


async def check(c, label):
    for vm in c.cluster.vms:
        c.vm = vm
        await c.check(label + ", " + vm.name, headers={"X-Api-Key": key(1)})


async def large_config_beside_slow_readers():
    """The VM that reads the store, and the one that gets it from that VM."""
    async def client(c, number):
        await asyncio.sleep(number * 0.05)
        vm = c.cluster.vms[number % 2]
        s = await c.connect(host=vm.host)
        if s is not None:
            await c.send(s, crowd.get(
                "/read/%d/sized" % crowd.RESPONSE_BYTES, attempt="slow-%d" % number,
                extra="X-Api-Key: %s\r\n" % key(number)))
            await c.read_slowly(s, 14)
    async with crowd.Crowd(vm_count=2, memory_mb=MEMORY_MB, files_max=2870) as c:
        large_config(c)
        await asyncio.sleep(1)
        slow = [asyncio.ensure_future(client(c, n)) for n in range(CLIENTS)]
        await asyncio.sleep(4)
        for _ in range(UPDATES):  # while the crowd holds the budget
            c.cluster.put_config()
            await asyncio.sleep(1.5)
        await check(c, "a large configuration beside slow readers")
        for vm in c.cluster.vms:
            version = await table_version(c, vm)
            assert version == c.cluster.version, "%s has version %d" % (vm.name, version)
        for task in slow:
            task.cancel()


async def calls_of_old_configurations():
    """Each long call keeps what it needs of the configuration that it began with;
    a new one is in force every few hundred ms, 4.4 MB each."""
    async with crowd.Crowd(memory_mb=MEMORY_MB, files_max=2870) as c:
        large_config(c)
        await asyncio.sleep(1)
        for target in c.cluster.targets:
            target.work_s = LONG_CALL_S - 1.5
        calls = []
        for number in range(LONG_CALLS):
            calls.append(asyncio.ensure_future(c.cluster.call(
                c.vm.host, "/read/x", timeout=LONG_CALL_S,
                headers={"X-Api-Key": key(number)})))
            await asyncio.sleep(0.05)
            c.cluster.put_config()
            await asyncio.sleep(0.25)
        peak, version = c.peak_mb(), await table_version(c, c.vm)
        statuses = await asyncio.gather(*calls)
        print("calls of old configurations: peak %.1f of %d MB, version %d of %d, %s"
              % (peak, MEMORY_MB, version, c.cluster.version, statuses), flush=True)
        assert peak <= MEMORY_MB, "peak of %.1f MB" % peak
        assert version == c.cluster.version, "version %d" % version
        assert statuses == [200] * LONG_CALLS, statuses


if __name__ == "__main__":
    crowd.main([large_config_beside_slow_readers, calls_of_old_configurations])
