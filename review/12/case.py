"""Quotas that nobody gives out after all processes were killed, since machines
that were removed long ago count as possible owners: they answer nothing.

Each machine is replaced twice, as planned work, and is then off. Later all
processes are killed at once and start again.
"""
import asyncio
import os
import signal
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins-2"))
import fleet  # noqa: E402

ZONES = {"sj-escazu": "sanjose", "sj-heredia": "sanjose"}
HOST, KEY = "hulo84.example", "h4jcda9rgy35ieispuxs"
RATE_PER_S, BURST = 60, 60
SENT_PER_S = 20  # a third of what the tenant is allowed
GRACE_S, RECOVERY_S, STABLE_S = 6.0, 15.0, 4.0
MEASURED_S = 8.0
IN_USE, REPLACED = 3, 6  # each machine twice
BOUNDS = ["stable_window=4000ms", "ack=5000ms", "catch_up=6s", "drain=3000ms",
          "grace=6s", "config_apply=3000ms", "max_stretch=5000ms",
          "retry_budget_ratio=0.2", "budget_window=10s",
          "retry_budget_slack=60", "quota_window=5s", "quota_excess=0.1",
          "quota_slack=20", "recovery=15s", "ttl_max=5s", "probes_per_s=60"]


class MachineThatIsOff:
    """Nothing answers at its addresses, as at those of a machine that is off.

    TCP: a listener whose accept queue is full drops further connection
    requests, so that a connect gets no reply. UDP: nobody reads.
    """

    def __init__(self, run, host):
        self.sockets = []
        for name in fleet.Gateway.PORTS:
            port = run.ports[name]
            listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((host, port))
            listener.listen(0)
            self.sockets.append(listener)
            for _ in range(3):  # one is accepted by the kernel, one may wait
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                filler.setblocking(False)
                filler.connect_ex((host, port))
                self.sockets.append(filler)
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.bind((host, run.ports["internal"]))
        self.sockets.append(datagrams)
        run.servers.append(self)
        run.note("machine %s is off" % host)

    def close(self):
        for each in self.sockets:
            each.close()


async def answers(host, port):
    """Returns whether a connect gets a reply: accepted or refused."""
    try:
        _, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port), 1.0)
        writer.close()
    except asyncio.TimeoutError:
        return False
    except OSError:
        pass
    return True


async def send_for(run, gateways, name, seconds):
    """Sends requests of the tenant evenly; returns sent and served."""
    pending, number = [], 0
    end = run.now() + seconds
    while run.now() < end:
        gateway = gateways[number % len(gateways)]
        pending.append(asyncio.ensure_future(fleet.call(
            run, gateway, HOST, "POST", "/xapu221/ny95/2f",
            "%s-%d" % (name, number), b"work",
            headers={"X-Api-Key": KEY})))
        number += 1
        await asyncio.sleep(1.0 / SENT_PER_S)
    statuses = await asyncio.gather(*pending)
    return len(statuses), sum(status == 200 for status in statuses)


async def switch_off(run, machine):
    await machine.ended(GRACE_S + 1)
    MachineThatIsOff(run, machine.host)
    if await answers(machine.host, run.ports["internal"]):
        raise fleet.CannotRun("the machine that is off answers")


async def replace(run, machine, successor):
    """The successor is ready for a while before the machine gets SIGTERM."""
    successor.start()
    await fleet.until(successor.is_ready, 20, "it is ready")
    await asyncio.sleep(1.5)
    machine.signal(signal.SIGTERM)
    return asyncio.ensure_future(switch_off(run, machine))


async def case(run):
    count = IN_USE + REPLACED
    hosts = [run.address(n + 1) for n in range(count)]
    run.choose_ports(("front", "ready", "directory", "control", "internal"),
                     hosts)
    run.choose_ports(("upstream",), [run.address(100 + n) for n in range(3)])
    run.choose_ports(("store",), [run.address(250)])
    store = fleet.Store(run, run.address(250))
    await store.start()
    for n in range(3):
        await fleet.Upstream(run, store, 100 + n, "distsvc", "sj-escazu").start()
    store.put("config", "main", fleet.desired_state(
        7, HOST, [fleet.rule("/xapu221/ny95/", "unsafe", "distsvc", 1500)],
        ["distsvc"], tenants=[{
            "name": "yefi830", "api_keys": [KEY], "priority": 0,
            "rate_per_s": RATE_PER_S, "burst": BURST}]))
    machines = [fleet.Gateway(run, store, n + 1, "front-sj-escazu-%d" % (n + 1),
                              "sj-escazu", ZONES, (1, 2, 3), BOUNDS)
                for n in range(count)]
    for machine in machines[:IN_USE]:
        machine.start()
    await fleet.until(lambda: fleet.all_ready(machines[:IN_USE]), 20,
                      "all are ready")
    in_use = machines[:IN_USE]
    if run.trouble:
        ending = [await replace(run, machines[n], machines[IN_USE + n])
                  for n in range(REPLACED)]
        await asyncio.gather(*ending)
        in_use = machines[REPLACED:]
    await asyncio.sleep(STABLE_S)

    sent, served = await send_for(run, in_use, "before", 5.0)
    before = served / sent
    if run.trouble:
        for machine in in_use:
            machine.signal(signal.SIGKILL)
        for machine in in_use:
            await machine.ended(2)
        await asyncio.sleep(fleet.RESTART_DELAY_S)
        for machine in in_use:
            machine.start()
    back = run.now()
    await fleet.until(lambda: fleet.all_ready(in_use), 20, "all are back")
    await asyncio.sleep(back + RECOVERY_S - run.now())
    sent, served = await send_for(run, in_use, "after", MEASURED_S)
    after = served / sent
    return before >= 0.25 and after < 0.25, (
        "%.2f of the requests were served before, %.2f of %d later than the "
        "recovery time after the machines were back" % (before, after, sent))


fleet.main(case, os.path.join(HERE, "record.txt"))
