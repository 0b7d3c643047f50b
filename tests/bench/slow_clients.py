#!/usr/bin/env python3
"""Peak resident memory of two VMs of 112 MB beside crowds of slow clients; run it
by hand. Nothing is judged: tests/scenario/test_slow_*.py have the bounds.

    BUILD_DIR=build python3 tests/bench/slow_clients.py [--seconds N] [CROWD ...]

Six targets; half of the clients are connected to each VM. Prints the peak of each
VM and the status of an ordinary request to each afterwards, 0 where the process
has ended or does not answer. BUILD_DIR may be a build of an older commit.
"""
import argparse
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "scenario"))
import crowd  # noqa: E402

MEMORY_MB, FILES_MAX, TARGETS = 112, 2870, 6
MB = 1024 * 1024
ARRIVAL_S = 0.05  # between two clients
BODY_BYTES, BODY_STEP_BYTES, BODY_PAUSE_S = 1000000, 8192, 0.2


def reader(form="sized", size=4 * MB, requests=1, reads=True, round_s=None):
    async def client(c, host, number, seconds):
        rounds = 1 if round_s is None else max(1, int(seconds / round_s))
        for round_number in range(rounds):
            s = await c.connect(host=host)
            if s is None:
                await asyncio.sleep(seconds / rounds)
                continue
            await c.send(s, b"".join(crowd.get(
                "/read/%d/%s" % (size, form),
                attempt="slow-%d-%d-%d" % (number, round_number, i))
                for i in range(requests)))
            if reads:
                await c.read_slowly(s, seconds / rounds)
            else:
                await asyncio.sleep(seconds / rounds)
            if rounds > 1:
                s.close()
    return client


async def slow_body(c, host, number, seconds):
    s = await c.connect(host=host)
    if s is None:
        return
    head = ("POST /write/x HTTP/1.1\r\nHost: svc.example\r\n"
            "Chervilshelf-Attempt-Id: once-%d\r\nContent-Length: %d\r\n\r\n")
    await c.send(s, (head % (number, BODY_BYTES)).encode())
    for _ in range(int(seconds / BODY_PAUSE_S)):
        await asyncio.sleep(BODY_PAUSE_S)
        if not await c.send(s, b"b" * BODY_STEP_BYTES):
            return


CROWDS = {
    "length": (120, reader(), "one response of 4 MB, 1 KB every 200 ms"),
    "no-length": (120, reader("unframed"), "the same without a length"),
    "pipelined": (60, reader(size=MB, requests=20),
                  "20 pipelined requests of 1 MB each"),
    "returning": (120, reader(round_s=3), "4 MB, disconnecting after 3 s, returning"),
    "nothing": (200, reader(reads=False), "4 MB, nothing read"),
    "bodies": (60, slow_body, "slow long bodies"),
}


async def measure(name, seconds):
    clients, client, label = CROWDS[name]

    async def delayed(c, number):
        await asyncio.sleep(number * ARRIVAL_S)
        vm = c.cluster.vms[number % 2]
        await client(c, vm.host, number, seconds)
    async with crowd.Crowd(vm_count=2, targets=TARGETS, memory_mb=MEMORY_MB,
                           files_max=FILES_MAX) as c:
        tasks = [asyncio.ensure_future(delayed(c, n)) for n in range(clients)]
        await asyncio.sleep(clients * ARRIVAL_S + seconds - 1)
        statuses = [await c.cluster.call(vm.host, "/read/x") for vm in c.cluster.vms]
        peaks = ["ended" if vm.process.returncode is not None else
                 "%.0f" % c.peak_mb(vm) for vm in c.cluster.vms]
        print("| %d clients, %s | %s | %s |" % (
            clients, label, ", ".join(peaks), ", ".join(map(str, statuses))), flush=True)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=int, default=15)
    parser.add_argument("crowds", nargs="*", metavar="CROWD",
                        help=", ".join(CROWDS))
    arguments = parser.parse_args()
    for name in arguments.crowds or CROWDS:
        asyncio.run(measure(name, arguments.seconds))


if __name__ == "__main__":
    main()
