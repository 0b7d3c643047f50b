"""The store comes back from an older copy and gives revisions out again: what
is confirmed afterwards is in force at every VM, and nothing reverts."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
ROUTES = [("/read/", "safe", "a"), ("/write/", "unsafe", "b")]


async def serves(cluster, path, kind="safe"):
    for vm in cluster.vms:
        if await cluster.call(vm.host, path, kind) != 200:
            return False
    return True


def add_route(cluster, name):
    cluster.put_config(cluster.routes + [(name, "safe", "a")])
    return name


def lose_revisions(cluster, count):
    """Writes of others, which the copy will not have."""
    for number in range(count):
        cluster.store.put("other", "o-%d" % number, {"n": number})


async def restore(cluster, copy, down_s=1.2):
    """The operator and the targets write again what the copy lacks."""
    cluster.store.set_mode("silent")
    await asyncio.sleep(down_s)
    cluster.store.restore(copy)
    cluster.store.set_mode("up")
    for target in cluster.targets:
        if target.started:
            target.register("draining" if target.drain_acked_at else "ready")


async def confirm_routes_after_one_restore(cluster):
    copy = cluster.store.copy()
    kept = add_route(cluster, "/kept/")
    lose_revisions(cluster, 200)
    await cluster.wait_until(
        lambda: serves(cluster, kept + "x"), 10, "a route before the restore")
    await restore(cluster, copy)
    for vm in cluster.vms:  # the copy has an older configuration
        assert await cluster.call(vm.host, kept + "x") == 200, vm.name
    late = cluster.vms[2]
    await late.terminate()
    await late.start()
    await cluster.wait_until(cluster.all_ready, 15, "the VM is back")
    assert await cluster.call(late.host, kept + "x") == 200, late.name
    later = add_route(cluster, "/later/")
    await cluster.wait_until(
        lambda: serves(cluster, later + "x"), 10, "a route after the restore")
    await cluster.wait_until(
        lambda: serves(cluster, kept + "x"), 10, "the route of before")


async def confirm_routes_after_two_restores(cluster):
    for number in range(2):
        copy = cluster.store.copy()
        lose_revisions(cluster, 150 - 100 * number)
        await restore(cluster, copy, 0.2 + number)
        name = add_route(cluster, "/again-%d/" % number)
        await cluster.wait_until(lambda name=name: serves(cluster, name + "x"),
                                 10, "a route after restore %d" % number)


async def use_no_target_that_left(cluster):
    """It left in the lost span; the copy says that it is ready."""
    leaving = cluster.targets[0]
    copy = cluster.store.copy()
    leaving.start_draining()
    await asyncio.sleep(2.5)
    cluster.store.put("servers", leaving.id, {}, deleted=True)
    lose_revisions(cluster, 50)
    await asyncio.sleep(0.5)
    cluster.store.set_mode("silent")
    await asyncio.sleep(1.2)
    cluster.store.restore(copy)
    cluster.store.set_mode("up")
    before = dict(cluster.run_counts)
    runs = leaving.runs
    for _ in range(60):
        for vm in cluster.vms:
            await cluster.call(vm.host, "/read/x")
        await asyncio.sleep(0.02)
    assert leaving.runs == runs, (leaving.id, leaving.runs - runs, len(before))
    cluster.store.put("servers", leaving.id, {}, deleted=True)


async def use_target_that_lapsed(cluster):
    """Its registration ended without a word; it is alive, and in the copy,
    which nobody has to write again."""
    target = cluster.targets[1]
    copy = cluster.store.copy()
    cluster.store.put("servers", target.id, {}, deleted=True)
    await asyncio.sleep(0.5)
    cluster.store.restore(copy)
    runs = target.runs

    async def is_used():
        await serves(cluster, "/read/x")
        return target.runs > runs
    await cluster.wait_until(is_used, 15, "the target is used again")


async def serve_new_targets(cluster):
    """They registered in the lost span, and do so again."""
    copy = cluster.store.copy()
    target = standin.Target(cluster, 7, "a")
    cluster.targets.append(target)
    await target.start()
    lose_revisions(cluster, 80)
    await asyncio.sleep(0.5)
    await restore(cluster, copy)
    runs = target.runs

    async def is_used():
        await serves(cluster, "/read/x")
        return target.runs > runs
    await cluster.wait_until(is_used, 10, "the new target is used")


async def register_vms_again(cluster):
    copy = cluster.store.copy()
    copy.kinds.pop("entry-vms", None)
    await restore(cluster, copy)

    async def are_registered():
        return len(cluster.store.kinds.get("entry-vms", {})) > 0
    await cluster.wait_until(are_registered, 10, "a VM registers again")


STEPS = (confirm_routes_after_one_restore, confirm_routes_after_two_restores,
         use_no_target_that_left, use_target_that_lapsed, serve_new_targets,
         register_vms_again)


async def main():
    cluster = standin.Cluster(BINARY, vm_count=3)
    cluster.put_config(ROUTES)
    try:
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 15, "every VM is ready")
        for step in STEPS:
            await step(cluster)
            print(step.__name__)
    finally:
        await cluster.stop()
    assert not cluster.check_guarantees(), cluster.violations


if __name__ == "__main__":
    asyncio.run(main())
