"""A target that names a limit is used within it although the others have room,
and is used like them once the limit has ended.

Guards against a target that no VM tried again, so that the end of its limit was
never heard: a permit was asked for only where the target was the best choice.
"""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402
from test_gateway_limit import (  # noqa: E402
    ALLOWED, BINARY, LIMIT_PER_S, WINDOW_S, LimitedTarget, busiest_window)

CALLS_PER_S, QUIET_CALL_S = 60, 2.0
LIMITED_S = 14
METRICS_PORT = 9464
TRIED_WITHIN_S = 5.0  # a few seconds
BACK_WITHIN_S = 10


async def call_steadily(cluster, stop, interval_s):
    number = 0
    while not stop.is_set():
        number += 1
        vm = cluster.vms[number % len(cluster.vms)]
        asyncio.ensure_future(cluster.call(
            vm.host, "/write/x", "once",
            "once-%s-%d" % (vm.name.replace("-", ""), number)))
        await asyncio.sleep(interval_s)


def times_of(cluster, target, since):
    return [at for at, at_target, _ in cluster.arrivals
            if at_target is target and at > since]


async def counted(cluster, name):
    """Returns the sum of a counter over all VMs."""
    total = 0
    for vm in cluster.vms:
        _, body = await cluster.get(vm.host, METRICS_PORT, "/metrics")
        for line in body.decode().splitlines():
            if line.startswith("chervilshelf_%s_total " % name):
                total += int(line.split(" ")[1])
    return total


async def is_back(cluster, target, since):
    """It gets requests again as it did without a limit: a tenth of all."""
    all_times = [at for at, _, _ in cluster.arrivals if at > since]
    return len(times_of(cluster, target, since)) > len(all_times) / 10 > 0


async def play(interval_s, tried_within_s):
    cluster = standin.Cluster(BINARY, vm_count=6, pools=("a",), targets=4)
    cluster.arrivals, cluster.told = [], {}
    for target in cluster.targets:
        target.__class__ = LimitedTarget
        target.slots = 8
    limited = cluster.targets[1]
    cluster.put_config([("/write/", "unsafe", "a")])
    stop = asyncio.Event()
    try:
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 15, "every VM is ready")
        task = asyncio.ensure_future(call_steadily(cluster, stop, interval_s))
        await asyncio.sleep(2)
        limited.set_limit(LIMIT_PER_S)
        await cluster.wait_until(
            lambda: asyncio.sleep(0, bool(cluster.told)), 60, "the limit is heard")
        began = time.time()
        await asyncio.sleep(LIMITED_S)
        tried = [began] + times_of(cluster, limited, began) + [time.time()]
        gap_s = max(b - a for a, b in zip(tried, tried[1:]))
        worst = busiest_window(cluster, limited)
        print("permits: %d asked for, %d granted" % (
            await counted(cluster, "permits_asked"),
            await counted(cluster, "permits_granted")))
        print("%.1f calls a second: %d requests in %.0f s with a limit of %.0f "
              "a second, at most %d in %.0f s, longest gap %.1f s" % (
                  1 / interval_s, len(tried) - 2, LIMITED_S, LIMIT_PER_S,
                  worst, WINDOW_S, gap_s), flush=True)
        assert worst <= ALLOWED, (worst, ALLOWED)
        assert gap_s <= tried_within_s, "not tried for %.1f s" % gap_s
        limited.limit = None
        ended = time.time()
        await cluster.wait_until(
            lambda: is_back(cluster, limited, ended),
            BACK_WITHIN_S + 5 * interval_s, "the target is used again")
        print("used again %.1f s after the end" % (time.time() - ended))
        stop.set()
        await task
    finally:
        stop.set()
        await cluster.stop()
    assert not cluster.check_guarantees(), cluster.violations


async def main():
    await play(1 / CALLS_PER_S, TRIED_WITHIN_S)
    await play(QUIET_CALL_S, TRIED_WITHIN_S + 2 * QUIET_CALL_S)


if __name__ == "__main__":
    asyncio.run(main())
