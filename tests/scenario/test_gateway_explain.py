"""Operator commands for gateways: `explain` reads the logs of VMs, `report`
their metrics."""
import asyncio
import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
from cluster import Cluster  # noqa: E402

PROGRAM = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
METRICS_PORT = 9464


async def run_command(*arguments):
    """Runs without blocking the event loop, which serves the store and targets."""
    process = await asyncio.create_subprocess_exec(
        PROGRAM, *arguments, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    out, err = await process.communicate()
    return process.returncode, out.decode(), err.decode()


async def wait_until_explained(cluster, attempt, expected, reason):
    """Waits until the log holds the end of the attempt: logs are written only
    a few times a second."""
    logs = ",".join(vm.log for vm in cluster.vms)

    async def is_explained():
        code, out, _ = await run_command("explain", attempt, "--logs", logs)
        return code == 0 and "cause: " + reason in out
    await cluster.wait_until(is_explained, 20, "%s is explained as %s" % (attempt, reason))
    out = (await run_command("explain", attempt, "--logs", logs))[1]
    for part in expected:
        assert part in out, (part, out)


async def run_scenario(cluster):
    vm, target = cluster.vms[0], cluster.targets[0]
    await cluster.start()
    cluster.put_config([("/a/", "unsafe", "a"), ("/b/", "safe", "b"),
                        ("/empty/", "safe", "none")])
    await cluster.wait_until(cluster.all_ready, 20, "all VMs are ready")
    assert await cluster.call(vm.host, "/b/1", attempt="well") == 200
    await wait_until_explained(cluster, "well", ["name=call_sent", "status 200"],
                  "answered")

    target.work_s = 5
    call = asyncio.ensure_future(
        cluster.call(vm.host, "/a/1", "unsafe", attempt="once-lost"))

    async def has_run():
        return cluster.run_counts.get("once-lost") == 1
    await cluster.wait_until(has_run, 20, "the target runs the request")
    await target.stop()
    assert await call == 502
    await wait_until_explained(cluster, "once-lost",
                  ["name=attempt_failed", "outcome=lost", "may have run"],
                  "lost_at_target")

    assert await cluster.call(vm.host, "/empty/1", attempt="nowhere") == 503
    await wait_until_explained(cluster, "nowhere", ["name=place_refused", "not run"],
                  "no_target")
    code, _, err = await run_command("explain", "never-seen", "--logs", vm.log)
    assert code == 1 and "no line is about" in err, err

    vms = ",".join("%s:%d" % (v.host, METRICS_PORT) for v in cluster.vms)
    code, out, err = await run_command("report", "--vms", vms, "--json")
    assert code == 0, err
    rows = {row["route"]: row for row in json.loads(out)}
    assert rows["svc.example/b/"]["served"] == 1, rows
    assert rows["svc.example/a/"]["unknown"] == 1, rows
    assert rows["svc.example/empty/"]["not_run"] == 1, rows
    assert (await run_command("report", "--vms", vms))[0] == 0
    assert (await run_command("report"))[0] == 2
    assert (await run_command("report", "--vms", "127.0.0.1:1"))[0] == 1


async def main():
    cluster = Cluster(PROGRAM, vm_count=2, pools=("a", "b", "none"),
                      targets=1)
    cluster.targets = [t for t in cluster.targets if t.pool != "none"]
    try:
        await run_scenario(cluster)
    finally:
        await cluster.stop()
    print("explain and report: ok")


asyncio.run(main())
