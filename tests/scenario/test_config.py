"""An accepted configuration comes into force on every entry VM and never
reverts. Guards against lost or reverted versions after rejected files, lost
responses, concurrent edits, an old version restored in the store, store
outages and newly started VMs."""
import json
import subprocess

from rig import PROGRAM, Rig, get_json, request, wait_until

OPERATORS, EDITS_PER_OPERATOR = 2, 20


def versions_in_force():
    return [entry.status()["config_version"] for entry in rig.entries]


def wait_until_in_force(version):
    wait_until(lambda: set(versions_in_force()) == {version},
               "version %d is in force on every entry VM" % version)


def vm_without_configuration_is_not_listed():
    for entry in rig.entries:
        response = get_json(entry.listen, "/.chervilshelf/entries")
        assert response["entries"] == [], response
    status, headers, body = request(rig.entries[0].listen, "GET", "/profiles")
    assert headers["chervilshelf-outcome"] == "not-run"
    assert json.loads(body)["reason"] == "no_config"


def invalid_file_is_rejected_entirely():
    before = versions_in_force()
    invalid = rig.config()
    invalid["routes"][1]["pool"] = "nowhere"
    code, _, err = rig.run_command("apply", rig.write_config(invalid))
    assert code == 1 and "routes[1].pool" in err, (code, err)
    code, _, err = rig.run_command("check", rig.write_config(invalid), platform=False)
    assert code == 1 and "routes[1].pool" in err, (code, err)
    assert rig.run_command("apply", "no-such-file")[0] == 1
    assert rig.run_command("apply")[0] == 2
    assert versions_in_force() == before


def outdated_expected_version_is_a_conflict():
    code, out, _ = rig.apply()
    version = int(out.split()[1])
    code, _, err = rig.run_command("apply", rig.write_config(rig.config(weight=3)),
                               "--expect-version", str(version - 1))
    assert code == 3 and "conflict: version %d" % version in err, (code, err)
    code, _, err = rig.run_command("apply", rig.write_config(rig.config(weight=3)),
                               "--expect-version", str(version), "--wait")
    assert code == 0, err


def apply_succeeds_when_its_response_is_lost():
    version = versions_in_force()[0]
    rig.set_platform_fault("lose_answers=1")
    code, out, err = rig.run_command("apply", rig.write_config(rig.config()), "--wait")
    assert (code, out) == (0, "version %d\n" % (version + 1)), (out, err)


def concurrent_edits_lose_no_accepted_version():
    """Each accepted edit gets its own version; the last one is in force."""
    start = versions_in_force()[0]
    accepted, refused = 0, 0
    for edit in range(EDITS_PER_OPERATOR):
        operators = []
        for operator in range(OPERATORS):
            path = rig.path("race-%d.json" % operator)
            with open(path, "w") as out:
                json.dump(rig.config(weight=1 + edit * OPERATORS + operator), out)
            operators.append(subprocess.Popen(
                [PROGRAM, "apply", path, "--platform",
                 "http://" + rig.platform], stdout=subprocess.PIPE,
                stderr=subprocess.PIPE, text=True))
        for operator in operators:
            operator.communicate()
            assert operator.returncode in (0, 3), operator.returncode
            accepted += operator.returncode == 0
            refused += operator.returncode == 3
    print("concurrent edits: %d accepted, %d refused" % (accepted, refused))
    wait_until_in_force(start + accepted)


def old_version_in_the_store_is_replaced():
    version = versions_in_force()[0]
    rig.set_platform_fault("restore=routing/current")
    wait_until(lambda: get_json(rig.platform, "/objects/routing/current")
               ["spec"]["version"] == version,
               "the store holds the accepted version again")
    assert set(versions_in_force()) == {version}


def new_vm_gets_configuration_from_peers_in_a_store_outage():
    version = versions_in_force()[0]
    rig.set_platform_fault("outage=1")
    seed = rig.entries[0].peer
    rig.entries.append(rig.start_entry("late", options=["--seed-peer", seed]))
    wait_until_in_force(version)
    status, headers, _ = request(rig.entries[-1].listen, "GET", "/profiles/1")
    assert status == 200 and headers["chervilshelf-outcome"] == "ran"


def calls_succeed_in_a_store_outage():
    totals = rig.finish_load(rig.start_load("--rate", "200", "--seconds", "1",
                                           "--post-share", "0.3"))
    assert totals["right"] == totals["sent"], totals
    code, _, err = rig.run_command("apply", rig.write_config(rig.config()))
    assert code in (1, 4), (code, err)
    rig.set_platform_fault("outage=0")


def slow_store_delays_no_call():
    rig.set_platform_fault("slow_ms=700")
    totals = rig.finish_load(rig.start_load("--rate", "200", "--seconds", "1",
                                           "--post-share", "0.3"))
    assert totals["right"] == totals["sent"], totals
    code, _, err = rig.run_command("apply", rig.write_config(rig.config(weight=9)),
                               "--wait")
    assert code == 0, err
    rig.set_platform_fault("slow_ms=0")


with Rig(entries=4, targets=4) as rig:
    rig.wait_for_membership()
    for case in (vm_without_configuration_is_not_listed,
                 invalid_file_is_rejected_entirely,
                 outdated_expected_version_is_a_conflict,
                 apply_succeeds_when_its_response_is_lost,
                 concurrent_edits_lose_no_accepted_version,
                 old_version_in_the_store_is_replaced,
                 new_vm_gets_configuration_from_peers_in_a_store_outage,
                 calls_succeed_in_a_store_outage,
                 slow_store_delays_no_call):
        case()
        print("ok", case.__name__)
