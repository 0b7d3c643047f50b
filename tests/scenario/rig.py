"""Starts the stand-ins and entry VMs as separate processes on loopback.

Scenarios use `with Rig(...) as rig` and wait for conditions, never for sleeps
alone. Leaving the block stops every process that it started, by process id.
Where RIG_KEEP names a folder, entry VMs write traces, and a scenario that fails
leaves its files there.
"""
import http.client
import json
import os
import shutil
import signal
import subprocess
import tempfile
import time

BUILD = os.environ.get("BUILD_DIR", "build")
PROGRAM = os.path.join(BUILD, "chervilshelf")
STANDIN = os.path.join(BUILD, "tests", "standin")
KEEP = os.environ.get("RIG_KEEP")


def request(address, method, path, body=None, headers=None, timeout=20):
    """Sends one HTTP request; returns (status, headers, body)."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        response_headers = {k.lower(): v for k, v in response.getheaders()}
        return response.status, response_headers, response.read()
    finally:
        connection.close()


def get_json(address, path):
    return json.loads(request(address, "GET", path)[2])


def wait_until(condition, description, seconds=15, details=None):
    """Polls until the condition is true. On a timeout, fails with the
    description and the result of details()."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, ValueError):
            pass
        time.sleep(0.02)
    raise AssertionError("timed out: " + description +
                         (": %s" % details() if details else ""))


class EntryVm:
    def __init__(self, process, line, name, log):
        fields = dict(f.split("=") for f in line.split() if "=" in f)
        self.process, self.name, self.log = process, name, log
        self.listen, self.admin = fields["listen"], fields["admin"]
        self.peer = fields["peer"]

    def status(self):
        return get_json(self.admin, "/status")


class Rig:
    def __init__(self, entries=2, targets=4, slots=4, target_options=(),
                 entry_options=(), regions=("nairobi",)):
        self.processes = []
        self.folder = tempfile.TemporaryDirectory()
        self.entry_options = list(entry_options)
        self.regions = regions
        self.slots = slots
        self.platform = self.start_process([STANDIN, "platform"])[1].split()[1]
        self.targets, self.control = [], None
        self.start_targets(targets, target_options)
        self.entries = [self.start_entry("e%d" % i) for i in range(entries)]

    def __enter__(self):
        return self

    def __exit__(self, error_type, *unused):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if KEEP and error_type:
            shutil.copytree(self.folder.name, os.path.join(
                KEEP, os.path.basename(self.folder.name)))
        self.folder.cleanup()

    def start_process(self, command, log=None):
        stderr = open(log, "w") if log else None
        process = subprocess.Popen(command, stdout=subprocess.PIPE,
                                   stderr=stderr, text=True)
        self.processes.append(process)
        return process, process.stdout.readline().strip()

    def start_targets(self, count, options):
        process, line = self.start_process([STANDIN, "targets", "--count", str(count),
                                    "--slots", str(self.slots), *options])
        while line.startswith("target "):
            self.targets.append(line.split()[1])
            line = process.stdout.readline().strip()
        self.control = line.split()[1]
        self.target_process = process

    def start_entry(self, name, region=None, options=()):
        index = len(self.processes)
        region = region or self.regions[index % len(self.regions)]
        log = os.path.join(self.folder.name, "%s-%d.log" % (name, index))
        trace = ["--trace", log[:-len("log")] + "trace"] if KEEP else []
        process, line = self.start_process(
            [PROGRAM, "entry", "--name", name, "--data-centre", region + "1",
             "--region", region, "--listen", "127.0.0.1:0",
             "--peer-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0",
             "--platform", "http://" + self.platform, *trace,
             *self.entry_options, *options], log)
        return EntryVm(process, line, name, log)

    def config(self, **changes):
        """Returns a configuration of two routes, one idempotent and one not, whose
        two pools share out all targets."""
        half = max(1, len(self.targets) // 2)
        pools = [("browsing", self.targets[:half]),
                 ("letters", self.targets[half:] or self.targets)]
        route = {"weight": 1, "deadline_ms": 5000,
                 "objective": {"latency_ms": 500, "share": 0.99}}
        route.update(changes)
        return {
            "routes": [
                {"name": "browse", "match": {"path_prefix": "/profiles"},
                 "kind": "idempotent", "pool": "browsing", **route},
                {"name": "letter", "match": {"path_prefix": "/letters"},
                 "kind": "non_idempotent", "pool": "letters", **route}],
            "pools": [
                {"name": name, "targets": [
                    {"address": a, "data_centre": "nairobi1",
                     "slots": self.slots} for a in addresses]}
                for name, addresses in pools]}

    def run_command(self, *arguments, platform=True):
        """Runs an operator command; returns (exit code, stdout, stderr)."""
        platform_options = ["--platform", "http://" + self.platform] if platform else []
        result = subprocess.run([PROGRAM, *arguments, *platform_options], text=True,
                              capture_output=True, timeout=60)
        return result.returncode, result.stdout, result.stderr

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def duplicated_posts(self, log):
        """Returns the tags of non-idempotent calls that ran more than once."""
        runs = self.runs()
        with open(log) as lines:
            calls = [line.split() for line in lines]
        return [tag for tag, kind, *_ in calls
                if kind == "post" and runs.get(tag, 0) > 1]

    @staticmethod
    def unsuccessful_calls(log):
        """Returns the log lines of calls without the right response."""
        with open(log) as lines:
            return [line.strip() for line in lines
                    if line.split()[2] != "right"]

    def write_config(self, config):
        path = self.path("config.json")
        with open(path, "w") as out:
            out.write(config if isinstance(config, str)
                      else json.dumps(config))
        return path

    def apply(self, config=None, *options):
        """Applies a configuration and waits until every entry VM uses it."""
        wait_until(lambda: len(get_json(
            self.platform, "/objects/entries")["items"]) >=
            len(self.entries), "every entry VM is registered in the store")
        result = self.run_command("apply", self.write_config(config or self.config()),
                              "--wait", *options)
        assert result[0] == 0, result
        return result

    def wait_for_membership(self):
        """Waits until every entry VM lists all others as alive."""
        def all_alive():
            return all(
                sum(m["state"] == "alive"
                    for m in get_json(e.admin, "/members")) ==
                len(self.entries) for e in self.entries)
        wait_until(all_alive, "every entry VM lists all others as alive")

    def membership_views(self):
        """Returns the membership state as each running entry VM sees it."""
        return {e.name: {m["name"]: m["state"]
                         for m in get_json(e.admin, "/members")}
                for e in self.entries if e.process.poll() is None}

    def wait_until_alive(self, entry):
        """Waits until every running entry VM lists this one as alive."""
        def sees_alive(observer):
            return any(m["name"] == entry.name and m["state"] == "alive"
                       for m in get_json(observer.admin, "/members"))
        wait_until(lambda: all(sees_alive(e) for e in self.entries
                               if e.process.poll() is None),
                   entry.name + " is alive on every running entry VM")

    def start_load(self, *options):
        """Starts the caller stand-in; finish_load() returns its summary."""
        return subprocess.Popen(
            [STANDIN, "caller", "--directory", self.entries[0].listen,
             *options], stdout=subprocess.PIPE, text=True)

    @staticmethod
    def finish_load(process):
        return json.loads(process.communicate(timeout=60)[0])

    def counter_values(self, name):
        """Returns the value of a counter on each running entry VM."""
        values = []
        for entry in self.entries:
            if entry.process.poll() is not None:
                continue
            text = request(entry.admin, "GET", "/metrics")[2].decode()
            values += [int(line.split()[1]) for line in text.splitlines()
                       if line.startswith("chervilshelf_%s " % name)]
        return values

    @staticmethod
    def peak_mb(entry):
        """Returns the peak resident memory of an entry VM, in MB."""
        with open("/proc/%d/status" % entry.process.pid) as status:
            return next(int(line.split()[1]) for line in status
                        if line.startswith("VmHWM")) / 1024

    def set_target_fault(self, query):
        """Switches a fault of the target stand-ins on or off."""
        request(self.control, "GET", "/control?" + query)

    def set_platform_fault(self, query):
        return get_json(self.platform, "/control?" + query)

    def runs(self):
        return get_json(self.control, "/runs")
