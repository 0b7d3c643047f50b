"""HTTP between callers and an entry VM: large bodies, pipelining, malformed and
oversize requests, slow and disconnected callers, truncated responses of
targets."""
import hashlib
import os
import socket
import threading
import time

from rig import Rig, request, wait_until

LARGE_BODY_BYTES = 20 * 1000 * 1000
UPLOADERS = 60
SANITIZED = os.environ.get("SANITIZED") == "1"


def exchange_raw(entry, data, read=True, timeout=10):
    """Sends bytes on a new connection; returns all bytes received."""
    host, port = entry.listen.split(":")
    with socket.create_connection((host, int(port)), timeout=timeout) as s:
        s.sendall(data)
        response = b""
        while read:
            chunk = s.recv(65536)
            if not chunk:
                break
            response += chunk
        return response


def assert_still_serving():
    status, _, _ = request(entry.listen, "GET", "/profiles/1?ms=1")
    assert status == 200


def large_download_is_complete():
    status, headers, body = request(
        entry.listen, "GET", "/profiles/1?ms=1&size=%d" % LARGE_BODY_BYTES)
    expected = bytes(ord("a") + (i * 7 + i // 251) % 26
                     for i in range(LARGE_BODY_BYTES // 100))
    assert status == 200 and len(body) == LARGE_BODY_BYTES
    assert body[:len(expected)] == expected
    direct = request(rig.targets[0], "GET", "/x?ms=1&size=%d" % LARGE_BODY_BYTES)[2]
    assert hashlib.sha256(direct).digest() == hashlib.sha256(body).digest()


def large_upload_is_complete():
    body = bytes(range(256)) * (LARGE_BODY_BYTES // 256)
    status, _, response = request(entry.listen, "POST", "/letters/1?ms=1",
                                body=body, headers={"X-Tag": "big"})
    assert status == 200 and b'"bytes":%d' % len(body) in response
    direct = request(rig.targets[0], "POST", "/x?ms=1", body=body)[2]
    assert direct.split(b"hash")[1] == response.split(b"hash")[1]


def oversize_body_is_rejected():
    body = b"x" * (25 * 1024 * 1024)
    try:
        status, _, _ = request(entry.listen, "POST", "/letters/1", body=body)
        assert status == 413, status
    except (ConnectionError, BrokenPipeError):
        pass  # The entry VM closed while the client was sending.
    assert_still_serving()


def chunked_upload_is_complete():
    response = exchange_raw(entry, b"POST /letters/1?ms=1 HTTP/1.1\r\nHost: x\r\n"
                 b"X-Tag: chunked\r\nConnection: close\r\n"
                 b"Transfer-Encoding: chunked\r\n\r\n"
                 b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
    assert b" 200 " in response and b'"bytes":11' in response, response


def pipelined_responses_keep_request_order():
    one = b"GET /profiles/%d?ms=%d HTTP/1.1\r\nHost: x\r\nX-Tag: p%d\r\n%s\r\n"
    data = b"".join(one % (i, 40 - 10 * i, i,
                           b"Connection: close\r\n" if i == 4 else b"")
                    for i in range(5))
    response = exchange_raw(entry, data)
    positions = [response.find(b'"tag":"p%d"' % i) for i in range(5)]
    assert -1 not in positions and positions == sorted(positions), response


def malformed_heads_are_not_served():
    for head in (b"\x00\x01\x02\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/9\r\n",
                 b"POST /letters/1 HTTP/1.1\r\nContent-Length: x\r\n\r\n"):
        response = exchange_raw(entry, head + b"\r\n\r\n")
        assert b" 200 " not in response, (head, response)
    assert_still_serving()


def invalid_chervilshelf_headers_are_rejected():
    for name, value in (("Chervilshelf-Deadline-Ms", "soon"),
                        ("Chervilshelf-Depth", "-1"),
                        ("Idempotency-Key", "k" * 300)):
        status, headers, _ = request(entry.listen, "GET", "/profiles/1",
                                     headers={name: value})
        assert status == 400, (name, status)
        assert headers["chervilshelf-outcome"] == "not-run"
    status, _, body = request(entry.listen, "GET", "/profiles/1",
                              headers={"Chervilshelf-Depth": "13"})
    assert status == 508 and b"too_deep" in body


def oversize_head_gets_status_431():
    status, headers, _ = request(entry.listen, "GET", "/profiles/1",
                                 headers={"X-Long": "y" * 70000})
    assert status == 431 and headers["chervilshelf-outcome"] == "not-run"


def truncated_response_is_relayed_as_incomplete():
    rig.set_target_fault("truncate=1")
    response = exchange_raw(entry, b"GET /profiles/1?ms=1 HTTP/1.1\r\nHost: x\r\n"
                 b"Connection: close\r\n\r\n")
    rig.set_target_fault("truncate=0")
    head, _, body = response.partition(b"\r\n\r\n")
    assert b"content-length: 8" in head.lower() and len(body) < 8, response


def attempt_is_cancelled_when_the_caller_disconnects():
    before = sum(rig.counter_values("callers_left_total"))
    exchange_raw(entry, b"GET /profiles/1?ms=9000 HTTP/1.1\r\nHost: x\r\n\r\n",
        read=False)
    wait_until(lambda: sum(rig.counter_values("callers_left_total")) > before,
               "the disconnect of the caller is counted")
    wait_until(lambda: sum(rig.counter_values("calls_running")) == 0,
               "no call is running")


def slow_heads_do_not_block_other_calls():
    host, port = entry.listen.split(":")
    slow = [socket.create_connection((host, int(port))) for _ in range(100)]
    for s in slow:
        s.sendall(b"GET /profiles/1 HT")
    assert_still_serving()
    for s in slow:
        s.close()


def slow_upload(results, chunked):
    """Sends a large body in pieces; appends the response to results."""
    host, port = entry.listen.split(":")
    response, piece = b"", b"z" * (LARGE_BODY_BYTES // 20)
    framing = b"Content-Length: %d" % LARGE_BODY_BYTES
    if chunked:
        framing = b"Transfer-Encoding: chunked"
        piece = b"%x\r\n%s\r\n" % (len(piece), piece)
    try:
        with socket.create_connection((host, int(port)), timeout=60) as s:
            s.sendall(b"POST /letters/1?ms=1 HTTP/1.1\r\nHost: x\r\n"
                      b"Connection: close\r\n%s\r\n\r\n" % framing)
            for _ in range(20):
                s.sendall(piece)
                time.sleep(0.01)
            if chunked:
                s.sendall(b"0\r\n\r\n")
            while True:
                chunk = s.recv(65536)
                if not chunk:
                    break
                response += chunk
    except OSError:
        pass
    results.append(response)


def run_concurrent_uploads(chunked):
    results = []
    threads = [threading.Thread(target=slow_upload, args=(results, chunked))
               for _ in range(UPLOADERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    complete = sum(b" 200 " in r and b'"bytes":%d' % LARGE_BODY_BYTES in r for r in results)
    refused = sum(b"not-run" in r for r in results)
    closed = sum(r == b"" for r in results)
    print("uploads: %d complete, %d refused, %d closed; peak %d MB" % (
        complete, refused, closed, rig.peak_mb(entry)))
    assert complete + refused + closed == UPLOADERS
    assert complete >= 1 or chunked
    if not SANITIZED:  # Peak memory includes that of the sanitizer.
        assert rig.peak_mb(entry) < 256
    assert_still_serving()


def concurrent_uploads_stay_within_memory():
    run_concurrent_uploads(chunked=False)


def concurrent_chunked_uploads_stay_within_memory():
    run_concurrent_uploads(chunked=True)


with Rig(entries=1, targets=2, slots=8) as rig:
    rig.apply(rig.config(deadline_ms=10000))
    entry = rig.entries[0]
    for case in (large_download_is_complete, large_upload_is_complete,
                 oversize_body_is_rejected, chunked_upload_is_complete,
                 pipelined_responses_keep_request_order,
                 malformed_heads_are_not_served,
                 invalid_chervilshelf_headers_are_rejected, oversize_head_gets_status_431,
                 truncated_response_is_relayed_as_incomplete,
                 attempt_is_cancelled_when_the_caller_disconnects,
                 slow_heads_do_not_block_other_calls,
                 concurrent_uploads_stay_within_memory,
                 concurrent_chunked_uploads_stay_within_memory):
        case()
        print("ok", case.__name__)
