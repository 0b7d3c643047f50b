"""Targets that drain, shed load, crash or stop responding on open connections."""
import json

from rig import Rig, request, wait_until


def served_counts():
    return json.loads(request(rig.control, "GET", "/served")[2])


def run_load(*options):
    return rig.finish_load(rig.start_load(
        "--rate", "300", "--seconds", "1", "--callers", "40", *options))


def assert_gets_no_new_calls(address):
    before = served_counts()[address]
    totals = run_load()
    assert totals["right"] == totals["sent"], totals
    assert served_counts()[address] == before


def target_leaving_the_vm_list_gets_no_new_calls():
    address = rig.targets[0]
    rig.set_platform_fault("vm=%s&state=leaving" % address)
    wait_until(lambda: all(is_draining(entry, address) for entry in rig.entries),
               "every entry VM lists the target as draining")
    assert_gets_no_new_calls(address)
    rig.set_platform_fault("vm=%s&state=live" % address)
    wait_until(lambda: not any(is_draining(e, address) for e in rig.entries),
               "no entry VM lists the target as draining")


def is_draining(entry, address):
    targets = json.loads(request(entry.admin, "GET", "/targets")[2])
    return any(t["address"] == address and t["drains"] for t in targets)


def drained_target_gets_no_new_calls():
    address = rig.targets[1]
    assert rig.run_command("drain", "10.1.1.1:1")[0] == 1
    code, _, err = rig.run_command("drain", address, "--wait")
    assert code == 0, err
    assert_gets_no_new_calls(address)
    assert rig.run_command("apply", rig.write_config(rig.config()), "--wait")[0] == 0


def shedding_target_costs_no_idempotent_call():
    rig.set_target_fault("target=0&shed=1")
    totals = run_load()
    rig.set_target_fault("target=0&shed=0")
    assert totals["right"] == totals["sent"], totals
    assert sum(rig.counter_values("ejections_total")) > 0


def request_that_crashes_targets_is_quarantined_on_every_vm():
    first = request(rig.entries[0].listen, "GET", "/profiles/kill/7",
                    headers={"X-Tag": "killer"})
    assert first[0] == 502, first
    wait_until(lambda: all(count == 1 for count in
                           rig.counter_values("quarantines_total")),
               "every entry VM quarantines the request")
    for entry in rig.entries:
        status, headers, body = request(entry.listen, "GET",
                                        "/profiles/kill/7")
        assert headers["chervilshelf-outcome"] == "not-run", headers
        assert json.loads(body)["reason"] == "quarantined"
    assert rig.runs()["killer"] == 2, (rig.runs()["killer"], first)
    wait_until(lambda: run_load()["not_run"] == 0, "all other calls are served again")


def silent_connections_do_not_condemn_their_targets():
    run_load()  # Leaves idle connections to the targets.
    rig.set_target_fault("mute=1")
    log = rig.path("silent.log")
    totals = run_load("--deadline-ms", "4000", "--log", log)
    print("silent connections:", totals)
    assert totals["right"] == totals["sent"], rig.unsuccessful_calls(log)
    assert sum(rig.counter_values("silences_total")) > 0


with Rig(entries=3, targets=8) as rig:
    rig.apply()
    rig.wait_for_membership()
    for case in (target_leaving_the_vm_list_gets_no_new_calls, drained_target_gets_no_new_calls,
                 shedding_target_costs_no_idempotent_call,
                 silent_connections_do_not_condemn_their_targets,
                 request_that_crashes_targets_is_quarantined_on_every_vm):
        case()
        print("ok", case.__name__)
