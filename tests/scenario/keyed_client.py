"""Posts requests with idempotency keys, for the at-most-once scenarios."""
import json
import threading

from rig import get_json, request


class KeyedClient:
    """Posts keyed requests through entry VMs; reads the directory of `witness`."""

    def __init__(self, rig, witness):
        self.rig, self.witness, self.serial = rig, witness, 0

    def new_key(self, home):
        response = get_json(self.witness.listen, "/.chervilshelf/entries")
        token = next(row["home"] for row in response["entries"]
                     if row["address"] == home.listen)
        self.serial += 1
        return "%s.k%d" % (token, self.serial)

    @staticmethod
    def tag(key):
        return key.rsplit(".", 1)[-1]

    def post(self, entry, key, ms=0, timeout=20, deadline_ms=4000):
        """Posts one request; returns (status, outcome, reason or None)."""
        headers = {"X-Tag": self.tag(key), "Idempotency-Key": key,
                   "Chervilshelf-Deadline-Ms": str(deadline_ms)}
        status, response, body = request(
            entry.listen, "POST", "/letters/1?ms=%d" % ms,
            body=b"dear pen pal", headers=headers, timeout=timeout)
        outcome = response["chervilshelf-outcome"]
        reason = None if outcome == "ran" else json.loads(body)["reason"]
        return status, outcome, reason

    def post_in_background(self, *arguments, **options):
        """Posts in a thread; returns it and the list that gets the result."""
        def post_and_record():
            try:
                results.append(self.post(*arguments, **options))
            except OSError as error:
                results.append((0, "lost", str(error)))
        results = []
        thread = threading.Thread(target=post_and_record)
        thread.start()
        return thread, results

    def run_count(self, key):
        return self.rig.runs().get(self.tag(key), 0)
