"""Configuration: accepted means in force everywhere, and it never reverts:
refusals, lost answers, races, an old copy in the store, outages, new VMs."""
import json
import subprocess

from rig import PROGRAM, Rig, get_json, request, wait_until

RACERS, EDITS_EACH = 2, 20


def versions():
    return [entry.status()["config_version"] for entry in rig.entries]


def everywhere(version):
    wait_until(lambda: set(versions()) == {version},
               "version %d everywhere" % version)


def a_vm_without_configuration_is_not_listed():
    for entry in rig.entries:
        answer = get_json(entry.listen, "/.chervilshelf/entries")
        assert answer["entries"] == [], answer
    status, headers, body = request(rig.entries[0].listen, "GET", "/profiles")
    assert headers["chervilshelf-outcome"] == "not-run"
    assert json.loads(body)["reason"] == "no_config"


def a_faulty_file_is_refused_whole():
    before = versions()
    broken = rig.config()
    broken["routes"][1]["pool"] = "nowhere"
    code, _, err = rig.command("apply", rig.file(broken))
    assert code == 1 and "routes[1].pool" in err, (code, err)
    code, _, err = rig.command("check", rig.file(broken), platform=False)
    assert code == 1 and "routes[1].pool" in err, (code, err)
    assert rig.command("apply", "no-such-file")[0] == 1
    assert rig.command("apply")[0] == 2
    assert versions() == before


def a_conflict_shows_what_changed():
    code, out, _ = rig.apply()
    version = int(out.split()[1])
    code, _, err = rig.command("apply", rig.file(rig.config(weight=3)),
                               "--expect-version", str(version - 1))
    assert code == 3 and "conflict: version %d" % version in err, (code, err)
    code, _, err = rig.command("apply", rig.file(rig.config(weight=3)),
                               "--expect-version", str(version), "--wait")
    assert code == 0, err


def a_lost_answer_is_found_out():
    version = versions()[0]
    rig.platform_fault("lose_answers=1")
    code, out, err = rig.command("apply", rig.file(rig.config()), "--wait")
    assert (code, out) == (0, "version %d\n" % (version + 1)), (out, err)


def racing_operators_lose_no_accepted_edit():
    """Each accepted edit has its own version; the last is in force."""
    start = versions()[0]
    accepted, refused = 0, 0
    for edit in range(EDITS_EACH):
        racers = []
        for racer in range(RACERS):
            path = rig.path("race-%d.json" % racer)
            with open(path, "w") as out:
                json.dump(rig.config(weight=1 + edit * RACERS + racer), out)
            racers.append(subprocess.Popen(
                [PROGRAM, "apply", path, "--platform",
                 "http://" + rig.platform], stdout=subprocess.PIPE,
                stderr=subprocess.PIPE, text=True))
        for racer in racers:
            racer.communicate()
            assert racer.returncode in (0, 3), racer.returncode
            accepted += racer.returncode == 0
            refused += racer.returncode == 3
    print("race: %d accepted, %d refused" % (accepted, refused))
    everywhere(start + accepted)


def an_old_copy_in_the_store_does_not_come_back():
    version = versions()[0]
    rig.platform_fault("restore=routing/current")
    wait_until(lambda: get_json(rig.platform, "/objects/routing/current")
               ["spec"]["version"] == version,
               "the store has the accepted version again")
    assert set(versions()) == {version}


def a_new_vm_gets_it_from_its_peers_in_an_outage():
    version = versions()[0]
    rig.platform_fault("outage=1")
    seed = rig.entries[0].peer
    rig.entries.append(rig.start_entry("late", options=["--seed-peer", seed]))
    everywhere(version)
    status, headers, _ = request(rig.entries[-1].listen, "GET", "/profiles/1")
    assert status == 200 and headers["chervilshelf-outcome"] == "ran"


def calls_go_on_in_an_outage():
    totals = rig.finish_load(rig.call_load("--rate", "200", "--seconds", "1",
                                           "--post-share", "0.3"))
    assert totals["right"] == totals["sent"], totals
    code, _, err = rig.command("apply", rig.file(rig.config()))
    assert code in (1, 4), (code, err)
    rig.platform_fault("outage=0")


def a_slow_store_holds_no_call_up():
    rig.platform_fault("slow_ms=700")
    totals = rig.finish_load(rig.call_load("--rate", "200", "--seconds", "1",
                                           "--post-share", "0.3"))
    assert totals["right"] == totals["sent"], totals
    code, _, err = rig.command("apply", rig.file(rig.config(weight=9)),
                               "--wait")
    assert code == 0, err
    rig.platform_fault("slow_ms=0")


with Rig(entries=4, targets=4) as rig:
    rig.wait_members()
    for case in (a_vm_without_configuration_is_not_listed,
                 a_faulty_file_is_refused_whole,
                 a_conflict_shows_what_changed,
                 a_lost_answer_is_found_out,
                 racing_operators_lose_no_accepted_edit,
                 an_old_copy_in_the_store_does_not_come_back,
                 a_new_vm_gets_it_from_its_peers_in_an_outage,
                 calls_go_on_in_an_outage,
                 a_slow_store_holds_no_call_up):
        case()
        print("ok", case.__name__)
