"""Callers' side of HTTP: big bodies whole, pipelining, broken and oversize
requests, slow and vanished callers, broken target answers."""
import hashlib
import os
import socket
import threading
import time

from rig import Rig, request, wait_until

BIG = 20 * 1000 * 1000
UPLOADERS = 60
SANITIZED = os.environ.get("SANITIZED") == "1"


def raw(entry, data, read=True, timeout=10):
    """Sends bytes on a new connection; returns all that comes back."""
    host, port = entry.listen.split(":")
    with socket.create_connection((host, int(port)), timeout=timeout) as s:
        s.sendall(data)
        answer = b""
        while read:
            part = s.recv(65536)
            if not part:
                break
            answer += part
        return answer


def still_serves():
    status, _, _ = request(entry.listen, "GET", "/profiles/1?ms=1")
    assert status == 200


def big_download_is_whole():
    status, headers, body = request(
        entry.listen, "GET", "/profiles/1?ms=1&size=%d" % BIG)
    expected = bytes(ord("a") + (i * 7 + i // 251) % 26
                     for i in range(BIG // 100))
    assert status == 200 and len(body) == BIG
    assert body[:len(expected)] == expected
    direct = request(rig.targets[0], "GET", "/x?ms=1&size=%d" % BIG)[2]
    assert hashlib.sha256(direct).digest() == hashlib.sha256(body).digest()


def big_upload_is_whole():
    body = bytes(range(256)) * (BIG // 256)
    status, _, answer = request(entry.listen, "POST", "/letters/1?ms=1",
                                body=body, headers={"X-Tag": "big"})
    assert status == 200 and b'"bytes":%d' % len(body) in answer
    direct = request(rig.targets[0], "POST", "/x?ms=1", body=body)[2]
    assert direct.split(b"hash")[1] == answer.split(b"hash")[1]


def too_big_is_refused():
    body = b"x" * (25 * 1024 * 1024)
    try:
        status, _, _ = request(entry.listen, "POST", "/letters/1", body=body)
        assert status == 413, status
    except (ConnectionError, BrokenPipeError):
        pass  # refused while it was still sending
    still_serves()


def chunked_upload():
    answer = raw(entry, b"POST /letters/1?ms=1 HTTP/1.1\r\nHost: x\r\n"
                 b"X-Tag: chunked\r\nConnection: close\r\n"
                 b"Transfer-Encoding: chunked\r\n\r\n"
                 b"5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n")
    assert b" 200 " in answer and b'"bytes":11' in answer, answer


def pipelined_answers_come_in_order():
    one = b"GET /profiles/%d?ms=%d HTTP/1.1\r\nHost: x\r\nX-Tag: p%d\r\n%s\r\n"
    data = b"".join(one % (i, 40 - 10 * i, i,
                           b"Connection: close\r\n" if i == 4 else b"")
                    for i in range(5))
    answer = raw(entry, data)
    places = [answer.find(b'"tag":"p%d"' % i) for i in range(5)]
    assert -1 not in places and places == sorted(places), answer


def malformed_heads_get_an_error_or_a_close():
    for head in (b"\x00\x01\x02\r\n\r\n", b"GET\r\n\r\n", b"GET / HTTP/9\r\n",
                 b"POST /letters/1 HTTP/1.1\r\nContent-Length: x\r\n\r\n"):
        answer = raw(entry, head + b"\r\n\r\n")
        assert b" 200 " not in answer, (head, answer)
    still_serves()


def bad_own_headers_are_refused():
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


def oversize_head_is_431():
    status, headers, _ = request(entry.listen, "GET", "/profiles/1",
                                 headers={"X-Long": "y" * 70000})
    assert status == 431 and headers["chervilshelf-outcome"] == "not-run"


def truncated_answer_is_not_passed_off_as_whole():
    rig.fault("truncate=1")
    answer = raw(entry, b"GET /profiles/1?ms=1 HTTP/1.1\r\nHost: x\r\n"
                 b"Connection: close\r\n\r\n")
    rig.fault("truncate=0")
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"content-length: 8" in head.lower() and len(body) < 8, answer


def target_s_call_is_cancelled_when_the_caller_leaves():
    before = sum(rig.counts("callers_left_total"))
    raw(entry, b"GET /profiles/1?ms=9000 HTTP/1.1\r\nHost: x\r\n\r\n",
        read=False)
    wait_until(lambda: sum(rig.counts("callers_left_total")) > before,
               "the caller is known to have left")
    wait_until(lambda: sum(rig.counts("calls_running")) == 0,
               "nothing runs for it")


def slow_heads_hold_nothing_up():
    host, port = entry.listen.split(":")
    slow = [socket.create_connection((host, int(port))) for _ in range(100)]
    for s in slow:
        s.sendall(b"GET /profiles/1 HT")
    still_serves()
    for s in slow:
        s.close()


def slow_upload(results, chunked):
    """Sends a big letter in pieces; notes how it was answered."""
    host, port = entry.listen.split(":")
    answer, piece = b"", b"z" * (BIG // 20)
    framing = b"Content-Length: %d" % BIG
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
                part = s.recv(65536)
                if not part:
                    break
                answer += part
    except OSError:
        pass
    results.append(answer)


def many_uploads_at_once(chunked):
    results = []
    threads = [threading.Thread(target=slow_upload, args=(results, chunked))
               for _ in range(UPLOADERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    whole = sum(b" 200 " in r and b'"bytes":%d' % BIG in r for r in results)
    refused = sum(b"not-run" in r for r in results)
    closed = sum(r == b"" for r in results)
    print("uploads: %d whole, %d refused, %d closed; peak %d MB" % (
        whole, refused, closed, rig.peak_mb(entry)))
    assert whole + refused + closed == UPLOADERS
    assert whole >= 1 or chunked
    if not SANITIZED:  # the sanitizer's own memory is counted as well
        assert rig.peak_mb(entry) < 256
    still_serves()


def many_uploads_at_once_stay_within_memory():
    many_uploads_at_once(chunked=False)


def many_chunked_uploads_at_once_stay_within_memory():
    many_uploads_at_once(chunked=True)


with Rig(entries=1, targets=2, slots=8) as rig:
    rig.apply(rig.config(deadline_ms=10000))
    entry = rig.entries[0]
    for case in (big_download_is_whole, big_upload_is_whole,
                 too_big_is_refused, chunked_upload,
                 pipelined_answers_come_in_order,
                 malformed_heads_get_an_error_or_a_close,
                 bad_own_headers_are_refused, oversize_head_is_431,
                 truncated_answer_is_not_passed_off_as_whole,
                 target_s_call_is_cancelled_when_the_caller_leaves,
                 slow_heads_hold_nothing_up,
                 many_uploads_at_once_stay_within_memory,
                 many_chunked_uploads_at_once_stay_within_memory):
        case()
        print("ok", case.__name__)
