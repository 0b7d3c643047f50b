"""Benchmark: 200 concurrent slow callers upload 20 MB each, then 200 download
20 MB each, through one entry VM. Prints the number of complete, refused and
closed transfers and the peak memory of the entry VM."""
import os
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "scenario"))
from rig import Rig, request  # noqa: E402

CALLERS, LARGE_BODY_BYTES = 200, 20 * 1000 * 1000


def exchange(head, pieces, read_pause_s, results):
    host, port = entry.listen.split(":")
    received, response_start = 0, b""
    try:
        with socket.create_connection((host, int(port)), timeout=90) as s:
            s.sendall(head)
            for piece in pieces:
                s.sendall(piece)
                time.sleep(0.02)
            while True:
                chunk = s.recv(262144)
                if not chunk:
                    break
                received += len(chunk)
                response_start = response_start or chunk
                time.sleep(read_pause_s)
    except OSError:
        pass
    results.append((received, response_start))


def run(label, head, pieces, read_pause_s, is_complete):
    results = []
    threads = [threading.Thread(target=exchange, args=(
        head, pieces, read_pause_s, results)) for _ in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    complete = sum(is_complete(*r) for r in results)
    refused = sum(b"not-run" in response_start for _, response_start in results)
    print("%s: %d complete, %d refused not-run, %d closed; peak %.0f MB" % (
        label, complete, refused, CALLERS - complete - refused,
        rig.peak_mb(entry)), flush=True)


with Rig(entries=1, targets=2, slots=8) as rig:
    rig.apply(rig.config(deadline_ms=60000))
    entry = rig.entries[0]
    run("sent", b"POST /letters/1?ms=1 HTTP/1.1\r\nHost: x\r\n"
        b"Connection: close\r\nContent-Length: %d\r\n\r\n" % LARGE_BODY_BYTES,
        [b"z" * (LARGE_BODY_BYTES // 20)] * 20, 0,
        lambda received, response_start: b" 200 " in response_start)
    run("fetched", b"GET /profiles/1?ms=1&size=%d HTTP/1.1\r\nHost: x\r\n"
        b"Connection: close\r\n\r\n" % LARGE_BODY_BYTES, [], 0.002,
        lambda received, response_start: b" 200 " in response_start and received > LARGE_BODY_BYTES)
    assert request(entry.listen, "GET", "/profiles/1?ms=1")[0] == 200
