"""Stand-ins for the review cases 6 to 10: the platform's store, upstreams,
requesters, and gateways that run as real processes.

Everything listens on loopback addresses 127.A.B.N; A and B differ from run to
run. All gateways of a run use the same ports, as on the platform.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BINARY = os.path.join("target", "chervilshelf")
ATTEMPT = "chervilshelf-attempt-id"
DEADLINE = "chervilshelf-request-deadline"
NOT_EXECUTED = "Chervilshelf-Not-Executed"
STORE_ANSWER_S = 0.004
STORE_HISTORY_S = 20.0
STORE_PAGE_ITEMS = 500
RESTART_DELAY_S = 0.3
BROKEN, HELD, CANNOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case did not reach the situation that it is about."""


async def read_head(reader):
    """Returns the first line and the headers by lower-case name."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_message(reader):
    first, headers = await read_head(reader)
    length = int(headers.get("content-length", 0))
    return first, headers, await reader.readexactly(length)


def message(first, headers, body=b""):
    lines = [first] + ["%s: %s" % item for item in headers.items()]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Run:
    """One run of a case: addresses, the record, and what must end with it."""

    def __init__(self, record):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.record = open(record, "w")
        self.temporary = tempfile.TemporaryDirectory()
        self.prefix = "127.%d.%d." % (
            random.randrange(16, 240), random.randrange(1, 250))
        self.ports = {}
        self.gateways = []
        self.servers = []

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        self.record.write("%8.3f  %s\n" % (self.now(), text))
        self.record.flush()

    def address(self, number):
        return self.prefix + str(number)

    def choose_ports(self, names, hosts):
        """Chooses ports that are free at all these addresses."""
        for name in names:
            for _ in range(200):
                port = random.randrange(20000, 32000)
                if port not in self.ports.values() and \
                        all(is_free(host, port) for host in hosts):
                    self.ports[name] = port
                    break
            else:
                raise CannotRun("no free port for " + name)

    async def close(self):
        for gateway in self.gateways:
            gateway.end()
        for server in self.servers:
            server.close()
        self.temporary.cleanup()
        self.record.close()


def is_free(host, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


class Store:
    """The platform's metadata store.

    It answers after STORE_ANSWER_S, keeps STORE_HISTORY_S of history, and is
    silent while down is set: it accepts connections and says nothing.
    """

    def __init__(self, run, host):
        self.run, self.host = run, host
        self.revision = 1
        self.kinds = {}
        self.events = []  # revision, time, kind, deleted, object
        self.dropped = 0  # revision of the last event that was dropped
        self.down = False
        self.changed = asyncio.Event()

    async def start(self):
        self.run.servers.append(await asyncio.start_server(
            self.serve, self.host, self.run.ports["store"]))

    def address(self):
        return "%s:%d" % (self.host, self.run.ports["store"])

    def put(self, kind, name, spec, deleted=False):
        """Writes as the operator or an upstream. The return is the ack."""
        objects = self.kinds.setdefault(kind, {})
        self.revision += 1
        if deleted:
            entry = objects.pop(name)
        else:
            created = objects[name]["metadata"]["create_revision"] \
                if name in objects else self.revision
            entry = {"metadata": {"name": name, "revision": self.revision,
                                  "create_revision": created,
                                  "finalizers": [], "deleting": False},
                     "spec": spec, "status": None}
            objects[name] = entry
        now = time.monotonic()
        self.events.append((self.revision, now, kind, deleted, entry))
        while self.events[0][1] < now - STORE_HISTORY_S:
            self.dropped = self.events.pop(0)[0]
        self.run.note("store acks %s of %s/%s, revision %d" % (
            "removal" if deleted else "write", kind, name, self.revision))
        self.changed.set()
        self.changed = asyncio.Event()

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + min(wait_s, 30.0)
        while True:
            if since < self.dropped or since > self.revision:
                return 410, {}
            found = [{"deleted": deleted, "object": entry}
                     for revision, _, of, deleted, entry in self.events
                     if of == kind and revision > since]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def list(self, objects, after):
        names = sorted(name for name in objects if name > after)
        return {"items": [objects[n] for n in names[:STORE_PAGE_ITEMS]],
                "more": len(names) > STORE_PAGE_ITEMS,
                "store_revision": self.revision}

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        kind, _, name = path[len("/objects/"):].partition("/")
        name = urllib.parse.unquote(name)
        objects = self.kinds.setdefault(kind, {})
        if method == "POST":
            given = json.loads(body)
            name = given["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            self.put(kind, name, given.get("spec"))
            return 200, objects[name]
        if method != "GET":
            return 400, {}
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]),
                                    int(query.get("wait_ms", 0)) / 1000)
        return 200, self.list(objects, query.get("after", ""))

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                method, target, _ = first.split(" ")
                if self.down:
                    await asyncio.sleep(3600)
                await asyncio.sleep(STORE_ANSWER_S)
                status, reply = await self.answer(method, target, body)
                if self.down:
                    await asyncio.sleep(3600)
                writer.write(message(
                    "HTTP/1.1 %d Status" % status,
                    {"Content-Type": "application/json"},
                    json.dumps(reply).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Upstream:
    """An upstream of one service, in this process."""

    def __init__(self, run, store, number, service, zone, slots=4):
        self.run, self.store = run, store
        self.id = "i-%08x" % random.randrange(1 << 32)
        self.host, self.service, self.zone = run.address(number), service, zone
        self.slots, self.work_s = slots, 0.02
        self.running = 0
        self.runs = []  # time, attempt
        self.born = int(time.time() * 1000)

    async def start(self):
        self.run.servers.append(await asyncio.start_server(
            self.serve, self.host, self.run.ports["upstream"]))
        self.register()

    def register(self, state="ready"):
        self.store.put("servers", self.id, {
            "address": "%s:%d" % (self.host, self.run.ports["upstream"]),
            "born": self.born,
            "info": {"service": self.service, "version": "v1",
                     "zone": self.zone, "slots": self.slots},
            "status": {"state": state, "sequence": 1, "warmup_left": "0ms"}})

    def load(self):
        return {"Chervilshelf-Server-Load": "%d,0,%d,100" % (
            self.running, self.slots)}

    def own_headers(self):
        return {}

    async def work(self, attempt, reader, length):
        """Reads the body and works. Returns the status."""
        await reader.readexactly(length)
        await asyncio.sleep(self.work_s)
        return 200

    def refuse(self, attempt, headers):
        """Returns an answer that states that the request did not run."""
        if headers.get("chervilshelf-expected-instance") != self.id:
            return 421, {"Chervilshelf-Instance-Id": self.id}
        if not attempt:
            return 400, {NOT_EXECUTED: "1"}
        if self.running >= 3 * self.slots:
            return 503, {NOT_EXECUTED: "1"}
        return None

    async def respond(self, headers, reader):
        attempt = headers.get(ATTEMPT, "")
        length = int(headers.get("content-length", 0))
        refusal = self.refuse(attempt, headers)
        echo = {"Chervilshelf-Attempt-Id": attempt}
        if refusal is not None:
            await reader.readexactly(length)
            return message("HTTP/1.1 %d Refused" % refusal[0], {
                **echo, **refusal[1], **self.load(), **self.own_headers()})
        self.runs.append((self.run.now(), attempt))
        self.run.note("%s (%s, %s) runs %s" % (
            self.id, self.service, self.zone, attempt))
        self.running += 1
        try:
            status = await self.work(attempt, reader, length)
        finally:
            self.running -= 1
        return message("HTTP/1.1 %d Done" % status, {
            **echo, "Chervilshelf-Response-Seal": "seal-" + attempt,
            **self.load(), **self.own_headers()}, answer_to(attempt))

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                if first.startswith("GET /health "):
                    reply = message("HTTP/1.1 200 OK", {
                        "Chervilshelf-Instance-Id": self.id, **self.load(),
                        **self.own_headers()})
                else:
                    reply = await self.respond(headers, reader)
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError) as error:
            self.lost(error)
        finally:
            writer.close()

    def lost(self, error):
        """The connection ended, maybe in the middle of a request."""


def answer_to(attempt):
    return ("answer to " + attempt).encode()


class Gateway:
    """One machine of class front, with the command of the deploy file."""

    PORTS = ("front", "ready", "directory", "control", "internal")

    def __init__(self, run, store, number, name, zone, zones, seeds, bounds,
                 memory_mb=260):
        self.run, self.name = run, name
        self.host = run.address(number)
        self.process = None
        self.starts = 0
        self.log = os.path.join(run.temporary.name, name + ".log")
        self.path = os.path.join(run.temporary.name, name + ".json")
        ports = run.ports
        self.settings = {
            "node_name": name, "role": "gateway", "machine_class": "front",
            "serves": ["front", "directory", "control"], "ip": self.host,
            "zone": zone, "region": zones[zone], "zones": zones,
            "listen": {what: "%s:%d" % (self.host, ports[what])
                       for what in ("front", "ready", "directory", "control")},
            "internal_ports": [ports["internal"], ports["internal"] + 15],
            "seeds": ["%s:%d" % (run.address(n), ports["control"])
                      for n in seeds],
            "bootstrap": True, "in_fault_budget": False,
            "limits": {"cpu_share": 0.2, "cores": 1, "memory_mb": memory_mb,
                       "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "directory",
            "heartbeat": "1500ms", "bounds": bounds,
            "platform": {"address": store.address(), "form": "objects",
                         "writes_per_s": 400, "reads_per_s": 2000,
                         "history": "20s", "value_bytes": 1048576,
                         "ttl_min": "1000ms"}}
        run.gateways.append(self)

    def start(self):
        self.settings["bootstrap"] = self.starts == 0
        self.starts += 1
        with open(self.path, "w") as out:
            json.dump(self.settings, out)
        environment = {name: os.environ[name]
                       for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CHERVILSHELF_NODE_FILE"] = self.path
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [BINARY, "gateway"], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log,
                stderr=subprocess.STDOUT)
        self.run.note("%s starts" % self.name)

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        self.run.note("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def ended(self, seconds):
        end = time.monotonic() + seconds
        while self.is_running():
            if time.monotonic() > end:
                raise CannotRun(self.name + " did not end")
            await asyncio.sleep(0.02)
        self.run.note("%s has ended" % self.name)

    def end(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def get(self, port, target):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, port), 1.0)
        except (OSError, asyncio.TimeoutError):
            return 0, b""
        try:
            writer.write(message("GET %s HTTP/1.1" % target, {"Host": "x"}))
            first, _, body = await asyncio.wait_for(read_message(reader), 2.0)
            return int(first.split(" ")[1]), body
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, b""
        finally:
            writer.close()

    async def is_ready(self):
        status, _ = await self.get(self.run.ports["ready"], "/readiness")
        return status == 200

    async def metric(self, name):
        """A metric of the program, by which a case only finds its way."""
        _, body = await self.get(9464, "/metrics")
        found = re.search("^%s (\\S+)$" % re.escape(name), body.decode(), re.M)
        return found and found.group(1)


async def until(check, seconds, what):
    end = time.monotonic() + seconds
    while not await check():
        if time.monotonic() > end:
            raise CannotRun("timed out: " + what)
        await asyncio.sleep(0.05)


async def all_ready(gateways):
    return all([await gateway.is_ready() for gateway in gateways])


class Channel:
    """A requester's kept channel to one gateway."""

    def __init__(self, run, gateway, host):
        self.run, self.gateway, self.service_host = run, gateway, host
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(
                self.gateway.host, self.run.ports["front"]), 1.0)

    async def send(self, method, path, attempt, body=b"", deadline_s=2.0,
                   headers=None):
        """Returns the status, 0 if the channel ended, and the headers."""
        self.run.note("%s %s, %s, %d bytes, sent to %s" % (
            method, path, attempt, len(body), self.gateway.name))
        try:
            self.writer.write(message("%s %s HTTP/1.1" % (method, path), {
                "Host": self.service_host, "Chervilshelf-Attempt-Id": attempt,
                "Chervilshelf-Request-Deadline": int(deadline_s * 1000),
                **(headers or {})}, body))
            first, answer, got = await asyncio.wait_for(
                read_message(self.reader), deadline_s + 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) \
                as error:
            self.run.note("%s: no answer (%s)" % (
                attempt, type(error).__name__))
            self.close()
            return 0, {}
        status = int(first.split(" ")[1])
        self.run.note("%s is answered %d%s" % (
            attempt, status, " " + got.decode("latin-1").strip()
            if status != 200 else ""))
        if answer.get("connection") == "close":
            self.close()
        return status, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


async def call(run, gateway, host, method, path, attempt, body=b"",
               deadline_s=2.0, headers=None):
    """Sends one request on a channel of its own; returns the status."""
    channel = Channel(run, gateway, host)
    try:
        await channel.open()
    except (OSError, asyncio.TimeoutError):
        run.note("%s: %s accepts no channel" % (attempt, gateway.name))
        return 0
    try:
        status, _ = await channel.send(
            method, path, attempt, body, deadline_s, headers)
        return status
    finally:
        channel.close()


def rule(prefix, kind, service, timeout_ms, max_attempts=2):
    return {"name": "r" + prefix.replace("/", "-"), "kind": kind,
            "target_latency": "500ms", "priority": 1,
            "match": {"path_prefix": prefix},
            "action": {"service": service, "timeout": "%dms" % timeout_ms,
                       "max_attempts": max_attempts}}


def desired_state(version, host, rules, services, body_bytes=67108864,
                  tenants=None):
    state = {"version": version,
             "limits": {"header_bytes": 16384, "body_bytes": body_bytes,
                        "header_timeout": "3000ms", "idle_timeout": "15000ms"},
             "listeners": [{"host": host, "rules": rules}],
             "clusters": [{"name": name, "health_path": "/health",
                           "max_conns": 220, "protocol": "h1", "tls": False}
                          for name in services]}
    if tenants is not None:
        state["tenants"] = tenants
    return state


def main(case, record):
    """Runs a case within 110 seconds and exits as the review asks.

    record: the file for what was sent, answered and run, and the result.
    """
    run = Run(record)

    async def limited():
        try:
            return await asyncio.wait_for(case(run), 110)
        finally:
            await run.close()

    def finish(code, text):
        with open(record, "a") as out:
            out.write(text + "\n")
        print(text)
        sys.exit(code)

    # An interrupted run ends what it started, too.
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.default_int_handler)
    if not os.path.exists(os.path.join(ROOT, BINARY)):
        finish(CANNOT_RUN, "cannot run: %s is not built" % BINARY)
    try:
        broken, text = asyncio.run(limited())
    except (Exception, KeyboardInterrupt) as error:
        # Whatever stops the script itself says nothing of the rule.
        finish(CANNOT_RUN, "cannot run: %s %s" % (type(error).__name__, error))
    finish(BROKEN if broken else HELD,
           "%s: %s" % ("BROKEN" if broken else "held", text))
