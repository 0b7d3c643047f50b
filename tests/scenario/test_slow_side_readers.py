"""Guards against clients of the directory, readiness and metrics addresses that
read nothing, and against slow readers at a VM that stops."""
import asyncio

import crowd


async def side_readers(label, port, path):
    """Pipelined requests whose responses are not read."""
    async with crowd.Crowd() as c:
        async def client():
            s = await c.connect(port)
            if s is not None:
                for _ in range(20):
                    await c.send(s, b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % path * 800)
        await asyncio.gather(*(client() for _ in range(12)))
        await c.check(label)


async def directory():
    await side_readers("directory", crowd.standin.DIRECTORY_PORT,
                       b"/resolve?name=svc.example&region=r1")


async def readiness():
    await side_readers("readiness", crowd.standin.READINESS_PORT, b"/readiness")


async def metrics():
    await side_readers("metrics", 9464, b"/metrics")


async def stopping():
    """A VM that stops among slow readers answers what it has read, and ends."""
    async with crowd.Crowd(vm_count=1) as c:
        async def client(number):
            s = await c.connect()
            if s is not None:
                await c.send(s, crowd.get("/read/%d/sized" % crowd.RESPONSE_BYTES,
                                          attempt="slow-%d" % number))
                await c.read_slowly(s, 12)
        slow = [asyncio.ensure_future(client(n)) for n in range(40)]
        await asyncio.sleep(1)
        for target in c.cluster.targets:
            target.work_s = 0.5
        ordinary = [asyncio.ensure_future(c.cluster.call(c.vm.host, "/read/x"))
                    for _ in range(10)]
        await asyncio.sleep(0.2)
        ended = asyncio.ensure_future(c.vm.terminate())
        statuses = await asyncio.gather(*ordinary)
        peak = c.peak_mb()
        await asyncio.wait_for(ended, crowd.PATIENCE_S)
        print("a VM that stops: peak %.1f of %d MB, %s" % (
            peak, c.vm.memory_mb, statuses), flush=True)
        assert peak <= c.vm.memory_mb, "peak of %.1f MB" % peak
        assert statuses == [200] * 10, statuses
        for task in slow:
            task.cancel()


async def stopping_with_pipelined():
    """A VM that stops answers the requests that it received before the signal,
    also those behind a response that is read only then."""
    behind = 10

    async def client(c, number, started, stopped):
        s = await c.connect()
        await c.send(s, crowd.get(
            "/read/%d/sized" % crowd.RESPONSE_BYTES, attempt="long-%d" % number) +
            b"".join(crowd.get("/read/x", attempt="behind-%d-%d" % (number, i))
                     for i in range(behind)))
        reader, writer = await asyncio.open_connection(sock=s, limit=2 ** 16)
        head = await reader.readuntil(b"\r\n\r\n")
        started.release()
        await stopped.wait()
        assert head.startswith(b"HTTP/1.1 200"), head
        await reader.readexactly(crowd.RESPONSE_BYTES)
        statuses = []
        for _ in range(behind):
            try:
                first, _, _ = await crowd.standin.read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                break
            statuses.append(int(first.split(" ")[1]))
        writer.close()
        return statuses
    async with crowd.Crowd(vm_count=1) as c:
        started, stopped = asyncio.Semaphore(0), asyncio.Event()
        clients = [asyncio.ensure_future(client(c, n, started, stopped))
                   for n in range(4)]
        for _ in clients:
            await started.acquire()
        await asyncio.sleep(0.5)
        ended = asyncio.ensure_future(c.vm.terminate())
        await asyncio.sleep(0.3)
        stopped.set()
        statuses = await asyncio.gather(*clients)
        await asyncio.wait_for(ended, crowd.PATIENCE_S)
        print("a VM that stops, pipelined requests: %s" % statuses, flush=True)
        for got in statuses:
            assert len(got) == behind, "%d of %d answered" % (len(got), behind)
            assert set(got) <= {200, 503}, got


if __name__ == "__main__":
    crowd.main([directory, readiness, metrics, stopping, stopping_with_pipelined])
