"""Planned stops of one VM while its callers go on sending to it until it is
gone, requests of any length.

    test_gateway_stop.py [--seeds A-B] [--grace S]

Guards against requests that come late in the grace time, are passed on and then
broken off (LOST).
"""
import argparse
import asyncio
import os
import random
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
CALLERS = 24
WORK_MS = (30, 2500)
DEADLINE_MS_MAX = 8000
TIMEOUTS_MS = (1500, 8000)
# Requests sent until then may be broken off in the last sixth of the grace.
LONG_REQUESTS_UNTIL_S = 3.0
LOSS_SLACK_S = 0.2  # to answer a request that no target has


class WorkingTarget(standin.Target):
    """Works for as long as the path says, /KIND-TIMEOUT/WORK-MS."""

    async def run(self, first, headers, body):
        attempt = headers.get(standin.ATTEMPT_ID_HEADER, "")
        self.cluster.at_work.add(attempt)
        self.cluster.passed_on.add(attempt)
        self.work_s = int(first.split(" ")[1].rsplit("/", 1)[1]) / 1000
        response = await super().run(first, headers, body)
        self.cluster.at_work.discard(attempt)
        return response


class Caller:
    """Uses one connection to the stopping VM as long as that lets it."""

    def __init__(self, cluster, vm, number, seed):
        self.cluster, self.vm, self.number = cluster, vm, number
        self.random = random.Random(seed * 1000 + number)
        self.writer = None

    def choose(self):
        kind = self.random.choice(["safe", "once"])
        work_ms = self.random.randint(*WORK_MS)
        timeout_ms = self.random.choice(TIMEOUTS_MS)
        deadline_ms = self.random.choice([
            work_ms + 60, self.random.randint(work_ms, DEADLINE_MS_MAX)])
        return kind, "/%s-%d/%d" % (kind, timeout_ms, work_ms), \
            min(deadline_ms, timeout_ms), deadline_ms

    async def call(self, number):
        kind, path, limit_ms, deadline_ms = self.choose()
        attempt = "%s-%d-%d" % (kind, self.number, number)
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.vm.host, standin.FRONT_PORT)
        method, body = ("GET", b"") if kind == "safe" else ("POST", b"work")
        request = standin.format_message("%s %s HTTP/1.1" % (method, path), {
            "Host": "svc.example", "Chervilshelf-Attempt-Id": attempt,
            "Chervilshelf-Request-Deadline": deadline_ms}, body)
        sent_at, status = time.time(), 0
        try:
            self.writer.write(request)
            first, headers, _ = await asyncio.wait_for(
                standin.read_message(self.reader), deadline_ms / 1000 + 0.1)
            status = int(first.split(" ")[1])
            if headers.get("connection") == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        except asyncio.TimeoutError:
            self.close()
            return
        self.cluster.statuses[attempt] = status
        self.judge(attempt, status, sent_at, limit_ms)

    def judge(self, attempt, status, sent_at, limit_ms):
        cluster, now = self.cluster, time.time()
        cluster.judged += cluster.stopped_at is not None
        if cluster.stopped_at is None or now - sent_at >= limit_ms / 1000:
            return
        after_s, end_s = sent_at - cluster.stopped_at, now - cluster.stopped_at
        if after_s <= LONG_REQUESTS_UNTIL_S and end_s > cluster.grace_s * 5 / 6:
            return
        broken_off = attempt in cluster.at_work and (
            status == 0 or status in (502, 504))
        unanswered = status == 0 and (
            attempt in cluster.passed_on or now - sent_at > LOSS_SLACK_S)
        if broken_off or unanswered:
            cluster.violations.append(
                "%s, sent %.2f s after the signal: %s at %.2f s, %s" % (
                    attempt, after_s, status or "closed", end_s,
                    "its target was at work" if broken_off else "not answered"))

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    async def run(self):
        number = 0
        try:
            while self.vm.process.returncode is None:
                number += 1
                await self.call(number)
                await asyncio.sleep(self.random.uniform(0, 0.1))
        except OSError:
            pass  # it does not listen any more
        self.close()


async def run_stop(seed, grace_s):
    cluster = standin.Cluster(BINARY, pools=("a",), targets=6, grace_s=grace_s)
    cluster.at_work, cluster.passed_on = set(), set()
    cluster.stopped_at, cluster.judged = None, 0
    cluster.targets = [WorkingTarget(cluster, n, "a", slots=16)
                       for n in range(6)]
    cluster.put_config([("/%s-%d/" % (name, timeout_ms), kind, "a", timeout_ms)
                        for name, kind in (("safe", "safe"), ("once", "unsafe"))
                        for timeout_ms in TIMEOUTS_MS])
    try:
        await cluster.start()
        await cluster.wait_until(cluster.all_ready, 20, "every VM is ready")
        vm = cluster.vms[seed % len(cluster.vms)]
        callers = [asyncio.ensure_future(
            Caller(cluster, vm, number, seed).run())
            for number in range(CALLERS)]
        await asyncio.sleep(1.5)
        cluster.stopped_at = time.time()
        vm.process.send_signal(signal.SIGTERM)
        await vm.process.wait()  # by itself
        await asyncio.gather(*callers)
    finally:
        await cluster.stop()
    violations = cluster.check_guarantees()
    print("seed %d, grace %d s: %d requests after the signal, %d lost" % (
        seed, grace_s, cluster.judged, len(violations)), flush=True)
    print("".join("  %s\n" % v for v in violations), end="", flush=True)
    return violations


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--grace", type=int)
    options = parser.parse_args()
    first, last = options.seeds.split("-")
    failed = []
    for seed in range(int(first), int(last) + 1):
        graces_s = [options.grace] if options.grace else [6, 2]
        for grace_s in graces_s:
            failed += await run_stop(seed, grace_s)
    assert not failed, "%d requests lost" % len(failed)
    print("planned stops: no request lost")


if __name__ == "__main__":
    asyncio.run(main())
