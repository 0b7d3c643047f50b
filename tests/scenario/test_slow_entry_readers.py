"""Guards against an entry VM (`chervilshelf entry`) that runs out of memory, or
refuses ordinary callers, when clients read responses slowly or not at all, also
those of its directory and of its admin address."""
import asyncio
import socket

import crowd
from entry_crowd import MB, EntryCrowd, flood, get
from rig import request

SECONDS = 6
CLOSE = b"Connection: close\r\n"


async def readers(label, requests, clients, reads=True, returns=1, slots=200):
    """Clients that send all requests at once, and read slowly or nothing."""
    async def client(c, number):
        await asyncio.sleep(number * 0.005)
        for _ in range(returns):
            s = await c.connect()
            if s is None or not await c.send(s, requests):
                continue
            if reads:
                await c.read_slowly(s, SECONDS / returns)
            else:
                await asyncio.sleep(SECONDS / returns)
            if returns > 1:
                s.close()
    async with EntryCrowd(slots=slots) as c:
        slow = asyncio.gather(*(client(c, n) for n in range(clients)))
        await asyncio.sleep(SECONDS / 2)
        await c.check(label + ", while they read")
        await slow
        await c.check(label)


async def reads_slowly():
    await readers("long responses read slowly",
                  get("/profiles/1?ms=1&size=1000000"), 350)


async def reads_nothing():
    await readers("clients that read nothing",
                  get("/profiles/1?ms=1&size=1000000"), 350, reads=False)


async def pipelined():
    await readers("20 pipelined requests each",
                  get("/profiles/1?ms=1&size=500000") * 20, 350)


async def comes_back():
    await readers("clients that leave and return",
                  get("/profiles/1?ms=1&size=1000000"), 350, returns=3)


async def few_slots():
    """A response that waits for its client holds a slot of its target."""
    await readers("slow readers where targets have few slots",
                  get("/profiles/1?ms=1&size=8000000"), 20, slots=4)


async def read_steadily(address, message, seconds, rate):
    """Reads at so many bytes a second, then the rest; returns the length of the
    body, or fails where the connection is reset."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    client.setblocking(False)
    try:
        host, port = address.split(":")
        await loop.sock_connect(client, (host, int(port)))
        await loop.sock_sendall(client, message)
        received, start, head = 0, loop.time(), b""
        while True:
            elapsed = loop.time() - start
            if elapsed < seconds and received > rate * elapsed:
                await asyncio.sleep(0.02)
                continue
            try:
                data = await asyncio.wait_for(
                    loop.sock_recv(client, 16384), crowd.PATIENCE_S)
            except OSError as error:
                raise AssertionError("closed after %d bytes in %.1f s: %s"
                                     % (received, elapsed, error))
            if not data:
                return received - head.index(b"\r\n\r\n") - 4
            if b"\r\n\r\n" not in head:
                head += data
            received += len(data)
    finally:
        client.close()


async def steady_reader():
    """A client that reads 200 KB/s, three times what counts as slow, was closed:
    progress was noted only when all that is buffered of its response was sent."""
    size = 16 * MB
    async with EntryCrowd() as c:
        received = await read_steadily(
            c.vm.listen, get("/profiles/1?ms=1&size=%d" % size, CLOSE), 18, 200000)
        assert received == size, "the response ended after %d bytes" % received
        await c.check("a steady reader")


async def slow_reader_without_need():
    """A client that reads 30 KB/s was closed because calls waited for the store,
    though no call waited for a slot: all but one were free."""
    size = 16 * MB
    async with EntryCrowd() as c:
        c.rig.set_platform_fault("slow_ms=1000")
        loop = asyncio.get_running_loop()
        reader = asyncio.ensure_future(read_steadily(
            c.vm.listen, b"POST /letters/1?ms=1&size=%d HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: 0\r\n%s\r\n" % (size, CLOSE), 6, 30000))
        await asyncio.gather(*(loop.run_in_executor(
            None, lambda n=n: request(
                c.vm.listen, "POST", "/letters/x?ms=1", body=b"b",
                headers={"Idempotency-Key": "slow-store-%d" % n})[0])
            for n in range(40)))
        assert await reader == size
        c.rig.set_platform_fault("slow_ms=0")
        await c.check("a slow reader beside calls that wait for the store")


async def directory_readers():
    await flood("directory responses that are not read",
                lambda n: get("/.chervilshelf/entries") * 16000, 12)


async def admin_readers():
    for path in "/metrics", "/report", "/targets":
        await flood("%s that is not read" % path, lambda n: get(path) * 16000, 12,
                    address=lambda vm: vm.admin)


async def served_in_calm():
    """What must hold for clients that read normally: long responses and bodies
    come whole, several at once."""
    async with EntryCrowd() as c:
        loop = asyncio.get_running_loop()
        size = 8 * MB
        for _ in range(3):
            replies = await asyncio.gather(*(loop.run_in_executor(
                None, c.request, "GET", "/profiles/1?ms=1&size=%d" % size)
                for _ in range(4)))
            for status, _, body in replies:
                assert status == 200 and len(body) == size, (status, len(body))
        replies = await asyncio.gather(*(loop.run_in_executor(
            None, c.request, "POST", "/letters/1?ms=1", b"b" * 4 * MB)
            for _ in range(3)))
        for status, _, body in replies:
            assert status == 200 and b'"bytes":%d' % (4 * MB) in body, (status, body)
        await c.check("long responses and bodies at once")


if __name__ == "__main__":
    crowd.main([reads_slowly, reads_nothing, pipelined, comes_back, few_slots,
                steady_reader, slow_reader_without_need, directory_readers,
                admin_readers, served_in_calm])
