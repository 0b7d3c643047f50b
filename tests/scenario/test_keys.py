"""At most once, on separate processes: resends to the same and to another
entry VM, with the home alive, killed, frozen before the send, frozen after
it, and with the platform down. No tag may run twice; not-run has to be true.
"""
import signal

from letters import Letters
from rig import Rig, wait_until


def resend_to_the_same_vm():
    key = letters.new_key(home)
    assert letters.post(home, key) == (200, "ran", None)
    assert letters.post(home, key) == (200, "ran", None)  # the kept answer
    assert letters.runs(key) == 1


def resend_to_another_vm():
    key = letters.new_key(home)
    assert letters.post(home, key) == (200, "ran", None)
    assert letters.post(other, key) == (200, "ran", None)
    assert letters.runs(key) == 1


def first_request_at_another_vm():
    key = letters.new_key(home)
    assert letters.post(other, key) == (200, "ran", None)
    assert letters.post(home, key) == (200, "ran", None)
    assert letters.runs(key) == 1


def two_at_once():
    key = letters.new_key(home)
    thread, answers = letters.in_background(home, key, ms=400)
    wait_until(lambda: letters.runs(key) == 1, "the first runs")
    assert letters.post(other, key)[1:] == ("unknown", "key_in_progress")
    thread.join()
    assert answers == [(200, "ran", None)]
    assert letters.runs(key) == 1


def bare_key():
    key = "bare-%s" % home.name
    assert letters.post(home, key) == (200, "ran", None)
    assert letters.post(other, key)[1:] == ("unknown", "key_unsure")
    assert letters.runs(key) == 1


def bare_key_in_an_outage():
    rig.platform_fault("outage=1")
    key = "bare-outage"
    assert letters.post(home, key)[1:] == ("not-run", "key_store")
    assert letters.runs(key) == 0
    rig.platform_fault("outage=0")


def home_key_in_an_outage():
    rig.platform_fault("outage=1")
    key = letters.new_key(home)
    assert letters.post(home, key) == (200, "ran", None)
    assert letters.post(other, key) == (200, "ran", None)
    assert letters.runs(key) == 1
    rig.platform_fault("outage=0")


def bare_key_whose_claim_loses_its_answer():
    rig.platform_fault("lose_answers=1")
    key = "bare-lost"
    assert letters.post(home, key) == (200, "ran", None)
    assert letters.runs(key) == 1


def home_frozen_before_the_send():
    """The witness kills the key; the thawed home must not run it."""
    key = letters.new_key(home)
    home.process.send_signal(signal.SIGSTOP)
    late, answers = letters.in_background(home, key, timeout=60, deadline_ms=5000)
    status, outcome, reason = letters.post(other, key)
    assert (outcome, reason) == ("not-run", "key_killed"), (outcome, reason)
    home.process.send_signal(signal.SIGCONT)
    late.join()
    # The request that was passed on may be read first, and is then under way.
    assert answers[0][1:] in (("not-run", "key_killed"),
                              ("unknown", "key_in_progress")), answers
    assert letters.post(home, key)[1:] == ("not-run", "key_killed")
    assert letters.runs(key) == 0


def home_frozen_after_the_send():
    key = letters.new_key(home)
    first, answers = letters.in_background(home, key, ms=300, timeout=60)
    wait_until(lambda: letters.runs(key) == 1, "it runs")
    home.process.send_signal(signal.SIGSTOP)
    assert letters.post(other, key, deadline_ms=1500)[1] == "unknown"
    home.process.send_signal(signal.SIGCONT)
    first.join()
    assert letters.runs(key) == 1


def home_killed_after_the_send():
    key = letters.new_key(home)
    first, answers = letters.in_background(home, key, ms=500)
    wait_until(lambda: letters.runs(key) == 1, "it runs")
    home.process.kill()
    first.join()
    assert letters.post(other, key)[1:] == ("unknown", "key_home_gone")
    assert letters.runs(key) == 1


def home_killed_before_the_send():
    key = letters.new_key(other)
    other.process.kill()
    assert letters.post(third, key)[1:] == ("not-run", "key_killed")
    assert letters.post(third, key)[1:] == ("not-run", "key_killed")
    assert letters.runs(key) == 0


with Rig(entries=4, targets=4) as rig:
    rig.apply()
    rig.wait_members()
    home, other, third, witness = rig.entries
    letters = Letters(rig, witness)
    for case in (resend_to_the_same_vm, resend_to_another_vm,
                 first_request_at_another_vm, two_at_once, bare_key,
                 bare_key_in_an_outage, home_key_in_an_outage,
                 bare_key_whose_claim_loses_its_answer,
                 home_frozen_before_the_send, home_frozen_after_the_send,
                 home_killed_after_the_send, home_killed_before_the_send):
        if home.process.poll() is None:
            rig.wait_alive(home)
        case()
        print("ok", case.__name__)
