"""An entry of another writer stands in the list of targets, under a name that
has a meaning of its own in a URL, and the list is longer than a page. At the
first start, after a restart of all VMs and during a run they serve as before. Where the store sends a list that does not end,
they stay small and within their calls to the store."""
import asyncio
import os
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
ROUTES = [("/read/", "safe", "a"), ("/write/", "unsafe", "b")]
PAGE_ITEMS = 1
CALLS_AT_ONCE = 4  # of each kind at each VM
# Half of the memory that the settings allow a VM.
RESIDENT_MB_MAX = 130
READS_PER_VM_S = 2000 // 16  # a small deployment: 2,000 a second for 16 VMs
ENDLESS_S = 3
LOG_LINE = re.compile(r"[0-9]+\.[0-9]{6} +[A-Z]+ +event=[0-9]+ name=")
# The targets are named t-a-NUMBER and t-b-NUMBER.
ODD_NAMES = ("t-a-0&x", "t-a-0+x", "t-a-0#x", "t-a-0%26", "t-a-0 x", "t-a-0?x",
             "t-a-0/x", "t-a-0\u00e9", "t-a-0\r\nx", "&", "%")
# No object is kept under them; each has a page of its own.
UNKEPT_NAMES = ("t-a-0" + 200 * "x", "t-a-0\ud800", "t-a-0\0")
# None names a target to use; the first is of another type, the last is whole
# but for its state.
ODD_SPECS = (None, [], 7, {}, {
    "address": "127.0.0.1:1", "born": 1,
    "info": {"service": "a", "version": "v1", "zone": "z1", "slots": 4},
    "status": {"state": "asleep", "sequence": 1, "warmup_left": "0ms"}})


def resident_mb(vm):
    with open("/proc/%d/status" % vm.process.pid) as status:
        return next(int(line.split()[1]) // 1024 for line in status
                    if line.startswith("VmRSS"))


async def restart(cluster):
    for vm in cluster.vms:
        await vm.terminate(signal.SIGKILL)
    for vm in cluster.vms:
        await vm.start()
    await cluster.wait_until(cluster.all_ready, 10, "every VM is ready")


async def check_service(cluster):
    """Every call is served, and each target serves."""
    runs = {target: target.runs for target in cluster.targets}

    async def all_serve():
        statuses = await asyncio.gather(*(
            cluster.call(vm.host, path, kind) for vm in cluster.vms
            for path, kind in (("/read/x", "safe"), ("/write/x", "unsafe"))
            for _ in range(CALLS_AT_ONCE)))
        assert set(statuses) == {200}, sorted(statuses)
        return all(target.runs > runs[target] for target in cluster.targets)
    await cluster.wait_until(all_serve, 10, "every target serves")
    for vm in cluster.vms:
        assert resident_mb(vm) < RESIDENT_MB_MAX, (vm.name, resident_mb(vm))


def put_odd(cluster, names):
    for number, name in enumerate(names):
        cluster.store.put("servers", name,
                          ODD_SPECS[number % len(ODD_SPECS)])


def remove_odd(cluster, names):
    for name in names:
        cluster.store.put("servers", name, {}, deleted=True)


async def serve_beside(cluster, names):
    put_odd(cluster, names)
    try:
        await restart(cluster)
        await check_service(cluster)
    finally:
        remove_odd(cluster, names)
    print("served beside", ascii(names))


async def serve_during_a_run(cluster):
    """Entries come, change and go; a target that drains meanwhile is heard of
    behind them."""
    names = ODD_NAMES + UNKEPT_NAMES
    for _ in range(len(ODD_SPECS)):
        put_odd(cluster, names)
        await check_service(cluster)
        names = names[1:] + names[:1]
    leaving = cluster.targets[0]
    leaving.start_draining()
    put_odd(cluster, names)
    await cluster.wait_until(lambda: gets_nothing(cluster, leaving), 10,
                             "the leaving target gets nothing")
    await leaving.stop()
    await leaving.start()  # a new process, of the same name
    await check_service(cluster)
    remove_odd(cluster, names)
    print("served during a run")


async def gets_nothing(cluster, target):
    runs = target.runs
    await asyncio.gather(*(cluster.call(vm.host, "/read/x")
                           for vm in cluster.vms for _ in range(8)))
    return target.runs == runs


async def outlast_endless_list(cluster):
    cluster.store.ignores_after = True
    for vm in cluster.vms:
        await vm.terminate(signal.SIGKILL)
        await vm.start()
    calls = cluster.store.calls
    await asyncio.sleep(ENDLESS_S)
    calls = cluster.store.calls - calls
    for vm in cluster.vms:
        assert vm.process.returncode is None, vm.name
        assert resident_mb(vm) < RESIDENT_MB_MAX, (vm.name, resident_mb(vm))
    print("%d calls in %d s of a list without end" % (calls, ENDLESS_S))
    assert calls < len(cluster.vms) * READS_PER_VM_S * ENDLESS_S, calls
    cluster.store.ignores_after = False
    await cluster.wait_until(cluster.all_ready, 10, "every VM is ready")
    await check_service(cluster)


async def check_logs(cluster):
    """Each refused name is in one line, and begins none."""
    for name in ODD_NAMES:
        cluster.store.put("servers", name, None)

    async def all_refused():
        return all(line_count(vm, "target_refused") >=
                   refused[vm] + len(ODD_NAMES) for vm in cluster.vms)
    refused = {vm: line_count(vm, "target_refused") for vm in cluster.vms}
    await cluster.wait_until(all_refused, 10, "a line for each name")
    for vm in cluster.vms:
        with open(vm.log, newline="\n") as log:
            for line in log:
                assert LOG_LINE.match(line), (vm.name, line)


def line_count(vm, event):
    with open(vm.log) as log:
        return sum("name=" + event in line for line in log)


async def main():
    cluster = standin.Cluster(BINARY, vm_count=2)
    cluster.store.page_items = PAGE_ITEMS
    cluster.put_config(ROUTES)
    failed = []
    try:
        put_odd(cluster, ODD_NAMES)
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 15, "every VM is ready")
        await check_service(cluster)
        remove_odd(cluster, ODD_NAMES)
        for names in [(name,) for name in ODD_NAMES + UNKEPT_NAMES] + \
                [ODD_NAMES + UNKEPT_NAMES]:
            try:
                await serve_beside(cluster, names)
            except AssertionError as error:
                failed.append((names, str(error)))
                print("FAILED beside", ascii(names), error)
        await serve_during_a_run(cluster)
        await outlast_endless_list(cluster)
        await check_logs(cluster)
    finally:
        await cluster.stop()
    assert not failed, "%d cases failed" % len(failed)
    assert not cluster.check_guarantees(), cluster.violations


if __name__ == "__main__":
    asyncio.run(main())
