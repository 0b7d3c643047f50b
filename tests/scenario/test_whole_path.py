"""End-to-end smoke test: apply, directory, calls through several entry VMs."""
import json

from rig import Rig, get_json, request, wait_until

with Rig(entries=2, targets=4) as rig:
    code, out, err = rig.apply()
    assert out == "version 1\n", (code, out, err)

    def listed_addresses(entry):
        response = get_json(entry.listen, "/.chervilshelf/entries")
        assert response["keep_ms"] > 0
        return {row["address"] for row in response["entries"]}

    addresses = {entry.listen for entry in rig.entries}
    wait_until(lambda: all(listed_addresses(e) == addresses for e in rig.entries),
               "both entry VMs list both in their directories")

    for address in addresses:
        status, headers, body = request(address, "GET", "/profiles/7",
                                        headers={"X-Tag": "one"})
        assert status == 200, (status, headers, body)
        assert headers["chervilshelf-outcome"] == "ran"
        assert headers["chervilshelf-request-id"]
        assert "server" not in headers
        assert json.loads(body)["tag"] == "one"

    status, headers, body = request(address, "GET", "/nowhere")
    assert status == 404 and headers["chervilshelf-outcome"] == "not-run"
    assert json.loads(body)["reason"] == "no_route"

    def first_addresses(path):
        """Returns the addresses listed first for a path in 20 responses."""
        return {get_json(address, "/.chervilshelf/entries?path=" + path)
                ["entries"][0]["address"] for _ in range(20)}

    # With two VMs both rank among the first, so each is listed first at times.
    assert first_addresses("/profiles/1") == addresses
    assert first_addresses("/nowhere") == addresses

    log = rig.path("calls.log")
    load = rig.start_load("--rate", "200", "--seconds", "2", "--post-share",
                         "0.3", "--callers", "8", "--log", log)
    totals = rig.finish_load(load)
    print(totals)
    assert totals["sent"] > 100
    assert totals["right"] == totals["sent"], totals
    assert rig.duplicated_posts(log) == []
