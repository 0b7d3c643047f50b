"""A crowd of slow clients against one small gateway, for the scenarios.

Each case checks what does not depend on the speed of the machine: the process
lives, its peak resident memory and its open descriptors stay under the limits in
its settings, and one ordinary request is answered afterwards. The crowd, the
limits and the bounds were fixed before the product was changed.
"""
import asyncio
import os
import socket
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "standins"))
import cluster as standin  # noqa: E402

BINARY = os.path.join(os.environ.get("BUILD_DIR", "build"), "chervilshelf")
MEMORY_MB, FILES_MAX = 64, 256
RESPONSE_BYTES = 4 * 1024 * 1024  # half of what one response may have
PATIENCE_S = 20  # a bound for waits that end much earlier
# With a sanitizer, freed memory would stay resident, up to 256 MB of it.
os.environ["ASAN_OPTIONS"] = os.environ.get("ASAN_OPTIONS", "") + ":quarantine_size_mb=1"


class Target(standin.Target):
    """Answers /read/SIZE/FORM with SIZE bytes; FORM is sized, chunked or
    unframed."""

    async def run(self, first, headers, body):
        path = first.split(" ")[1].split("/")
        attempt = headers.get(standin.ATTEMPT_ID_HEADER, "")
        if len(path) < 4:
            return await super().run(first, headers, body)
        size, form = int(path[2]), path[3]
        lines = {standin.ATTEMPT_ID_HEADER: attempt,
                 "Chervilshelf-Response-Seal": "seal-" + attempt}
        if form == "sized":
            return standin.format_message("HTTP/1.1 200 OK", lines, b"r" * size)
        head = "HTTP/1.1 200 OK\r\n" + "".join(
            "%s: %s\r\n" % item for item in lines.items())
        if form == "chunked":
            return (head + "Transfer-Encoding: chunked\r\n\r\n%x\r\n" % size
                    ).encode() + b"r" * size + b"\r\n0\r\n\r\n"
        return (head + "Connection: close\r\n\r\n").encode() + b"r" * size

    async def serve(self, reader, writer):
        unframed = []

        class Closing:  # a response without a length ends its connection
            def __getattr__(self, name):
                return getattr(writer, name)

            async def drain(self):
                await writer.drain()
                if unframed:
                    raise ConnectionError("the response is complete")

            def write(self, data):
                writer.write(data)
                if b"\r\nConnection: close\r\n" in data[:1000]:
                    unframed.append(True)
        await super().serve(reader, Closing())


class Gateway(standin.Gateway):
    memory_mb, files_max = MEMORY_MB, FILES_MAX

    def write_settings(self, first_start):
        super().write_settings(first_start)
        with open(self.settings_path) as settings:
            text = settings.read()
        text = text.replace('"memory_mb": 260', '"memory_mb": %d' % self.memory_mb)
        text = text.replace('"max_fds": 1024', '"max_fds": %d' % self.files_max)
        with open(self.settings_path, "w") as settings:
            settings.write(text)


class Clients:
    """Slow clients; their sockets are closed at the end."""

    def __init__(self):
        self.sockets = []

    def close(self):
        for client in self.sockets:
            client.close()

    async def connect_to(self, host, port):
        """Connects with a small receive buffer; None if that is refused."""
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        client.setblocking(False)
        self.sockets.append(client)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(
                client, (host, port)), 2)
        except (OSError, asyncio.TimeoutError):
            return None
        return client

    async def send(self, client, data):
        """Sends what the gateway takes; False if it has closed."""
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_sendall(client, data), 5)
        except asyncio.TimeoutError:
            return True
        except OSError:
            return False
        return True

    async def read_slowly(self, client, seconds, bytes_max=1024, pause_s=0.2):
        """Reads a little at a time, until the end or the time is over."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            try:
                data = await asyncio.wait_for(
                    loop.sock_recv(client, bytes_max), max(0.05, end - loop.time()))
            except (OSError, asyncio.TimeoutError):
                return
            if not data:
                return
            await asyncio.sleep(pause_s)


class Crowd(Clients):
    """One gateway with low limits, two targets, and slow clients."""

    def __init__(self, vm_count=1, targets=2, **gateway):
        super().__init__()
        self.cluster = standin.Cluster(BINARY, vm_count=vm_count, pools=("a",),
                                       targets=targets)
        for target in self.cluster.targets:
            target.__class__, target.slots = Target, 64
        for vm in self.cluster.vms:
            vm.__class__ = Gateway
            vm.__dict__.update(gateway)
        self.vm = self.cluster.vms[0]

    async def __aenter__(self):
        self.cluster.put_config([("/read/", "safe", "a"), ("/write/", "unsafe", "a")])
        await self.cluster.start()
        await self.cluster.wait_until(self.cluster.all_ready, 15, "every VM is ready")
        return self

    async def __aexit__(self, *unused):
        self.close()
        await self.cluster.stop()

    async def connect(self, port=standin.FRONT_PORT, host=None):
        return await self.connect_to(host or self.vm.host, port)

    def peak_mb(self, vm=None):
        with open("/proc/%d/status" % (vm or self.vm).process.pid) as status:
            return next(int(line.split()[1]) for line in status
                        if line.startswith("VmHWM")) / 1024

    def files(self):
        return len(os.listdir("/proc/%d/fd" % self.vm.process.pid))

    async def check(self, label, headers=None):
        """The bounds of every case."""
        assert self.vm.process.returncode is None, label + ": the process has ended"
        status = await self.cluster.call(self.vm.host, "/read/x", headers=headers)
        listed = await self.cluster.directory(self.vm)
        metrics, _ = await self.cluster.get(self.vm.host, 9464, "/metrics")
        peak, files = self.peak_mb(), self.files()
        print("%s: peak %.1f of %d MB, %d of %d descriptors, ordinary request %d"
              % (label, peak, self.vm.memory_mb, files, self.vm.files_max, status),
              flush=True)
        assert peak <= self.vm.memory_mb, "%s: peak of %.1f MB" % (label, peak)
        assert files <= self.vm.files_max, "%s: %d descriptors" % (label, files)
        assert status == 200, "%s: an ordinary request got %d" % (label, status)
        assert listed and metrics == 200, label + ": directory or metrics"


def get(path, host="svc.example", attempt="slow", extra=""):
    return ("GET %s HTTP/1.1\r\nHost: %s\r\nChervilshelf-Attempt-Id: %s\r\n"
            "Chervilshelf-Request-Deadline: 10000\r\n%s\r\n" % (
                path, host, attempt, extra)).encode()


def main(cases):
    """Runs all cases, or those named on the command line, one at a time, and
    reports each that fails."""
    failed = []
    for case in cases:
        if len(sys.argv) > 1 and case.__name__ not in sys.argv[1:]:
            continue
        try:
            asyncio.run(case())
        except AssertionError as error:
            failed.append("%s: %s" % (case.__name__, error))
    assert not failed, failed
