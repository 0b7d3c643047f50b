"""LOST: a stopping VM ends without answering requests that wait at it.

All slots of a service are busy with long work that came through other VMs, so
requests at one VM wait there. That VM gets SIGTERM and ends within `grace`.
Without the disturbance it gets no SIGTERM.
"""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import standins as si  # noqa: E402

TIMEOUT_MS = 8000  # of the route, and the requesters' deadline
LONG_WORK_S = 7.0  # stragglers, within their deadline
WORK_S = 0.05
WAITING = 6  # requests at the VM that is stopped
GRACE_S = 6.0


class Cluster(si.Cluster):
    async def work(self, run):
        await asyncio.sleep(LONG_WORK_S if "long" in run.path else WORK_S)
        return run.upstream.answer(run, b"done " + run.id.encode())


async def warm_up(cluster, hosts):
    for number in range(30):
        await cluster.call(hosts[number % len(hosts)], "POST", "/uploads/a",
                           "first-%d" % number, TIMEOUT_MS, b"letter")


async def case():
    cluster = Cluster(__file__, services={"alpha": 3}, slots=4)
    try:
        cluster.configure([("/uploads/", "unsafe", "alpha", TIMEOUT_MS, 2000)])
        await cluster.start()
        hosts = await cluster.resolve()
        stopping = cluster.vms[2]
        others = [h for h in hosts if h != stopping.host]
        await warm_up(cluster, hosts)
        slots = sum(u.slots for u in cluster.upstreams)
        longs = [asyncio.ensure_future(cluster.call(
            others[n % len(others)], "POST", "/uploads/long", "long-%d" % n,
            TIMEOUT_MS, b"letter")) for n in range(2 * slots)]
        await asyncio.sleep(0.6)
        cluster.record.say("running at the upstreams: %s of %d slots" % (
            sum(u.running for u in cluster.upstreams), slots))
        sent = time.monotonic()
        waiting = [asyncio.ensure_future(cluster.call(
            stopping.host, "POST", "/uploads/a", "wait-%d" % n, TIMEOUT_MS,
            b"letter")) for n in range(WAITING)]
        await asyncio.sleep(0.5)
        if si.TROUBLE:
            stopping.signal(signal.SIGTERM)
            cluster.record.say("SIGTERM to %s, %.1f s after the requests" % (
                stopping.name, time.monotonic() - sent))
        lost = 0
        for number, result in enumerate(await asyncio.gather(*waiting)):
            status, _, _, how = result
            ran = cluster.runs.get("wait-%d" % number, [])
            cluster.record.say("wait-%d: status %s, %s; ran %d times" % (
                number, status or "-", how, len(ran)))
            lost += status == 0
        if si.TROUBLE:
            await stopping.process.wait()
        await asyncio.gather(*longs)
        cluster.record.say("%d of %d requests that the VM had read ended "
                           "without an answer" % (lost, WAITING))
        return si.BROKEN if lost > 0 else si.HELD
    finally:
        await cluster.stop()


si.main(case)
