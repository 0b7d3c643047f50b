"""200 seeded tries: an entry VM is frozen at any moment of a call while the
call is sent again elsewhere. No key may run twice, and a key that was said to
be killed may never run."""
import random
import signal
import time

from letters import Letters
from rig import Rig

ROUNDS, KEYS_A_ROUND, SEED = 20, 10, 11


def one_round(rng):
    """Returns the number of faults among the keys of one freeze."""
    keys = [letters.new_key(home) for _ in range(KEYS_A_ROUND)]
    firsts = []
    freeze_after = rng.randrange(KEYS_A_ROUND)
    for index, key in enumerate(keys):
        firsts.append(letters.in_background(
            home, key, ms=rng.randrange(40), timeout=60, deadline_ms=3000))
        time.sleep(rng.random() * 0.003)
        if index == freeze_after:
            home.process.send_signal(signal.SIGSTOP)
    seconds = [letters.in_background(rng.choice([other, third]), key,
                                     timeout=60, deadline_ms=1500)
               for key in keys]
    time.sleep(rng.random() * 0.8)
    home.process.send_signal(signal.SIGCONT)
    for thread, _ in firsts + seconds:
        thread.join()
    return sum(is_fault(key, first[1][0], second[1][0])
               for key, first, second in zip(keys, firsts, seconds))


def is_fault(key, first, second):
    runs = letters.runs(key)
    killed = "key_killed" in (first[2], second[2])
    if runs > 1 or (killed and runs > 0):
        print("fault:", key, runs, first, second)
        return True
    outcomes[(first[1], second[1], runs)] = outcomes.get(
        (first[1], second[1], runs), 0) + 1
    return False


outcomes = {}
with Rig(entries=4, targets=4) as rig:
    rig.apply()
    rig.wait_members()
    home, other, third, witness = rig.entries
    letters = Letters(rig, witness)
    rng = random.Random(SEED)
    faults = 0
    for _ in range(ROUNDS):
        rig.wait_alive(home)
        faults += one_round(rng)
    for (first, second, runs), count in sorted(outcomes.items()):
        print("first %s, resend %s, runs %d: %d keys" % (
            first, second, runs, count))
    assert faults == 0
