"""The command `where` against a real VM. Guards against answers that differ from
where a request then goes, against an effect of the question, and against keys in
the answer."""
import asyncio
import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

PROGRAM = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
METRICS_PORT = 9464
KEY = "key-that-nobody-sees"
ROUTES = [("/any/", "safe", "a"), ("/far/", "safe", "a"), ("/nowhere/", "safe", "a"),
          ("/open/", "unsafe", "a"), ("/empty/", "safe", "none"),
          ("/near/", "safe", "a")]


async def run_command(*arguments):
    """Runs without blocking the event loop, which serves the store and targets."""
    process = await asyncio.create_subprocess_exec(
        PROGRAM, *arguments, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    out, err = await process.communicate()
    assert KEY not in out.decode() + err.decode()
    return process.returncode, out.decode(), err.decode()


async def where(cluster, path, *more, host="svc.example", vm=None):
    vm = vm or "%s:%d" % (cluster.vms[0].host, METRICS_PORT)
    return await run_command("where", "--vm", vm, "--host", host, "--path", path, *more)


async def answer(cluster, path, tenant="acme"):
    more = ("--tenant", tenant) if tenant else ()
    code, out, err = await where(cluster, path, "--json", *more)
    assert code == 0, err
    return json.loads(out)


async def call(cluster, path):
    """Sends a request; returns its status and the target that ran it."""
    before = {t.id: t.runs for t in cluster.targets}
    status = await cluster.call(cluster.vms[0].host, path, headers={"X-Api-Key": KEY})
    ran = [t.id for t in cluster.targets if t.runs > before[t.id]]
    return status, ran[0] if ran else None


async def answers_as_requests_go(cluster):
    same = 0
    for path in ["/any/x", "/far/x?a=1&b=2", "/open/x"] * 10:
        told = await answer(cluster, path)
        status, target = await call(cluster, path)
        zones = {row["id"]: row["data_centre"] for row in told["targets"]}
        assert told["verdict"] == "send" and status == 200, (told, status)
        assert zones[told["target"]] == zones[target], (path, told, target)
        same += told["target"] == target
    print("same target in %d of 30" % same)


async def answers_with_the_one_candidate(cluster):
    """Where only one target is left, the answer names it."""
    cluster.targets[3].start_draining()

    async def is_draining():
        told = await answer(cluster, "/far/x")
        return cluster.targets[3].id in [
            row["id"] for row in told["targets"] if row["obstacle"] == "draining"]
    await cluster.wait_until(is_draining, 10, "the target drains")
    told = await answer(cluster, "/far/x")
    assert await call(cluster, "/far/x") == (200, told["target"])
    obstacles = {row["id"]: row["obstacle"] for row in told["targets"]}
    assert obstacles == {"t-a-0": "not_allowed", "t-a-1": "not_allowed",
                         "t-a-2": None, "t-a-3": "draining"}, obstacles


async def says_why_not(cluster):
    for path, tenant, status, reason in (
            ("/nowhere/x", "acme", 503, "no_region"),
            ("/empty/x", "acme", 503, "no_target"),
            ("/any/x", None, 401, "key_missing")):
        told = await answer(cluster, path, tenant)
        assert (told["verdict"], told["status"], told["reason"]) == (
            "refuse", status, reason), told
    assert (await call(cluster, "/nowhere/x"))[0] == 503
    assert (await call(cluster, "/empty/x"))[0] == 503
    told = await answer(cluster, "/open/x", None)
    assert told["verdict"] == "send" and told["kind"] == "once", told


async def follows_an_evacuation(cluster):
    cluster.store.put("evacuations", "z1", {})

    async def is_evacuated():
        told = await answer(cluster, "/any/x")
        return any(row["evacuated"] for row in told["data_centres"])
    await cluster.wait_until(is_evacuated, 10, "z1 is evacuated")
    told = await answer(cluster, "/any/x")
    assert told["target"] == "t-a-2", told
    assert (await call(cluster, "/any/x")) == (200, "t-a-2")
    code, out, _ = await where(cluster, "/any/x", "--tenant", "acme")
    assert code == 0
    for part in ("t-a-2, why=", "z1", "evacuated", "draining", "acme, priority 1"):
        assert part in out, (part, out)


async def explains_a_refusal(cluster):
    """The output in docs/OPERATIONS.md: the only allowed region is evacuated."""
    assert await call(cluster, "/near/x") == (503, None)
    code, out, _ = await where(cluster, "/near/x", "--tenant", "acme")
    print(out)
    assert code == 0
    for part in ("refused:  status=503 why=no_target", "not now: evacuated",
                 "not now: not_allowed"):
        assert part in out, (part, out)


async def has_no_effect(cluster):
    runs = sum(t.runs for t in cluster.targets)
    before = await counters(cluster)
    for _ in range(20):
        await answer(cluster, "/any/x")
    assert sum(t.runs for t in cluster.targets) == runs
    assert await counters(cluster) == before


async def counters(cluster):
    _, body = await cluster.get(cluster.vms[0].host, METRICS_PORT, "/metrics")
    return [line for line in body.decode().splitlines() if line.startswith((
        "chervilshelf_calls", "chervilshelf_probes", "chervilshelf_attempts",
        "chervilshelf_tenant", "chervilshelf_permits", "chervilshelf_quota"))]


async def refuses_what_it_does_not_know(cluster):
    for error, arguments in (
            ("no route", {"path": "/none/x"}),
            ("no route", {"path": "/any/x", "host": "other.example"}),
            ("no answer", {"path": "/any/x", "vm": "127.0.0.1:1"}),
            ("path that begins", {"path": "any"})):
        code, out, err = await where(cluster, **arguments)
        assert code == 1 and error in err and not out, (code, out, err)
    code, _, err = await where(cluster, "/any/x", "--tenant", KEY[::-1])
    assert code == 1 and "no tenant" in err, err
    assert (await run_command("where"))[0] == 2


async def main():
    cluster = standin.Cluster(PROGRAM, vm_count=1, pools=("a", "none"), targets=4,
                              bounds=["evacuate=5000ms"])
    cluster.targets = [t for t in cluster.targets if t.pool == "a"]
    for target in cluster.targets[2:]:
        target.zone = "z2"
    cluster.allowed_regions = {"/far/": ["r2"], "/nowhere/": ["r9"], "/near/": ["r1"]}
    cluster.tenants, cluster.exempt = {"acme": [KEY]}, ("/open/",)
    cluster.put_config(ROUTES)
    try:
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 15, "the VM is ready")
        for step in (answers_as_requests_go, says_why_not,
                     answers_with_the_one_candidate, follows_an_evacuation,
                     explains_a_refusal, has_no_effect, refuses_what_it_does_not_know):
            await step(cluster)
            print(step.__name__)
    finally:
        await cluster.stop()
    assert not cluster.check_guarantees(), cluster.violations


if __name__ == "__main__":
    asyncio.run(main())
