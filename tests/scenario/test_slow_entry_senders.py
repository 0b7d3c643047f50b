"""Guards against an entry VM (`chervilshelf entry`) that runs out of memory or
descriptors, or refuses ordinary callers, when clients send slowly, endlessly, or
many requests at once, or only connect."""
import asyncio

import crowd
from entry_crowd import MB, EntryCrowd, flood, get, post


async def slow_heads():
    await flood("heads that never end",
                lambda n: post(n, b"")[:-2] + b"X-Pad: " + b"p" * 60000, 700)


async def slow_bodies():
    await flood("bodies announced and not sent whole", lambda n: post(
        n, b"Content-Length: 1000000\r\n") + b"b" * 900000, 90, upload=True)


async def announced_bodies():
    await flood("bodies announced and not sent", lambda n: post(
        n, b"Content-Length: 20000000\r\n") + b"b" * 1000, 40, upload=True)


async def bodies_in_work():
    await flood("long bodies whose requests are being processed", lambda n: post(
        n, b"Content-Length: 1000000\r\n") + b"b" * 1000000, 90)


async def endless_chunk_extensions():
    await flood("a chunk extension without end",
                lambda n: post(n, b"Transfer-Encoding: chunked\r\n") + b"5;" +
                b"e" * 4000000, 10)


async def endless_trailers():
    await flood("trailers without end",
                lambda n: post(n, b"Transfer-Encoding: chunked\r\n") + b"0\r\n" +
                b"T: t\r\n" * 700000, 10)


async def pipelined_flood():
    await flood("short requests, all sent at once",
                lambda n: get("/none") * 20000, 8)


async def pipelined_waiting():
    await flood("input behind a request", lambda n: get("/profiles/1?ms=3000") +
                post(n, b"Content-Length: 900000\r\n") + b"b" * 890000, 700)


async def idle_connections():
    await flood("idle connections", lambda n: b"", 400, files_max=256)


async def idle_side_connections():
    """Connections to the other addresses take no descriptors from the calls."""
    await flood("idle connections of the admin address", lambda n: b"", 400,
                address=lambda vm: vm.admin, files_max=256)
    await flood("idle connections of the address for other VMs", lambda n: b"", 400,
                address=lambda vm: vm.peer, files_max=256)


async def endless_frames():
    """No VM of ours: announces a frame and sends it slowly."""
    await flood("frames to the address for other VMs that never end",
                lambda n: b"\x00\x1f\xff\xff" + b"f" * 1900000, 60,
                address=lambda vm: vm.peer)


async def longest_body():
    """A body within the limit of a request got 503 in calm, at each attempt: all
    bodies together had less than that on a small VM."""
    async with EntryCrowd() as c:
        status, _, body = await asyncio.get_running_loop().run_in_executor(
            None, c.request, "POST", "/letters/x?ms=1", b"b" * (24 * MB))
        assert status == 200, "a body of 24 MB got %d: %s" % (status, body)
        await c.check("the longest body")


if __name__ == "__main__":
    crowd.main([slow_heads, slow_bodies, announced_bodies, bodies_in_work,
                endless_chunk_extensions, endless_trailers, pipelined_flood,
                pipelined_waiting, idle_connections, idle_side_connections,
                endless_frames, longest_body])
