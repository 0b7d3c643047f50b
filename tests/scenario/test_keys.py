"""At-most-once execution of keyed requests over separate processes. Requests
are resent to the same and to another entry VM while the home is alive, killed,
frozen before it sends the request to a target or frozen after that, and while
the platform is down. Guards against a tag that runs twice and against a
not-run outcome of a request that ran.
"""
import signal

from keyed_client import KeyedClient
from rig import Rig, wait_until


def resend_to_same_vm_replays_the_response():
    key = client.new_key(home)
    assert client.post(home, key) == (200, "ran", None)
    assert client.post(home, key) == (200, "ran", None)  # replayed response
    assert client.run_count(key) == 1


def resend_to_another_vm_does_not_run_again():
    key = client.new_key(home)
    assert client.post(home, key) == (200, "ran", None)
    assert client.post(other, key) == (200, "ran", None)
    assert client.run_count(key) == 1


def request_through_another_vm_runs_once():
    key = client.new_key(home)
    assert client.post(other, key) == (200, "ran", None)
    assert client.post(home, key) == (200, "ran", None)
    assert client.run_count(key) == 1


def concurrent_resend_is_key_in_progress():
    key = client.new_key(home)
    thread, results = client.post_in_background(home, key, ms=400)
    wait_until(lambda: client.run_count(key) == 1, "the first request runs at a target")
    assert client.post(other, key)[1:] == ("unknown", "key_in_progress")
    thread.join()
    assert results == [(200, "ran", None)]
    assert client.run_count(key) == 1


def bare_key_resent_to_another_vm_is_unknown():
    key = "bare-%s" % home.name
    assert client.post(home, key) == (200, "ran", None)
    assert client.post(other, key)[1:] == ("unknown", "key_unsure")
    assert client.run_count(key) == 1


def bare_key_in_a_store_outage_is_not_run():
    rig.set_platform_fault("outage=1")
    key = "bare-outage"
    assert client.post(home, key)[1:] == ("not-run", "key_store")
    assert client.run_count(key) == 0
    rig.set_platform_fault("outage=0")


def home_key_in_a_store_outage_runs_once():
    rig.set_platform_fault("outage=1")
    key = client.new_key(home)
    assert client.post(home, key) == (200, "ran", None)
    assert client.post(other, key) == (200, "ran", None)
    assert client.run_count(key) == 1
    rig.set_platform_fault("outage=0")


def bare_key_runs_once_when_its_claim_response_is_lost():
    rig.set_platform_fault("lose_answers=1")
    key = "bare-lost"
    assert client.post(home, key) == (200, "ran", None)
    assert client.run_count(key) == 1


def key_is_killed_when_home_freezes_before_sending():
    """The witness kills the key; the home must not run it when it resumes."""
    key = client.new_key(home)
    home.process.send_signal(signal.SIGSTOP)
    first, results = client.post_in_background(home, key, timeout=60, deadline_ms=5000)
    status, outcome, reason = client.post(other, key)
    assert (outcome, reason) == ("not-run", "key_killed"), (outcome, reason)
    home.process.send_signal(signal.SIGCONT)
    first.join()
    # The resumed home may read the forwarded resend first; the first request
    # then finds its key in progress.
    assert results[0][1:] in (("not-run", "key_killed"),
                              ("unknown", "key_in_progress")), results
    assert client.post(home, key)[1:] == ("not-run", "key_killed")
    assert client.run_count(key) == 0


def outcome_is_unknown_when_home_freezes_after_sending():
    key = client.new_key(home)
    first, results = client.post_in_background(home, key, ms=300, timeout=60)
    wait_until(lambda: client.run_count(key) == 1, "it runs")
    home.process.send_signal(signal.SIGSTOP)
    assert client.post(other, key, deadline_ms=1500)[1] == "unknown"
    home.process.send_signal(signal.SIGCONT)
    first.join()
    assert client.run_count(key) == 1


def outcome_is_unknown_when_home_dies_after_sending():
    key = client.new_key(home)
    first, results = client.post_in_background(home, key, ms=500)
    wait_until(lambda: client.run_count(key) == 1, "it runs")
    home.process.kill()
    first.join()
    assert client.post(other, key)[1:] == ("unknown", "key_home_gone")
    assert client.run_count(key) == 1


def key_is_killed_when_home_dies_before_sending():
    key = client.new_key(other)
    other.process.kill()
    assert client.post(third, key)[1:] == ("not-run", "key_killed")
    assert client.post(third, key)[1:] == ("not-run", "key_killed")
    assert client.run_count(key) == 0


with Rig(entries=4, targets=4) as rig:
    rig.apply()
    rig.wait_for_membership()
    home, other, third, witness = rig.entries
    client = KeyedClient(rig, witness)
    for case in (resend_to_same_vm_replays_the_response, resend_to_another_vm_does_not_run_again,
                 request_through_another_vm_runs_once, concurrent_resend_is_key_in_progress, bare_key_resent_to_another_vm_is_unknown,
                 bare_key_in_a_store_outage_is_not_run, home_key_in_a_store_outage_runs_once,
                 bare_key_runs_once_when_its_claim_response_is_lost,
                 key_is_killed_when_home_freezes_before_sending, outcome_is_unknown_when_home_freezes_after_sending,
                 outcome_is_unknown_when_home_dies_after_sending, key_is_killed_when_home_dies_before_sending):
        if home.process.poll() is None:
            rig.wait_until_alive(home)
        case()
        print("ok", case.__name__)
