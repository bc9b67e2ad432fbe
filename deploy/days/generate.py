#!/usr/bin/env python3
"""Writes a day file for each kind of event. The event occurs once alone, and later twice in short
succession, overlapping with another kind of event: the one seven entries later in EVENTS, or from
its start again after the end.

    deploy/days/generate.py

The files fit any deployment: `@c0`, `@s0` and `@z0` stand for its first request kind, service and
failure domain. `fleetbench hunt` runs all of them, `fleetbench run SITE FILE` runs one.
"""

import pathlib

# The name of each event and its TOML fields without the time; "plan" marks planned work.
EVENTS = [
    ("callers-leave", 'kind = "give_up", share = 0.3, for_s = 6.0'),
    ("callers-press", 'kind = "burst", x = 1.8, for_s = 4.0'),
    ("callers-repeat", 'kind = "retry_abuse", share = 0.3, x = 2.0, for_s = 6.0'),
    ("servers-crash", 'kind = "srv_crash", how = "across", share = 0.15, for_s = 4.5'),
    ("servers-dark", 'kind = "srv_crash", how = "dark across", share = 0.15, for_s = 4.5'),
    ("servers-slow", 'kind = "srv_slow", how = "across", share = 0.15, x = 8.0, for_s = 6.0'),
    ("servers-hang", 'kind = "srv_grey", how = "hang across", share = 0.12, x = 0.45, for_s = 6.0'),
    ("servers-fail", 'kind = "srv_grey", how = "errors across", share = 0.15, x = 0.45, for_s = 6.0'),
    ("servers-mute", 'kind = "srv_grey", how = "mute across", share = 0.12, x = 0.45, for_s = 6.0'),
    ("answers-lost", 'kind = "answer_lost", how = "reset", share = 0.5, x = 0.05, for_s = 6.0'),
    ("answers-extra", 'kind = "garble", how = "extra late", share = 0.5, x = 0.03, for_s = 6.0'),
    ("answers-early", 'kind = "garble", how = "early", share = 0.5, x = 0.03, for_s = 6.0'),
    ("answers-unframed", 'kind = "garble", how = "unframed", share = 0.5, x = 0.03, for_s = 6.0'),
    ("release", 'kind = "release", share = 0.5, x = 6.0, gap_s = 1.0', "plan"),
    ("addresses-reused", 'kind = "replace_with_reuse", how = "drain", share = 0.18'),
    ("scale-out", 'kind = "scale_out", share = 0.3, gap_s = 2.0', "plan"),
    ("scale-in", 'kind = "scale_in", share = 0.15', "plan"),
    ("vms-killed", 'kind = "node_kill", share = 0.3'),
    ("vms-dark", 'kind = "node_kill", how = "power", share = 0.15, for_s = 4.0'),
    ("vms-frozen", 'kind = "node_freeze", share = 0.2, for_s = 3.0'),
    ("vms-slow", 'kind = "node_slow", share = 0.2, x = 5.5, for_s = 6.0'),
    ("vms-rolled", 'kind = "roll_term", share = 1.0, x = 2.0, gap_s = 1.3', "plan"),
    ("vms-all-killed", 'kind = "herd_kill", share = 1.0'),
    ("vms-added", 'kind = "add_nodes", count = 1', "plan"),
    ("acknowledged-then-dark", 'kind = "after_ack_kill", count = 1'),
    ("clocks-jump", 'kind = "clock_step", x = 4000.0, share = 0.4, for_s = 5.0'),
    ("settings-change", 'kind = "hup", share = 0.6, gap_s = 2.0', "plan"),
    ("connections-reset", 'kind = "reset_conns", share = 0.3, x = 0.5'),
    ("domain-cut", 'kind = "zone_cut", how = "drop", zone = "@z0", for_s = 5.5'),
    ("store-cut", 'kind = "core_cut", count = 2, for_s = 5.5'),
    ("vms-cut", 'kind = "node_cut", share = 0.2, for_s = 5.5'),
    ("store-silent", 'kind = "platform_down", how = "silent lapse", for_s = 5.0'),
    ("store-busy", 'kind = "platform_down", how = "busy", for_s = 5.0'),
    ("store-turns-away", 'kind = "platform_down", how = "nodes many", share = 0.35, for_s = 8.0'),
    ("store-slow", 'kind = "platform_slow", x = 60.0, for_s = 5.0'),
    ("store-loses", 'kind = "platform_lost", x = 0.35, for_s = 5.0'),
    ("store-forgets", 'kind = "platform_compact", how = "drain", x = 5.0, for_s = 12.0'),
    ("configuration-changes", 'kind = "config_change", how = "route"', "plan"),
    ("configuration-storm", 'kind = "config_storm", gap_s = 0.5, for_s = 6.0', "plan"),
    ("shards-change", 'kind = "reshard", x = 3.5', "plan"),
    ("shard-lost", 'kind = "srv_crash", service = "@s0", how = "all", for_s = 4.5'),
]

ALONE_AT_S = 6.0
OVERLAP_AT_S = 20.0
REPEAT_DELAY_S = 1.5


def format_event(event, at):
    return f"  {{ at = {at}, {event[1]} }},"


def format_day(name, events):
    lines = {"plan": [], "faults": []}
    for event, at in events:
        lines["plan" if "plan" in event[2:] else "faults"].append(format_event(event, at))
    text = [f'name = "{name}"', 'slot = "trouble"']
    for key, entries in lines.items():
        text += [f"{key} = [", *entries, "]"] if entries else [f"{key} = []"]
    return "\n".join(text) + "\n"


def main():
    folder = pathlib.Path(__file__).parent
    for i, event in enumerate(EVENTS):
        overlapping = EVENTS[(i + 7) % len(EVENTS)]
        events = [
            (event, ALONE_AT_S),
            (event, OVERLAP_AT_S),
            (event, OVERLAP_AT_S + REPEAT_DELAY_S),
            (overlapping, OVERLAP_AT_S + 3.0),
        ]
        (folder / f"{event[0]}.toml").write_text(format_day(event[0], events))


if __name__ == "__main__":
    main()
