"""Writes one bench scenario per kind of fault, in which it occurs twice.

Usage: single_trouble_days.py FOLDER. The users' bench runs a file with
`run SITE FILE`; the table below lists the variants that it supports.
"""
import os
import sys

# kind: (True for planned work, fixed fields, variants)
KINDS = {
    "burst": (False, "x = 2.0, for_s = 4.0", [""]),
    "retry_abuse": (False, "x = 3.0, share = 0.4, for_s = 5.0", [""]),
    "give_up": (False, "share = 0.3, for_s = 5.0", ["", "once"]),
    "srv_crash": (False, "share = 0.2, for_s = 3.0",
                  ["", "dark", "gone", "across", "all"]),
    "srv_slow": (False, "share = 0.2, x = 5.0, for_s = 5.0", ["", "all"]),
    "srv_grey": (False, "share = 0.2, for_s = 5.0",
                 ["errors", "shed", "busy", "hang", "reset", "mute", "slow",
                  "errors one_zone"]),
    "srv_flap": (False, "share = 0.2, gap_s = 1.2, for_s = 6.0", [""]),
    "srv_lying_health": (False, "share = 0.2, for_s = 5.0",
                         ["errors", "hang", "reset", "bad"]),
    "srv_cut": (False, "share = 0.2, for_s = 4.0",
                ["", "fronts", "some", "some lossy", "one_way", "reset",
                 "reborn"]),
    "release": (True, "share = 0.5, gap_s = 0.6", [""]),
    "replace_with_reuse": (True, "share = 0.2", ["", "drain", "dark"]),
    "scale_out": (True, "share = 0.3, gap_s = 1.0", [""]),
    "scale_in": (True, "share = 0.15", ["", "spot", "reclaim"]),
    "answer_lost": (False, "share = 0.5, x = 0.04, for_s = 5.0",
                    ["", "reset"]),
    "garble": (False, "share = 0.5, x = 0.03, for_s = 5.0",
               ["", "extra", "extra late", "unframed", "early"]),
    "node_kill": (False, 'on = "core", count = 2, for_s = 2.0',
                  ["", "power", "leader", "leader race drain", "meet drain",
                   "giver", "renewed"]),
    "node_freeze": (False, 'on = "core", count = 2, for_s = 3.0',
                    ["", "leader", "follower", "renewed"]),
    "node_slow": (False, "share = 0.2, x = 5.0, for_s = 5.0", [""]),
    "roll_term": (True, "share = 0.5, gap_s = 1.0",
                  ["", "busy", "remove", "leader"]),
    "herd_kill": (False, "share = 0.6, for_s = 2.0", ["", "power"]),
    "after_ack_kill": (False, "for_s = 2.0", ["", "kill", "timed"]),
    "clock_step": (False, "x = 3000.0, share = 0.4, for_s = 4.0",
                   ["", "back", "ahead"]),
    "hup": (True, "share = 0.6, gap_s = 1.0", [""]),
    "reset_conns": (False, "share = 0.4, x = 0.6", [""]),
    "core_cut": (False, "count = 2, for_s = 4.0",
                 ["", "leader", "leader refuse", "leader reset", "one_way",
                  "all", "near", "split", "seeds", "both", "lure",
                  "relieve"]),
    "node_cut": (False, "share = 0.2, for_s = 4.0", ["", "all", "servers"]),
    "lossy": (False, "x = 0.05, for_s = 5.0", [""]),
    "platform_down": (False, "for_s = 4.0",
                      ["silent", "busy", "reset", "lapse",
                       "nodes", "nodes busy", "nodes many", "nodes reset",
                       "nodes leader", "nodes many revoke meet"]),
    "platform_slow": (False, "x = 60.0, for_s = 5.0", [""]),
    "platform_lost": (False, "x = 0.4, for_s = 5.0", ["", "late"]),
    "platform_compact": (False, "x = 4.0, for_s = 8.0", ["", "drain"]),
    "config_change": (True, "", ["route", "weights", "timeout"]),
    "config_storm": (True, "for_s = 4.0, gap_s = 0.3", [""]),
    "big_config": (True, "count = 400", [""]),
}
START_TIMES_S = (5.0, 16.0)


def day(kind, planned, fields, variant):
    name = "-".join(["alone", kind.replace("_", "-")] + variant.split())
    lines = ['name = "%s"' % name, "plan = [" if planned else "faults = ["]
    for at in START_TIMES_S:
        parts = ["at = %.1f" % at, 'kind = "%s"' % kind]
        parts += [fields] if fields else []
        parts += ['how = "%s"' % variant] if variant else []
        lines.append("  { %s }," % ", ".join(parts))
    return name, "\n".join(lines + ["]", ""])


def main(folder):
    os.makedirs(folder, exist_ok=True)
    for kind, (planned, fields, variants) in KINDS.items():
        for variant in variants:
            name, text = day(kind, planned, fields, variant)
            with open(os.path.join(folder, name + ".toml"), "w") as out:
                out.write(text)


if __name__ == "__main__":
    main(sys.argv[1])
