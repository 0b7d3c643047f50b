"""A claim of a bare key is lost when the store comes back from an older copy: a
resend at another VM must not run again."""
from keyed_client import KeyedClient
from rig import Rig, get_json, request


def lose_claims(rig):
    """As a copy that is older than the claims; others write theirs again."""
    for claim in get_json(rig.platform, "/objects/claims")["items"]:
        request(rig.platform, "DELETE",
                "/objects/claims/" + claim["metadata"]["name"])
    rig.set_platform_fault("era=2")


with Rig(entries=2, targets=2) as rig:
    rig.set_platform_fault("era=1")
    rig.apply()
    rig.wait_for_membership()
    home, other = rig.entries
    client = KeyedClient(rig, home)
    assert client.post(home, "bare-restored") == (200, "ran", None)
    lose_claims(rig)
    print(client.post(other, "bare-restored"))
    assert client.run_count("bare-restored") == 1, client.run_count(
        "bare-restored")
