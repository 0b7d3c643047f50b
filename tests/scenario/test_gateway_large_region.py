"""A region of 30 real VMs in three data centres, which therefore relay updates and
report about each other. Guards against VMs that stay unknown, heartbeats between data
centres, dead VMs that stay listed, and updates that do not arrive. PREVIOUS_BINARY
names a program of the build before, which every second VM then runs."""
import asyncio
import os
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

PROGRAM = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
PREVIOUS = os.environ.get("PREVIOUS_BINARY")
METRICS_PORT = 9464
VMS = 30
ZONES = ["z1", "z3", "z4"]


async def metric(cluster, vm, pattern):
    """The sum of the values of matching metrics of a VM."""
    _, body = await cluster.get(vm.host, METRICS_PORT, "/metrics")
    return sum(float(line.rsplit(" ", 1)[1]) for line in body.decode().splitlines()
               if re.match("chervilshelf_" + pattern, line))


async def total(cluster, pattern):
    return sum([await metric(cluster, vm, pattern) for vm in cluster.vms])


def running(cluster):
    return [vm for vm in cluster.vms if vm.process.returncode is None]


async def all_list(cluster):
    """Every VM that runs lists all those, and no other."""
    expected = sorted(vm.host for vm in running(cluster))
    for vm in running(cluster):
        listed = [address.split(":")[0] for address in await cluster.directory(vm)]
        if sorted(listed) != expected:
            return False
    return True


async def all_have_version(cluster):
    for vm in running(cluster):
        if await metric(cluster, vm, "table_version") != cluster.version:
            return False
    return True


async def change_reaches_all(cluster):
    cluster.put_config()
    await cluster.wait_until(lambda: all_have_version(cluster), 10, "a change is everywhere")


async def heartbeats_stay_within_a_data_centre(cluster):
    pattern = 'fleet_sent_frames_total{type="%s",to="region"}'
    before = await total(cluster, pattern % "heartbeat")
    await asyncio.sleep(3)
    sent = await total(cluster, pattern % "heartbeat") - before
    print("heartbeats between data centres in 3 s: %d" % sent)
    if PREVIOUS is None:
        # Before: 30 VMs to 20 others each, 2,250. The leader sends to reporters.
        assert sent < 300, sent
        assert await total(cluster, pattern % "report") > 0


async def dead_vms_are_not_listed(cluster):
    for vm in cluster.vms[20:24]:
        await vm.terminate(signal.SIGKILL)
    await cluster.wait_until(lambda: all_list(cluster), 10, "dead VMs are not listed")
    await change_reaches_all(cluster)


async def started_vms_are_listed(cluster):
    for vm in cluster.vms[20:24]:
        await vm.start()
    await cluster.wait_until(lambda: all_list(cluster), 15, "all VMs are listed")
    await change_reaches_all(cluster)


async def another_vm_leads(cluster):
    for vm in cluster.vms:
        if await metric(cluster, vm, "follows_store"):
            await vm.terminate(signal.SIGKILL)
    await cluster.wait_until(lambda: all_list(cluster), 10, "the leader is not listed")
    await change_reaches_all(cluster)


async def main():
    cluster = standin.Cluster(PROGRAM, vm_count=VMS, pools=("a",), targets=2)
    cluster.more_zones = {zone: "r1" for zone in ZONES}
    for number, vm in enumerate(cluster.vms):
        vm.zone = ZONES[number % len(ZONES)]
        vm.binary = PREVIOUS if number % 2 == 0 else None
    cluster.put_config([("/any/", "safe", "a")])
    try:
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 30, "all VMs are ready")
        for step in (change_reaches_all, heartbeats_stay_within_a_data_centre,
                     dead_vms_are_not_listed, started_vms_are_listed, another_vm_leads):
            await step(cluster)
            print(step.__name__)
    finally:
        await cluster.stop()
    assert not cluster.check_guarantees(), cluster.violations


if __name__ == "__main__":
    asyncio.run(main())
