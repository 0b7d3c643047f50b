"""Killed and frozen entry VMs leave the directory within the time limit, a
resumed one returns to it, and a rolling replacement of all entry VMs under
load breaks no call."""
import signal
import time

from rig import Rig, get_json, wait_until


def listed_addresses(entry):
    response = get_json(entry.listen, "/.chervilshelf/entries")
    return {row["address"] for row in response["entries"]}


def membership_state(entry, other):
    for node in get_json(entry.admin, "/members"):
        if node["name"] == other.name:
            return node["state"]
    return "unknown"


def replace_all_vms(rig):
    """Replaces every entry VM, one after another."""
    for index in range(len(rig.entries)):
        old = rig.entries[index]
        rig.entries.append(rig.start_entry("new%d" % index))
        wait_until(lambda: rig.entries[-1].listen in listed_addresses(rig.entries[-2]),
                   "the new VM is in the directory")
        old.process.send_signal(signal.SIGTERM)
        assert old.process.wait(timeout=30) == 0
    rig.entries = rig.entries[len(rig.entries) // 2:]


with Rig(entries=5, targets=6, entry_options=["--keep-ms", "500"]) as rig:
    rig.apply()
    rig.wait_for_membership()

    killed, frozen, watcher = rig.entries[3], rig.entries[4], rig.entries[0]
    killed.process.kill()
    began = time.monotonic()
    wait_until(lambda: killed.listen not in listed_addresses(watcher), "the killed VM is out of the directory")
    print("killed VM out after %.2f s" % (time.monotonic() - began))

    frozen.process.send_signal(signal.SIGSTOP)
    began = time.monotonic()
    wait_until(lambda: frozen.listen not in listed_addresses(watcher), "the frozen VM is out of the directory")
    print("frozen VM out after %.2f s" % (time.monotonic() - began))
    wait_until(lambda: membership_state(watcher, frozen) == "dead", "the frozen VM is listed as dead")
    frozen.process.send_signal(signal.SIGCONT)
    wait_until(lambda: frozen.listen in listed_addresses(watcher), "the resumed VM is back in the directory",
               details=rig.membership_views)
    rig.entries.remove(killed)
    rig.wait_for_membership()

    load = rig.start_load("--rate", "300", "--seconds", "14", "--post-share",
                         "0.3", "--callers", "40", "--log",
                         rig.path("calls.log"))
    replace_all_vms(rig)
    totals = rig.finish_load(load)
    print("rolling replacement:", totals)
    assert totals["right"] == totals["sent"], \
        rig.unsuccessful_calls(rig.path("calls.log"))
    assert rig.duplicated_posts(rig.path("calls.log")) == []
