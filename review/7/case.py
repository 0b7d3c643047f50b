"""An evacuation that is undone by the gateway that becomes the leader.

All gateways are killed at the same moment and start again, in an order that
lets two of them list the store before they hear of a leader. A zone is
evacuated, taken back and evacuated again, then the leading gateway is stopped.
"""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import fleet  # noqa: E402

ZONES = {"sj-escazu": "sanjose", "sj-heredia": "sanjose"}
EVACUATED = "sj-heredia"
HOST = "jepu9.example"
EVACUATE_S, STABLE_WINDOW_S = 5.0, 4.0
BOUNDS = ["stable_window=4000ms", "ack=5000ms", "catch_up=6s", "drain=3000ms",
          "grace=6s", "config_apply=3000ms", "max_stretch=5000ms",
          "retry_budget_ratio=0.2", "budget_window=10s",
          "retry_budget_slack=60", "evacuate=5000ms", "recovery=15s",
          "ttl_max=5s", "probes_per_s=60"]
# The first three are the seeds. The program orders its nodes by their names.
NAMES = [("front-sj-escazu-1", "sj-escazu"), ("front-sj-escazu-2", "sj-escazu"),
         ("front-sj-escazu-3", "sj-escazu"), ("front-sj-heredia-1", EVACUATED),
         ("front-sj-heredia-2", EVACUATED)]


async def case(run):
    hosts = [run.address(n) for n in range(1, 6)]
    upstream_hosts = [run.address(100 + n) for n in range(4)]
    run.choose_ports(("front", "ready", "directory", "control", "internal"),
                     hosts)
    run.choose_ports(("upstream",), upstream_hosts)
    run.choose_ports(("store",), [run.address(250)])
    store = fleet.Store(run, run.address(250))
    await store.start()
    upstreams = [fleet.Upstream(run, store, 100 + n, "archsvc",
                                EVACUATED if n % 2 else "sj-escazu")
                 for n in range(4)]
    for upstream in upstreams:
        await upstream.start()
    store.put("config", "main", fleet.desired_state(
        7, HOST, [fleet.rule("/lepu270/", "safe", "archsvc", 2000)],
        ["archsvc"]))
    gateways = [fleet.Gateway(run, store, n + 1, name, zone, ZONES,
                              (1, 2, 3), BOUNDS)
                for n, (name, zone) in enumerate(NAMES)]
    for gateway in gateways:
        gateway.start()
    await fleet.until(lambda: fleet.all_ready(gateways), 20, "all are ready")
    if run.trouble:
        await kill_all(run, gateways)
    await asyncio.sleep(STABLE_WINDOW_S)

    store.put("evacuations", EVACUATED, {})
    await asyncio.sleep(3.0)
    store.put("evacuations", EVACUATED, None, deleted=True)
    await asyncio.sleep(2.0)
    store.put("evacuations", EVACUATED, {})
    acked = run.now()
    await asyncio.sleep(1.5)
    store.put("config", "main", fleet.desired_state(
        9, HOST, [fleet.rule("/lepu270/", "safe", "archsvc", 1900)],
        ["archsvc"]))
    staying = gateways
    if run.trouble:
        leader = await find_leader(gateways)
        run.note("%s leads" % leader.name)
        leader.signal(signal.SIGTERM)
        staying = [g for g in gateways if g is not leader]
    await asyncio.sleep(acked + EVACUATE_S + 0.5 - run.now())

    late = run.now()
    for number in range(80):
        gateway = staying[number % len(staying)]
        await fleet.call(run, gateway, HOST, "GET", "/lepu270/2f",
                         "late-%d-%s" % (number, gateway.name))
    reached = [attempt for upstream in upstreams if upstream.zone == EVACUATED
               for time_s, attempt in upstream.runs if time_s > late]
    by = sorted({attempt.split("-", 2)[2] for attempt in reached})
    return bool(reached), (
        "%d of 80 requests sent %.1f s and more after the ack of the evacuation "
        "reached upstreams of the zone, from %s" % (
            len(reached), late - acked, ", ".join(by) or "no gateway"))


async def kill_all(run, gateways):
    for gateway in gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in gateways:
        await gateway.ended(2)
    await asyncio.sleep(fleet.RESTART_DELAY_S)
    # All machines start within 0.3 s of each other, in any order.
    for gateway in gateways[3:]:
        gateway.start()
    await asyncio.sleep(0.25)
    for gateway in gateways[:3]:
        gateway.start()
    await fleet.until(lambda: fleet.all_ready(gateways), 20,
                      "all are ready again")


async def find_leader(gateways):
    leaders = [gateway for gateway in gateways if
               await gateway.metric("chervilshelf_follows_store") == "1"]
    if not leaders:
        raise fleet.CannotRun("no gateway follows the store")
    return leaders[0]


fleet.main(case, os.path.join(HERE, "record.txt"))
