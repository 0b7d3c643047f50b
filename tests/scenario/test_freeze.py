"""Freezes an entry VM at a random moment of a call while the caller resends
the call through another VM: 200 keys, seeded. Guards against a key that runs
twice, and against a key that runs although it was reported as killed."""
import random
import signal
import time

from keyed_client import KeyedClient
from rig import Rig

ROUNDS, KEYS_PER_ROUND, SEED = 20, 10, 11


def run_round(rng):
    """Freezes the home once; returns the number of keys in violation."""
    keys = [client.new_key(home) for _ in range(KEYS_PER_ROUND)]
    first_posts = []
    freeze_after = rng.randrange(KEYS_PER_ROUND)
    for index, key in enumerate(keys):
        first_posts.append(client.post_in_background(
            home, key, ms=rng.randrange(40), timeout=60, deadline_ms=3000))
        time.sleep(rng.random() * 0.003)
        if index == freeze_after:
            home.process.send_signal(signal.SIGSTOP)
    resends = [client.post_in_background(rng.choice([other, third]), key,
                                     timeout=60, deadline_ms=1500)
               for key in keys]
    time.sleep(rng.random() * 0.8)
    home.process.send_signal(signal.SIGCONT)
    for thread, _ in first_posts + resends:
        thread.join()
    return sum(is_violation(key, first[1][0], resend[1][0])
               for key, first, resend in zip(keys, first_posts, resends))


def is_violation(key, first, resend):
    runs = client.run_count(key)
    killed = "key_killed" in (first[2], resend[2])
    if runs > 1 or (killed and runs > 0):
        print("violation:", key, runs, first, resend)
        return True
    outcomes[(first[1], resend[1], runs)] = outcomes.get(
        (first[1], resend[1], runs), 0) + 1
    return False


outcomes = {}
with Rig(entries=4, targets=4) as rig:
    rig.apply()
    rig.wait_for_membership()
    home, other, third, witness = rig.entries
    client = KeyedClient(rig, witness)
    rng = random.Random(SEED)
    violations = 0
    for _ in range(ROUNDS):
        rig.wait_until_alive(home)
        violations += run_round(rng)
    for (first, resend, runs), count in sorted(outcomes.items()):
        print("first %s, resend %s, runs %d: %d keys" % (
            first, resend, runs, count))
    assert violations == 0
