"""A crowd of slow clients against one entry VM (`chervilshelf entry`).

The cases check what does not depend on the speed of the machine, as in crowd.py.
The entry VM gets its limits as variables, which builds without them ignore. The
crowd, the limits and the bounds were fixed before the product was changed.
"""
import asyncio
import os

import crowd
from rig import Rig, request, wait_until

MEMORY_MB, FILES_MAX = 64, 2048
MB = 1024 * 1024


class EntryCrowd(crowd.Clients):
    """One entry VM with low limits, targets with many slots, slow clients."""

    def __init__(self, files_max=FILES_MAX, slots=200):
        super().__init__()
        self.files_max, self.slots = files_max, slots

    async def __aenter__(self):
        os.environ["CHERVILSHELF_MEMORY_MB"] = str(MEMORY_MB)
        os.environ["CHERVILSHELF_MAX_FDS"] = str(self.files_max)
        self.rig = Rig(entries=1, targets=4, slots=self.slots)
        self.vm = self.rig.entries[0]
        self.rig.apply(self.rig.config(deadline_ms=20000))
        wait_until(lambda: self.request("GET", "/profiles/x?ms=1")[0] == 200,
                   "the entry VM serves")
        return self

    async def __aexit__(self, *unused):
        self.close()
        self.rig.__exit__()

    def request(self, method, path, body=None):
        return request(self.vm.listen, method, path, body=body)

    async def connect(self, address=None):
        host, port = (address or self.vm.listen).split(":")
        return await self.connect_to(host, int(port))

    async def check(self, label):
        """The bounds of every case."""
        assert self.vm.process.poll() is None, label + ": the process has ended"
        loop = asyncio.get_running_loop()
        status = (await loop.run_in_executor(
            None, self.request, "GET", "/profiles/x?ms=1"))[0]
        listed = (await loop.run_in_executor(
            None, self.request, "GET", "/.chervilshelf/entries"))[0]
        metrics = (await loop.run_in_executor(
            None, request, self.vm.admin, "GET", "/metrics"))[0]
        peak = self.rig.peak_mb(self.vm)
        files = len(os.listdir("/proc/%d/fd" % self.vm.process.pid))
        print("%s: peak %.1f of %d MB, %d of %d descriptors, ordinary request %d"
              % (label, peak, MEMORY_MB, files, self.files_max, status), flush=True)
        assert peak <= MEMORY_MB, "%s: peak of %.1f MB" % (label, peak)
        assert files <= self.files_max, "%s: %d descriptors" % (label, files)
        assert status == 200, "%s: an ordinary request got %d" % (label, status)
        assert listed == metrics == 200, label + ": directory or metrics"


def get(path, extra=b""):
    return b"GET %s HTTP/1.1\r\nHost: x\r\n%s\r\n" % (path.encode(), extra)


def post(number, extra):
    return b"POST /letters/%d?ms=3000 HTTP/1.1\r\nHost: x\r\n%s\r\n" % (
        number, extra)


async def flood(label, data, clients, address=None, seconds=4, files_max=FILES_MAX,
                upload=False):
    """Each client sends `data(number)`, then one byte a second if that was not
    empty."""
    async def client(c, number):
        s = await c.connect(address(c.vm) if address else None)
        if s is None or not await c.send(s, data(number)):
            return
        for _ in range(seconds):
            await asyncio.sleep(1)
            if data(number) and not await c.send(s, b"x"):
                return
    async with EntryCrowd(files_max) as c:
        tasks = [asyncio.ensure_future(client(c, n)) for n in range(clients)]
        try:
            await asyncio.sleep(2.5)
            if upload:  # an ordinary one, while the crowd holds on
                status = (await asyncio.get_running_loop().run_in_executor(
                    None, c.request, "POST", "/letters/x?ms=1", b"b" * MB))[0]
                assert status == 200, "%s: an ordinary upload got %d" % (label, status)
            await c.check(label + ", while connected")
            await asyncio.wait(tasks)
            await c.check(label)
        finally:
            for task in tasks:
                task.cancel()
