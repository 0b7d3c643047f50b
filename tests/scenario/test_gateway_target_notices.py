"""What a target says of itself binds every send: one that says that it leaves
gets no new requests from any VM, whatever its entry in the store says; one that
refuses with a pause gets none from that VM until the pause is over."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
DRAIN_S = 2.0
PAUSE_S, PAUSE_NOTICE_S, PAUSE_REQUESTS_MAX = 3.0, 0.5, 2


class TellingTarget(standin.Target):
    leaving = pausing = False

    async def run(self, first, headers, body):
        attempt = headers.get(standin.ATTEMPT_ID_HEADER, "")
        vm = attempt.split("-")[1]
        self.cluster.arrivals.append((time.time(), self, vm))
        if self.pausing:
            self.cluster.paused.setdefault((self, vm), time.time())
            return standin.format_message("HTTP/1.1 503 X", {
                standin.ATTEMPT_ID_HEADER: attempt,
                "Chervilshelf-Not-Executed": "1",
                "Retry-After": "%.1f" % PAUSE_S})
        response = await super().run(first, headers, body)
        if not self.leaving:
            return response
        line_end = response.index(b"\r\n") + 2
        return response[:line_end] + b"Server-Leaving: 1\r\n" + \
            response[line_end:]


async def call_steadily(cluster, vm, stop):
    number = 0
    while not stop.is_set():
        number += 1
        asyncio.ensure_future(cluster.call(
            vm.host, "/write/x", "once",
            "once-%s-%d" % (vm.name.replace("-", ""), number)))
        await asyncio.sleep(0.04)


async def check_leaving(cluster, target):
    target.leaving = True
    await asyncio.sleep(DRAIN_S + 0.5)
    since = time.time()
    target.register("ready")  # its entry changes nothing
    await asyncio.sleep(1.5)
    late = [at for at, at_target, _ in cluster.arrivals
            if at_target is target and at > since]
    assert not late, "%d requests reach a target that leaves" % len(late)


async def check_pause(cluster, targets):
    for target in targets:
        target.pausing = True
    await asyncio.sleep(PAUSE_S - 0.2)
    for (target, vm), begun in cluster.paused.items():
        count = sum(1 for at, at_target, at_vm in cluster.arrivals
                    if at_target is target and at_vm == vm and
                    begun + PAUSE_NOTICE_S < at < begun + PAUSE_S)
        assert count <= PAUSE_REQUESTS_MAX, (target.id, vm, count)
    assert cluster.paused
    before = len([s for s in cluster.statuses.values() if s == 200])
    for target in targets:
        target.pausing = False

    async def is_served_again():
        served = [s for s in cluster.statuses.values() if s == 200]
        return len(served) > before + 50
    await cluster.wait_until(is_served_again, 15, "the end of the pause")


async def main():
    cluster = standin.Cluster(BINARY, vm_count=3, pools=("a",), targets=3)
    cluster.arrivals, cluster.paused = [], {}
    for target in cluster.targets:
        target.__class__ = TellingTarget
    cluster.put_config([("/write/", "unsafe", "a")])
    stop = asyncio.Event()
    try:
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 15, "every VM is ready")
        tasks = [asyncio.ensure_future(call_steadily(cluster, vm, stop))
                 for vm in cluster.vms]
        await asyncio.sleep(1)
        await check_leaving(cluster, cluster.targets[0])
        await check_pause(cluster, cluster.targets[1:])
        stop.set()
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.5)
    finally:
        stop.set()
        await cluster.stop()
    assert not cluster.check_guarantees(), cluster.violations
    print("notices: %d calls" % len(cluster.statuses))


if __name__ == "__main__":
    asyncio.run(main())
