"""An upstream as a process of its own, which a request may crash.

Arguments: id, service, host, slots, milliseconds of work. Prints a line for
each run. A request with `/crash` in its path kills the process as soon as an
upstream begins to run it.
"""
import asyncio
import os
import random
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standins as si  # noqa: E402


class Surroundings:
    """What an Upstream expects of its cluster."""

    upstreams = ()

    def __init__(self, host, work_ms):
        self.host, self.work_ms = host, work_ms

    def address(self, _number):
        return self.host

    def on_arrival(self, run):
        print("arrival %s %s" % (run.id, run.path), flush=True)

    def on_run(self, run):
        print("run %s %s" % (run.id, run.path), flush=True)
        if "/crash" in run.path:
            os.kill(os.getpid(), signal.SIGKILL)

    def on_reject(self, run, status):
        print("reject %s %d" % (run.id, status), flush=True)

    async def work(self, run):
        await asyncio.sleep(self.work_ms / 1000 * random.uniform(0.7, 1.3))
        return run.upstream.answer(run, b"done " + run.id.encode())


async def main():
    identity, service, host, slots, work_ms = sys.argv[1:]
    upstream = si.Upstream(Surroundings(host, float(work_ms)), service, 0,
                           int(slots))
    upstream.id = identity
    upstream.server = await asyncio.start_server(
        upstream.accept, host, si.UPSTREAM_PORT, backlog=512)
    print("listening", flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
