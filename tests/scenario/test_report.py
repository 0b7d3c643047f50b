"""`report` sums the accounts of all VMs and keeps them after a VM stops;
`explain` shows the attempts and the end of one call."""
import json
import signal

from rig import Rig, request


def report_rows(*options):
    code, out, err = rig.run_command("report", "--json", *options)
    assert code == 0, err
    return json.loads(out)


def served(rows, route):
    return sum(r["served"] + r["late"] for r in rows if r["route"] == route)


with Rig(entries=3, targets=4, entry_options=["--keep-ms", "200"]) as rig:
    rig.apply()
    rig.wait_for_membership()
    totals = rig.finish_load(rig.start_load(
        "--rate", "200", "--seconds", "1", "--post-share", "0.5",
        "--callers", "20", "--member", "barua"))
    assert totals["right"] == totals["sent"], totals
    rows = report_rows()
    assert served(rows, "browse") + served(rows, "letter") == totals["right"]
    assert report_rows("--member", "nobody") == []
    assert len(report_rows("--member", "barua")) == 2

    status, headers, _ = request(rig.entries[0].listen, "GET", "/profiles/1")
    code, out, err = rig.run_command(
        "explain", headers["chervilshelf-request-id"])
    explanation = json.loads(out)
    assert code == 0 and explanation["end"] == "served", (out, err)
    assert explanation["attempts"][0]["address"] in rig.targets
    assert rig.run_command("explain", "no-such-request")[0] == 1

    before = report_rows()
    rig.entries[0].process.send_signal(signal.SIGTERM)
    assert rig.entries[0].process.wait(timeout=20) == 0
    after = report_rows()
    assert served(after, "browse") == served(before, "browse")
    assert served(after, "letter") == served(before, "letter")

    page = rig.path("report.html")
    assert rig.run_command("report", "--html", page)[0] == 0
    with open(page) as text:
        assert "<svg" in text.read()
    code, out, _ = rig.run_command("report")
    assert code == 0 and "barua" in out, out
    code, out, _ = rig.run_command("status", "--json")
    assert code == 0 and len(json.loads(out)) == 2, out
