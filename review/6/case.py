"""Requests of an unsafe route that are handled by the rule of a shorter prefix.

The operator adds a route. Its prefix is long and lies under that of a safe route
of another service. Some answers of the upstreams are lost after the request has
run. With TROUBLE=0 the prefix of the route that is added is short.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import fleet  # noqa: E402

ZONES = {"nbo-a": "nairobi", "nbo-b": "nairobi"}
HOST = "jepu9.example"
OUTER = "/lepu270/"
SEGMENTS = "kakamega-county/primary-schools/pen-pals/class-of-2026/" \
    "confirmed-pairings/by-teacher/waiting-for-a-coordinator/second-term/"
CONFIG_APPLY_S = 2.0
SENT = 1500
REQUESTERS = 12
LOST_SHARE = 0.05  # of the answers, at half of the upstreams
BOUNDS = ["stable_window=3000ms", "ack=4000ms", "catch_up=4s", "drain=2000ms",
          "grace=6s", "config_apply=2000ms", "max_stretch=5000ms",
          "retry_budget_ratio=0.2", "budget_window=10s",
          "retry_budget_slack=58", "recovery=15s", "ttl_max=5s",
          "probes_per_s=60"]


class Loser(fleet.Upstream):
    """Loses the answer of each twentieth request that it ran."""

    async def work(self, attempt, reader, length):
        status = await super().work(attempt, reader, length)
        if len(self.runs) % round(1 / LOST_SHARE) == 0:
            self.run.note("%s has run %s and loses its answer" % (
                self.id, attempt))
            raise ConnectionError
        return status


async def case(run):
    hosts = [run.address(n + 1) for n in range(2)]
    run.choose_ports(("front", "ready", "directory", "control", "internal"),
                     hosts)
    run.choose_ports(("upstream",), [run.address(100 + n) for n in range(6)])
    run.choose_ports(("store",), [run.address(250)])
    store = fleet.Store(run, run.address(250))
    await store.start()
    upstreams = [(Loser if n < 3 else fleet.Upstream)(
        run, store, 100 + n, ("atlas", "rafiki")[n % 2], "nbo-a")
        for n in range(6)]
    for upstream in upstreams:
        upstream.work_s = 0.06
        await upstream.start()
    inner = OUTER + (SEGMENTS if run.trouble else "pairings/")
    outer_rule = fleet.rule(OUTER, "safe", "atlas", 1000)
    store.put("config", "main", fleet.desired_state(
        7, HOST, [outer_rule], ["atlas", "rafiki"]))
    gateways = [fleet.Gateway(run, store, n + 1, "front-nbo-a-%d" % (n + 1),
                              "nbo-a", ZONES, (1, 2), BOUNDS)
                for n in range(2)]
    for gateway in gateways:
        gateway.start()
    await fleet.until(lambda: fleet.all_ready(gateways), 20, "all are ready")
    await asyncio.sleep(12.0)  # a process has no retries in its first window

    store.put("config", "main", fleet.desired_state(
        9, HOST, [outer_rule, fleet.rule(inner, "unsafe", "rafiki", 1200)],
        ["atlas", "rafiki"]))
    run.note("the prefix that was added has %d bytes" % len(inner))
    await asyncio.sleep(CONFIG_APPLY_S + 1.0)
    numbers = iter(range(SENT))

    async def send():
        for number in numbers:
            gateway = gateways[number % len(gateways)]
            await fleet.call(run, gateway, HOST, "POST",
                             "%s%d" % (inner, number), "pair-%d" % number,
                             b"a pairing")

    await asyncio.gather(*[send() for _ in range(REQUESTERS)])
    counts = {}
    for upstream in upstreams:
        for _, attempt in upstream.runs:
            counts.setdefault(attempt, []).append(upstream.service)
    twice = sum(len(services) > 1 for services in counts.values())
    elsewhere = sum("atlas" in services for services in counts.values())
    return twice > 0, (
        "%d of %d unsafe requests ran more than once; %d ran at atlas, which "
        "the desired state in force doesn't allow" % (twice, SENT, elsewhere))


fleet.main(case, os.path.join(HERE, "record.txt"))
