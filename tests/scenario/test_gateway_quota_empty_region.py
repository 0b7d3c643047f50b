"""The settings name a region without VMs: real processes in two regions, whose
tenant uses nine tenths of its quota from the moment they are ready. Guards
against shares that wait for loans to that region, and against its share staying
unused."""
import asyncio
import collections

import test_gateway_quota as quota

standin = quota.standin
RATE, BURST, CALLS_PER_S, SECONDS = 20.0, 20.0, 18.0, 8
SERVED_MIN = 0.9


class Gateway(quota.RegionalGateway):
    EMPTY_REGIONS = {"z3": "r3"}


async def main():
    quota.TENANTS = {"steady": (RATE, BURST)}
    cluster = standin.Cluster(quota.BINARY, vm_count=2 * quota.VMS_PER_REGION,
                              pools=("a",), targets=4)
    for vm in cluster.vms:
        vm.__class__ = Gateway
    quota.put_config(cluster)
    arrivals, load = quota.Arrivals(cluster), quota.Load(cluster)
    try:
        await cluster.start()
        await cluster.wait_until(lambda: quota.all_ready(cluster), 15,
                                 "every VM is ready")
        await load.run("steady", CALLS_PER_S, SECONDS)
    finally:
        await cluster.stop()
    allowed = (RATE * quota.WINDOW_S + BURST) * (1 + quota.EXCESS) + quota.SLACK
    worst, share = arrivals.busiest_window("steady"), load.share("steady")
    print("region without VMs: at most %d in 5 s, allowed %.0f; %.3f served"
          % (worst, allowed, share))
    assert 0 < worst <= allowed, (worst, allowed)
    assert share >= SERVED_MIN, collections.Counter(load.results["steady"])


if __name__ == "__main__":
    asyncio.run(main())
