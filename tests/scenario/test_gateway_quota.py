"""Tenants get no more than their quota from all gateways together: real
processes in two regions, while a tenant sends many times its quota, a VM is
killed and another one freezes. A tenant within its quota is served meanwhile."""
import asyncio
import collections
import json
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
VMS_PER_REGION = 3
WINDOW_S, EXCESS, SLACK = 5.0, 0.1, 20
# name: rate and burst
TENANTS = {"hot": (15.0, 10.0), "calm": (20.0, 20.0)}
HOT_PER_S, CALM_PER_S = 90.0, 10.0
SERVED_MIN = 0.9  # of the calm tenant


class RegionalGateway(standin.Gateway):
    EMPTY_REGIONS = {}  # data centres of regions without VMs

    def write_settings(self, first_start):
        super().write_settings(first_start)
        with open(self.settings_path) as source:
            settings = json.load(source)
        region = 1 + self.number // VMS_PER_REGION
        settings.update(
            zone="z%d" % region, region="r%d" % region,
            zones={"z1": "r1", "z2": "r2", **self.EMPTY_REGIONS},
            seeds=["%s:8544" % self.cluster.address(number + 1)
                   for number in (0, 1, VMS_PER_REGION, VMS_PER_REGION + 1)])
        settings["bounds"] += ["quota_window=5s", "quota_excess=0.1",
                               "quota_slack=20"]
        with open(self.settings_path, "w") as out:
            json.dump(settings, out)


def put_config(cluster):
    cluster.version += 1
    cluster.store.put("config", "main", {
        "version": cluster.version,
        "limits": {"header_bytes": 16384, "body_bytes": 1048576,
                   "header_timeout": "3s", "idle_timeout": "15s"},
        "listeners": [{"host": "svc.example", "rules": [{
            "name": "r", "kind": "safe", "priority": 1,
            "target_latency": "500ms", "match": {"path_prefix": "/"},
            "action": {"service": "a", "max_attempts": 2, "timeout": "2s"}}]}],
        "clusters": [{"name": "a", "health_path": "/health"}],
        "tenants": [{"name": name, "api_keys": ["key-" + name],
                     "rate_per_s": rate, "burst": burst}
                    for name, (rate, burst) in TENANTS.items()]})


class Arrivals:
    """When requests of each tenant reached a target."""

    def __init__(self, cluster):
        self.times = collections.defaultdict(list)
        for target in cluster.targets:
            target.run = self.wrap(target.run)

    def wrap(self, run):
        async def run_recorded(first, headers, body):
            tenant = headers.get("chervilshelf-tenant-id")
            self.times[tenant].append(time.monotonic())
            return await run(first, headers, body)
        return run_recorded

    def busiest_window(self, tenant):
        times = self.times[tenant]
        return max((sum(start <= at < start + WINDOW_S for at in times)
                    for start in times), default=0)


class Load:
    def __init__(self, cluster):
        self.cluster = cluster
        self.results = collections.defaultdict(list)  # (status, retry after)
        self.timed_out = set()  # VMs that answered 504
        self.number = 0

    async def call(self, tenant):
        self.number += 1
        vm = self.cluster.vms[self.number % len(self.cluster.vms)]
        if vm.process is None or vm.process.returncode is not None or \
                vm.paused:
            return
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                vm.host, standin.FRONT_PORT), 2.0)
            writer.write((
                "GET /x HTTP/1.1\r\nHost: svc.example\r\n"
                "Chervilshelf-Attempt-Id: quota-%d\r\nX-Api-Key: key-%s\r\n\r\n"
                % (self.number, tenant)).encode())
            first, headers, _ = await asyncio.wait_for(
                standin.read_message(reader), 6.0)
            status = int(first.split(" ")[1])
            self.results[tenant].append((status, headers.get("retry-after")))
            if status == 504:
                self.timed_out.add(vm.number)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.results[tenant].append((0, None))  # the VM was killed
        finally:
            if writer is not None:
                writer.close()

    async def run(self, tenant, per_s, seconds):
        calls = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            calls.append(asyncio.ensure_future(self.call(tenant)))
            await asyncio.sleep(1.0 / per_s)
        await asyncio.gather(*calls)

    def share(self, tenant):
        results = self.results[tenant]
        return sum(status == 200 for status, _ in results) / len(results)


async def both(load, seconds):
    load.results.clear()
    await asyncio.gather(load.run("calm", CALM_PER_S, seconds),
                         load.run("hot", HOT_PER_S, seconds))


async def all_ready(cluster):
    """Directories list the VMs of their own region."""
    for vm in cluster.vms:
        status, _ = await cluster.get(
            vm.host, standin.READINESS_PORT, "/readiness")
        if status != 200 or \
                len(await cluster.directory(vm)) != VMS_PER_REGION:
            return False
    return True


async def disturb(cluster):
    """Kills a VM and freezes another one of the other region."""
    await asyncio.sleep(1)
    await cluster.vms[0].terminate(signal.SIGKILL)
    frozen = cluster.vms[VMS_PER_REGION]
    frozen.paused = True
    frozen.signal_process(signal.SIGSTOP, 0)
    await asyncio.sleep(3)
    frozen.signal_process(signal.SIGCONT, 0)
    frozen.paused = False
    await cluster.vms[0].start()


async def main():
    cluster = standin.Cluster(BINARY, vm_count=2 * VMS_PER_REGION,
                              pools=("a",), targets=4)
    for vm in cluster.vms:
        vm.__class__ = RegionalGateway
    put_config(cluster)
    arrivals, load = Arrivals(cluster), Load(cluster)
    try:
        await cluster.start()
        await cluster.wait_until(lambda: all_ready(cluster), 15,
                                 "every VM is ready")
        # The owners learn of each other, and their buckets fill.
        await load.run("calm", CALM_PER_S, 4)
        await both(load, 7)
        shares = {name: load.share(name) for name in TENANTS}
        assert shares["calm"] >= SERVED_MIN, (shares, load.results["calm"])
        refused = [result for result in load.results["hot"]
                   if result[0] == 429]
        assert refused, "a tenant over its quota is not refused"
        assert all(float(after) > 0 for _, after in refused)
        assert {status for status, _ in load.results["hot"]} <= {200, 429}, \
            collections.Counter(load.results["hot"])
        await asyncio.gather(both(load, 9), disturb(cluster))
    finally:
        await cluster.stop()
    for name, (rate, burst) in TENANTS.items():
        allowed = (rate * WINDOW_S + burst) * (1 + EXCESS) + SLACK
        worst = arrivals.busiest_window(name)
        assert 0 < worst <= allowed, (name, worst, allowed)
        print("quota: %s: at most %d in 5 s, allowed %.0f; %.3f served in calm"
              % (name, worst, allowed, shares[name]))
    statuses = {status for results in load.results.values()
                for status, _ in results}
    # What the frozen VM had sent before is over its timeout when it wakes.
    assert statuses <= {0, 200, 429, 503, 504}, statuses
    assert load.timed_out <= {VMS_PER_REGION}, load.timed_out
    # At least half of what is within the quota, while VMs are disturbed.
    rate, burst = TENANTS["hot"]
    assert arrivals.busiest_window("hot") >= 0.5 * (rate * WINDOW_S + burst)


if __name__ == "__main__":
    asyncio.run(main())
