"""A store, targets and callers on loopback, with gateways as real processes.

One asyncio loop simulates everything outside the system; each gateway runs the
real binary. Addresses in 127.0.0.0/8 are derived from the process id, so that
concurrent runs do not share addresses.
"""
import asyncio
import itertools
import json
import os
import re
import signal
import tempfile
import time
import urllib.parse

ATTEMPT_ID_HEADER = "chervilshelf-attempt-id"
FRONT_PORT, READINESS_PORT, DIRECTORY_PORT, FLEET_PORT = 8548, 8542, 8546, 7540
HISTORY_MAX_EVENTS = 1000
DIRECTORY_MAX_ADDRESSES = 64  # listed in one directory response
# Of the store, which refuses what is not a URL or not a parameter of its own.
REQUEST_LINE = re.compile(r"[A-Z]+ /(%[0-9A-Fa-f]{2}|[-\w.~!$&'()*+,;=:@/?])* HTTP/1.1",
                          re.ASCII)
STORE_PARAMETERS = {"after", "watch", "wait_ms", "allow_stale", "revision"}
CLUSTER_NUMBERS = itertools.count()  # within this process; addresses differ


async def read_message(reader):
    """Returns the first line, the headers by lower-case name, and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = headers.get("content-length")
    if length is not None:
        return first, headers, await reader.readexactly(int(length))
    if first.startswith("HTTP/") and headers.get("connection") == "close":
        return first, headers, await reader.read()
    return first, headers, b""


def format_message(first, headers, body=b""):
    lines = [first] + ["%s: %s" % item for item in headers.items()]
    lines += ["Content-Length: %d" % len(body), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """Stores objects by kind and name, with watches; `mode` sets its fault."""

    def __init__(self):
        self.revision = 1
        self.kinds = {}
        self.history = []
        self.discarded_revision = 0
        self.mode = "up"  # up, busy, silent, slow
        self.changed = asyncio.Event()
        self.disturbed_until = 0.0  # until then, gateways may miss writes
        self.era = 1  # rises with each restore
        self.paths = set()  # of all requests, without their queries
        self.proof_queries = 0  # watches that do not wait
        self.page_items = 500  # at most in one response to a list
        self.ignores_after = False  # sends the first page of a list for ever
        self.calls = 0

    def copy(self):
        """For restore(): all that it holds now."""
        saved = Store()
        saved.revision, saved.kinds = self.revision, self.copy_kinds()
        return saved

    def copy_kinds(self):
        """Entries are replaced, never changed, and may be nested deeply."""
        return {kind: dict(objects) for kind, objects in self.kinds.items()}

    def restore(self, saved):
        """Comes back from a copy; revisions since are given out again."""
        self.revision, self.kinds = saved.revision, saved.copy_kinds()
        self.era += 1
        self.discard_history()
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, deleted=False):
        self.revision += 1
        objects = self.kinds.setdefault(kind, {})
        entry = {"metadata": {"name": name, "revision": self.revision},
                 "spec": spec}
        if deleted:
            entry = objects.pop(name, entry)
        else:
            objects[name] = entry
        self.history.append((self.revision, kind, deleted, entry))
        del self.history[:-HISTORY_MAX_EVENTS]
        self.changed.set()
        self.changed = asyncio.Event()

    def discard_history(self):
        self.history.clear()
        self.discarded_revision = self.revision

    def set_mode(self, mode):
        self.mode = mode
        self.disturbed_until = float("inf") if mode != "up" else time.time() + 3.5

    async def watch(self, kind, since, wait_s):
        end = time.time() + wait_s
        while True:
            if since < self.discarded_revision or since > self.revision:
                return 410, {}
            events = [{"deleted": deleted, "object": entry}
                      for revision, event_kind, deleted, entry in self.history
                      if event_kind == kind and revision > since]
            remaining_s = end - time.time()
            if events or remaining_s <= 0:
                return 200, {"events": events,
                             "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass

    def list_page(self, objects, after):
        names = sorted(name for name in objects
                       if self.ignores_after or name > after)
        return {"items": [objects[name] for name in names[:self.page_items]],
                "more": len(names) > self.page_items,
                "store_revision": self.revision}

    async def respond(self, first, body):
        if not REQUEST_LINE.fullmatch(first):
            return 400, {}
        method, target, _ = first.split(" ")
        path, _, query = target.partition("?")
        self.paths.add(path)
        self.calls += 1
        self.proof_queries += "wait_ms=0" in query and \
            "allow_stale" not in query
        parameters = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if not STORE_PARAMETERS.issuperset(parameters):
            return 400, {}
        kind, _, name = path[len("/objects/"):].partition("/")
        name = urllib.parse.unquote(name)
        objects = self.kinds.setdefault(kind, {})
        if method == "POST":
            entry = json.loads(body)
            name = entry["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            self.put(kind, name, entry.get("spec"))
            return 200, objects[name]
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        if "watch" in parameters:
            return await self.watch(kind, int(parameters["watch"]),
                                    int(parameters["wait_ms"]) / 1000)
        return 200, self.list_page(objects, parameters.get("after", ""))

    async def serve(self, reader, writer):
        try:
            while True:
                first, _, body = await read_message(reader)
                if self.mode == "silent":
                    await asyncio.sleep(3600)
                if self.mode == "slow":
                    await asyncio.sleep(0.25)
                status, reply = (503, {}) if self.mode == "busy" else \
                    await self.respond(first, body)
                writer.write(format_message("HTTP/1.1 %d X" % status,
                                     {"Store-Era": self.era}, json.dumps(reply).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Target:
    """Runs requests and records each run; registers itself in the store."""

    def __init__(self, cluster, number, pool, work_s=0.02, slots=4):
        self.cluster, self.pool = cluster, pool
        self.work_s, self.slots = work_s, slots
        self.id = "t-%s-%d" % (pool, number)
        self.host = cluster.address(100 + number)
        self.zone = cluster.zone
        self.running = self.runs = 0
        self.drain_acked_at = None  # time when the store acked its draining
        self.server = None
        self.started = False
        self.notices = {}  # headers of its responses, by name
        self.noticed_at = None  # time of the first response with them
        self.arrivals = []  # requests since then: time, host of the VM
        self.proxy = Proxy(self.host, 8081, (self.host, 8080))

    async def start(self):
        if self.started:  # by another fault that overlaps
            return
        self.started = True
        self.started_at_ms = int(time.time() * 1000)
        self.drain_acked_at = None
        self.notices, self.noticed_at, self.arrivals = {}, None, []
        self.server = await asyncio.start_server(self.serve, self.host, 8080)
        await self.proxy.start()
        self.register("ready")

    def register(self, state):
        self.cluster.store.put("servers", self.id, {
            "address": "%s:8081" % self.host, "born": self.started_at_ms,
            "info": {"service": self.pool, "version": "v1",
                     "zone": self.zone, "slots": self.slots},
            "status": {"state": state, "sequence": 1, "warmup_left": "0ms"}})

    def start_draining(self):
        self.register("draining")
        self.drain_acked_at = time.time()

    async def stop(self):
        """Simulates a crash: stops listening and aborts all connections."""
        if self.server is not None:
            self.proxy.server.close()
            self.server.close()
            self.server = None
            self.started = False
        for writer in list(self.cluster.connections.get(self.id, ())):
            writer.transport.abort()

    def load_headers(self):
        return {"Chervilshelf-Server-Load": "%d,0,%d,100" %
                (self.running, self.slots)}

    async def run(self, first, headers, body):
        attempt = headers.get(ATTEMPT_ID_HEADER, "")
        if "/crash" in first and self.cluster.harmless_left > 0:
            self.cluster.harmless_left -= 1
        elif "/crash" in first:
            self.cluster.crashes.append((time.time(), self.id))
            await self.stop()
            raise ConnectionError("crashed")
        if headers.get("chervilshelf-expected-instance") != self.id:
            return format_message("HTTP/1.1 421 X", {ATTEMPT_ID_HEADER: attempt})
        if self.running >= self.slots * 2:
            return format_message("HTTP/1.1 503 X", {
                ATTEMPT_ID_HEADER: attempt, "Chervilshelf-Not-Executed": "1", **self.load_headers()})
        self.cluster.record_run(self, first, attempt, body)
        self.running += 1
        self.runs += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if self.notices and self.noticed_at is None:
            self.noticed_at = time.time()
        return format_message("HTTP/1.1 200 OK", {
            ATTEMPT_ID_HEADER: attempt, "Chervilshelf-Response-Seal": "seal-" + attempt,
            **self.load_headers(), **self.notices}, answer_body(attempt))

    async def serve(self, reader, writer):
        connections = self.cluster.connections.setdefault(self.id, set())
        connections.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                if first.startswith("GET /health "):
                    reply = format_message("HTTP/1.1 200 OK", self.load_headers())
                else:
                    reply = await self.run(first, headers, body)
                writer.write(reply)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            connections.discard(writer)
            writer.close()


def answer_body(attempt):
    return (attempt * 40).encode()


class Pair:
    """The two connections of one proxied client."""

    def __init__(self):
        self.silent = False  # for good: nothing passes, nothing is closed
        self.watching = False  # its last request was a watch


class Proxy:
    """Proxies the store or a target: passes, delays, holds back or resets."""

    def __init__(self, host, port, upstream):
        self.host, self.port, self.upstream = host, port, upstream
        self.mode = "pass"  # pass, delay, silent, one_way
        self.writers = set()
        self.pairs = set()

    def silence(self, only_watches=False):
        """Open connections fall silent for good; new ones work. Returns how
        many did."""
        chosen = [pair for pair in self.pairs if not pair.silent and
                  (pair.watching or not only_watches)]
        for pair in chosen:
            pair.silent = True
        return len(chosen)

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.host, self.port)

    def reset(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def pump(self, reader, writer, pair, to_client):
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    break
                if not to_client:
                    pair.watching = b"watch=" in data
                if self.mode == "delay":
                    await asyncio.sleep(0.05)
                while pair.silent or self.mode == "silent" or \
                        (self.mode == "one_way" and to_client):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(
                *self.upstream)
        except (ConnectionError, asyncio.CancelledError):
            writer.close()
            return
        pair, writers = Pair(), {writer, up_writer}
        self.writers |= writers
        self.pairs.add(pair)
        await asyncio.gather(self.pump(reader, up_writer, pair, False),
                             self.pump(up_reader, writer, pair, True))
        self.writers -= writers
        self.pairs.discard(pair)


class Gateway:
    """One entry VM: the real binary with its own settings file."""

    def __init__(self, cluster, number):
        self.cluster, self.number = cluster, number
        self.name = "vm-%d" % number
        self.host = cluster.address(number + 1)
        self.zone, self.region = None, "r1"  # None: that of the cluster
        self.process = None
        self.binary = None  # None: that of the cluster
        self.boot = 0
        self.paused = False
        self.restarting = False
        self.disturbed_until = 0.0  # until then, it may miss updates
        self.store_proxy = Proxy(self.host, 8541, (cluster.address(250), 8541))
        self.settings_path = os.path.join(cluster.folder, self.name + ".json")
        self.log = os.path.join(cluster.folder, self.name + ".log")

    def write_settings(self, first_start):
        hosts = [self.cluster.address(n + 1)
                 for n in range(min(3, self.cluster.vm_count))]
        with open(self.settings_path, "w") as out:
            json.dump({
                "node_name": self.name, "zone": self.zone or self.cluster.zone,
                "region": self.region,
                "zones": {self.cluster.zone: "r1", "z2": "r2",
                          **self.cluster.more_zones},
                "listen": {"front": "%s:%d" % (self.host, FRONT_PORT),
                           "ready": "%s:%d" % (self.host, READINESS_PORT),
                           "directory": "%s:%d" % (self.host, DIRECTORY_PORT)},
                "internal_ports": [FLEET_PORT, FLEET_PORT + 9],
                "seeds": ["%s:8544" % host for host in hosts],
                "bootstrap": first_start,
                "limits": {"memory_mb": 260, "max_fds": 1024,
                           "link_mbps": 1000.0, "cpu_share": 1.0},
                "bounds": ["grace=%ds" % self.cluster.grace_s,
                           "retry_budget_ratio=0.2",
                           "retry_budget_slack=60", "budget_window=10s",
                           "ttl_max=5s", "probes_per_s=60",
                           *self.cluster.bounds],
                "platform": {"address": "%s:8541" % self.host}}, out)

    async def start(self, first_start=False):
        self.write_settings(first_start)
        self.boot += 1
        self.process = await asyncio.create_subprocess_exec(
            self.binary or self.cluster.binary, "gateway", "--settings", self.settings_path,
            stdout=open(self.log, "ab"), stderr=asyncio.subprocess.STDOUT)

    def signal_process(self, number, disturbed_s):
        self.mark_disturbed(disturbed_s)
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def mark_disturbed(self, seconds):
        self.disturbed_until = max(self.disturbed_until, time.time() + seconds)

    async def terminate(self, number=signal.SIGTERM):
        self.signal_process(number, 8)
        if self.process is not None:
            await self.process.wait()


class Cluster:
    """Runs all parts; records what targets and callers saw, for checks."""

    def __init__(self, binary, vm_count=3, pools=("a", "b"), targets=3,
                 grace_s=6, bounds=()):
        self.binary, self.vm_count, self.grace_s = binary, vm_count, grace_s
        self.bounds = list(bounds)  # further ones of the settings
        self.allowed_regions = {}  # of routes, by prefix
        self.tenants = None  # keys by tenant; None: none are needed
        self.tenant_limits = {}  # further fields of tenants, by name
        self.exempt = ()  # prefixes of routes without keys
        self.zone = "z1"
        self.more_zones = {}  # regions of further ones
        self.prefix = "127.%d.%d." % (
            16 + (os.getpid() // 250 + next(CLUSTER_NUMBERS)) % 200,
            1 + os.getpid() % 250)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = self.temporary.name
        self.store = Store()
        self.connections = {}
        self.run_counts = {}  # by attempt: number of runs
        self.hosts = {}  # by attempt: the VM that it was sent to
        self.crashes = []  # of targets, by a request: time and target
        self.harmless_left = 0  # crashing requests that are served before
        self.statuses = {}  # by attempt: status at the caller
        self.violations = []
        self.version = 0
        self.routes = []
        self.vms = [Gateway(self, n) for n in range(vm_count)]
        self.targets = [Target(self, i * 10 + n, pool)
                        for i, pool in enumerate(pools)
                        for n in range(targets)]
        self.pools = pools

    def address(self, number):
        return self.prefix + str(number)

    def put_config(self, routes=None, host="svc.example"):
        """Writes a configuration; a route is (prefix, kind, pool), or with a
        timeout in ms."""
        if routes is not None:
            self.routes = routes
        self.version += 1
        rules = [{"name": prefix, "kind": kind, "priority": 1,
                  "target_latency": "500ms",
                  "match": {"path_prefix": prefix},
                  "auth_exempt": prefix in self.exempt,
                  "action": {"service": pool, "max_attempts": 2,
                             "timeout": "%dms" % (*timeout_ms, 2000)[0],
                             "allowed_regions":
                                 self.allowed_regions.get(prefix, [])}}
                 for prefix, kind, pool, *timeout_ms in self.routes]
        tenants = {} if self.tenants is None else {"tenants": [
            {"name": name, "api_keys": keys,
             **self.tenant_limits.get(name, {})}
            for name, keys in self.tenants.items()]}
        self.store.put("config", "main", {
            "version": self.version, **tenants,
            "limits": {"header_bytes": 16384, "body_bytes": 1048576,
                       "header_timeout": "3s", "idle_timeout": "15s"},
            "listeners": [{"host": host, "rules": rules}],
            "clusters": [{"name": pool, "health_path": "/health",
                          "max_conns": 200} for pool in self.pools]})

    def put_unreadable_config(self):
        """Writes a configuration without limits: it is refused whole."""
        self.version += 1
        self.store.put("config", "main", {"version": self.version})

    async def restore_store(self, saved, down_s):
        """The store is away, then back from a copy; the operator and the
        targets write again what they had written."""
        config = self.store.kinds["config"]["main"]["spec"]
        self.store.set_mode("silent")
        await asyncio.sleep(down_s)
        self.store.restore(saved)
        self.store.set_mode("up")
        self.store.put("config", "main", config)
        for target in self.targets:
            if target.started:
                target.register(
                    "draining" if target.drain_acked_at else "ready")

    def record_run(self, target, first, attempt, body):
        self.run_counts[attempt] = self.run_counts.get(attempt, 0) + 1
        if attempt.startswith("once") and self.run_counts[attempt] > 1:
            self.violations.append("%s ran twice" % attempt)
        if target.noticed_at is not None:
            target.arrivals.append((time.time(), self.hosts.get(attempt)))
        elapsed_s = target.drain_acked_at is not None and time.time() - target.drain_acked_at
        if elapsed_s and elapsed_s > 2.5 and time.time() > self.store.disturbed_until and \
                not any(time.time() < vm.disturbed_until for vm in self.vms):
            self.violations.append("%s reached %s %.1f s after it began to drain"
                               % (attempt, target.id, elapsed_s))

    async def start(self):
        self.server = await asyncio.start_server(
            self.store.serve, self.address(250), 8541)
        for target in self.targets:
            await target.start()
        for vm in self.vms:
            await vm.store_proxy.start()
            await vm.start(first_start=True)

    async def call(self, host, path, kind="safe", attempt=None, timeout=4.0,
                   caller=None, headers=None):
        """Sends one attempt to one VM, from the address of a caller; returns
        the status, or 0 without one."""
        attempt = attempt or "%s-%d" % (kind, len(self.statuses))
        self.statuses[attempt] = 0
        self.hosts[attempt] = host
        method, body = ("GET", b"") if kind == "safe" else ("POST", b"work")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(
                    host, FRONT_PORT, local_addr=caller and (caller, 0)), 1.0)
        except (OSError, asyncio.TimeoutError):
            return 0
        try:
            writer.write(format_message("%s %s HTTP/1.1" % (method, path), {
                "Host": "svc.example", "Chervilshelf-Attempt-Id": attempt,
                "Chervilshelf-Request-Deadline": int(timeout * 1000),
                **(headers or {})}, body))
            first, headers, body = await asyncio.wait_for(
                read_message(reader), timeout + 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0
        finally:
            writer.close()
        status = int(first.split(" ")[1])
        self.statuses[attempt] = status
        if status == 200 and (
                body != answer_body(attempt) or
                headers.get("chervilshelf-response-seal") !=
                "seal-" + attempt):
            self.violations.append("%s got a response that is not its own" % attempt)
        return status

    async def get(self, host, port, path):
        """Sends a GET; returns status and body, or 0 and an empty body."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, port), 1.0)
            writer.write(format_message("GET %s HTTP/1.1" % path, {"Host": "x"}))
            first, _, body = await asyncio.wait_for(read_message(reader), 2.0)
            writer.close()
            return int(first.split(" ")[1]), body
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0, b""

    async def directory(self, vm):
        status, body = await self.get(
            vm.host, DIRECTORY_PORT, "/resolve?name=svc.example&region=r1")
        return json.loads(body)["addresses"] if status == 200 else []

    async def wait_until(self, check_guarantees, seconds, description):
        """Polls until check() is true. The bound is generous: it fails a run
        that never gets there and measures no time."""
        end = time.time() + seconds
        while not await check_guarantees():
            if time.time() > end:
                raise AssertionError("timed out: " + description)
            await asyncio.sleep(0.05)

    async def all_ready(self):
        for vm in self.vms:
            listed = min(sum(other.region == vm.region for other in self.vms),
                         DIRECTORY_MAX_ADDRESSES)
            status, _ = await self.get(vm.host, READINESS_PORT, "/readiness")
            if status != 200 or \
                    len(await self.directory(vm)) != listed:
                return False
        return True

    def check_guarantees(self):
        """Returns all violations; call it at the end. A request reported as
        not run must not have run."""
        for attempt, status in self.statuses.items():
            if status in (408, 421, 429, 503) and self.run_counts.get(attempt) and \
                    attempt.startswith("once"):
                self.violations.append("%s was reported as not run, but ran" % attempt)
        return self.violations

    async def stop(self):
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is None:
                if vm.paused:
                    vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                await vm.process.wait()
