"""Bare keys after the store comes back from an older copy, while the VM that
claimed them is frozen, dead or restarted, and after a second restore. Guards
against a second run where the first one cannot be asked about, and against
refusals of new keys while every VM answers.
"""
import signal

from keyed_client import KeyedClient
from rig import Rig, get_json, request, wait_until

UNSURE = ("unknown", "key_unsure")


def restore(rig, era):
    """The store comes back from a copy without claims and registrations."""
    for kind in ("claims", "entries"):
        for item in get_json(rig.platform, "/objects/" + kind)["items"]:
            request(rig.platform, "DELETE",
                    "/objects/%s/%s" % (kind, item["metadata"]["name"]))
    rig.set_platform_fault("era=%d" % era)


def resend_after_two_restores_does_not_run_again():
    assert client.post(home, "two-restores") == (200, "ran", None)
    for era in (2, 3):
        restore(rig, era)
        assert client.post(other, "two-restores-%d" % era) == (200, "ran", None)
        assert client.post(other, "two-restores")[1:] == UNSURE
        assert client.post(third, "two-restores-%d" % era)[1:] == UNSURE
        assert client.run_count("two-restores-%d" % era) == 1
    assert client.run_count("two-restores") == 1


def every_vm_registers_again():
    """Else a VM that starts now would not find the others."""
    wait_until(lambda: len(get_json(
        rig.platform, "/objects/entries")["items"]) == len(rig.entries),
        "every entry VM is registered again")


def frozen_vm_leaves_the_key_unsure():
    assert client.post(home, "frozen") == (200, "ran", None)
    restore(rig, 4)
    home.process.send_signal(signal.SIGSTOP)
    assert client.post(other, "frozen")[1:] == UNSURE
    home.process.send_signal(signal.SIGCONT)
    assert client.run_count("frozen") == 1
    rig.wait_until_alive(home)
    assert client.post(other, "thawed") == (200, "ran", None)


def key_of_a_dead_vm_is_unsure():
    assert client.post(third, "dead") == (200, "ran", None)
    third.process.kill()
    third.process.wait()
    restore(rig, 5)
    assert client.post(other, "dead")[1:] == UNSURE
    assert client.post(home, "dead")[1:] == UNSURE


def key_of_a_restarted_vm_is_unsure():
    restarted = rig.start_entry(third.name)
    rig.entries[2] = restarted
    rig.wait_for_membership()
    assert client.post(restarted, "dead")[1:] == UNSURE
    assert client.run_count("dead") == 1


with Rig(entries=3, targets=2) as rig:
    rig.set_platform_fault("era=1")
    rig.apply()
    rig.wait_for_membership()
    home, other, third = rig.entries
    client = KeyedClient(rig, home)
    for case in (resend_after_two_restores_does_not_run_again,
                 every_vm_registers_again, frozen_vm_leaves_the_key_unsure,
                 key_of_a_dead_vm_is_unsure, key_of_a_restarted_vm_is_unsure):
        case()
        print("ok", case.__name__)
