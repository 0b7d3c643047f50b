"""A target that names a limit gets no more requests than that from all VMs
together, while VMs stop and start; the limit ends when it names none."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
LIMIT_PER_S = 3.0
WINDOW_S, NOTICE_S, STABLE_WINDOW_S = 4.0, 0.5, 3.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5


class LimitedTarget(standin.Target):
    limit, limited_since = None, 0.0

    def set_limit(self, limit):
        self.limit, self.limited_since = limit, time.time()

    async def run(self, first, headers, body):
        vm = headers[standin.ATTEMPT_ID_HEADER].split("-")[1]
        self.cluster.arrivals.append((time.time(), self, vm))
        response = await super().run(first, headers, body)
        if self.limit is None:
            return response
        self.cluster.told.setdefault((self, vm), time.time())
        line_end = response.index(b"\r\n") + 2
        return response[:line_end] + b"Server-Limit: %.1f\r\n" % self.limit + \
            response[line_end:]


async def call_steadily(cluster, vm, stop):
    number = 0
    while not stop.is_set():
        number += 1
        if vm.process is not None and vm.process.returncode is None:
            asyncio.ensure_future(cluster.call(
                vm.host, "/write/x", "once",
                "once-%s-%d" % (vm.name.replace("-", ""), number)))
        await asyncio.sleep(0.04)


def busiest_window(cluster, target):
    """Returns the most requests in a window, of those that count."""
    times = []
    for at, at_target, vm in cluster.arrivals:
        told = cluster.told.get((target, vm))
        if at_target is target and told is not None and \
                at >= told + NOTICE_S and \
                at >= target.limited_since + STABLE_WINDOW_S:
            times.append(at)
    return max((sum(start <= at < start + WINDOW_S for at in times)
                for start in times), default=0)


def served(cluster):
    return sum(status == 200 for status in cluster.statuses.values())


async def main():
    cluster = standin.Cluster(BINARY, vm_count=4, pools=("a",), targets=2)
    cluster.arrivals, cluster.told = [], {}
    for target in cluster.targets:
        target.__class__ = LimitedTarget
    limited = cluster.targets[0]
    cluster.put_config([("/write/", "unsafe", "a")])
    stop = asyncio.Event()
    try:
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 15, "every VM is ready")
        for target in cluster.targets:
            target.set_limit(LIMIT_PER_S)
        tasks = [asyncio.ensure_future(call_steadily(cluster, vm, stop))
                 for vm in cluster.vms]
        await asyncio.sleep(7)
        await cluster.vms[0].terminate()
        await cluster.vms[0].start()
        await asyncio.sleep(8)
        for target in cluster.targets:
            worst = busiest_window(cluster, target)
            assert worst <= ALLOWED, (target.id, worst, ALLOWED)
            assert worst > 0, "nothing is sent to a target with a limit"

        before = served(cluster)
        limited.limit = None

        async def is_used_again():
            return served(cluster) - before > 100
        await cluster.wait_until(is_used_again, 20, "the end of the limit")
    finally:
        stop.set()
        await cluster.stop()
    assert not cluster.check_guarantees(), cluster.violations
    print("limit: %d served, at most %d in %.0f s at one target" % (
        served(cluster), worst, WINDOW_S))


if __name__ == "__main__":
    asyncio.run(main())
