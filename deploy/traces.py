#!/usr/bin/env python3
"""Writes the traces of both sample deployments. Usage: traces.py OUT_DIR

The stated outcomes come from the goals of the project, not from measurements.
Each shard of a sharded service has two replicas with 2 slots each. In the traces `healthy` and
`crest`, a target takes 20 ms on average, so a service can serve 200 queries per second. In the
traces with faults, a target takes 10 ms and the load is 80 queries per second: a single remaining
replica can serve 200 queries per second and is loaded at 40%, so complete answers within the
deadline stay possible.
"""
import json
import pathlib
import sys

CAPACITY = 200
RATE = CAPACITY // 2
FAULT_RATE = 80
TARGETS = {"service_time_us": 20000, "connect_cost_us": 6000, "slow_factor": 1}
FAULT_TARGETS = {**TARGETS, "service_time_us": 10000}
SECOND = 1000  # in ms, the unit of all times in traces


class Site:
    """The names of a deployment that traces use.

    `sharded` and `other` are sharded services, `pooled` is a service with a single shard. The
    service `urgent` has priority over `browsed`. `vm` is the VM that traces kill.
    """

    def __init__(self, name, sharded, other, pooled, browsed, urgent, domains, vm):
        self.name, self.sharded, self.other, self.pooled = name, sharded, other, pooled
        self.browsed, self.urgent = browsed, urgent
        self.domains, self.vm = domains, vm


SITES = [
    Site("rozova", "pattern-search", "invoicing", "order-lookup", "pattern-search", "invoicing",
         ["plovdiv-a", "plovdiv-b", "plovdiv-c"], "plovdiv-b-vm0"),
    Site("sundarban", "pass-lookup", "yard-roster", "nursery-portal", "yard-roster", "pass-lookup",
         ["kolkata-a", "kolkata-b", "khulna-a", "khulna-b"], "kolkata-b-vm0"),
]
# The outcomes that every trace states.
COMMON_OUTCOMES = [
    {"measure": "mixed_snapshots", "at_most": 0},
    {"measure": "coverage_lies", "at_most": 0},
    {"measure": "foreign_rows", "at_most": 0},
    {"measure": "extra_percent", "at_most": 5},
    {"measure": "target_extra_percent", "at_most": 5},
]


def at_most(segment, measure, bound, times=None):
    """Returns an outcome. If `times` names a segment, the bound is a multiple of its measure."""
    outcome = {"segment": segment, "measure": measure, "at_most": bound}
    return {**outcome, "times": times} if times else outcome


def at_least(segment, measure, bound, times=None):
    """Returns an outcome. If `times` names a segment, the bound is a multiple of its measure."""
    outcome = {"segment": segment, "measure": measure, "at_least": bound}
    return {**outcome, "times": times} if times else outcome


def all_complete(segment):
    """Returns the outcomes that require a complete answer to every request of the segment."""
    return [at_least(segment, "coverage_percent", 100), at_most(segment, "refused_percent", 0)]


def load(segment, service, start, end, rate=RATE, rate_end=None):
    line = {"segment": segment, "service": service, "from_ms": start, "to_ms": end, "rate": rate}
    return line if rate_end is None else {**line, "rate_end": rate_end}


def target_change(at, targets, spread=0, **settings):
    """Changes the targets that match a pattern, one after another within `spread` ms."""
    return {"at_ms": at, "targets": targets, "set": settings, "spread_ms": spread}


def header(site, name, about, outcomes, seed, separate=(), targets=None):
    line = {"trace": f"{site.name}-{name}", "about": about, "deployment": site.name, "seed": seed,
            "targets": targets or FAULT_TARGETS, "outcomes": outcomes + COMMON_OUTCOMES}
    return {**line, "separate_targets": list(separate)} if separate else line


def healthy(site):
    outcomes = all_complete("steady") + all_complete("pooled") + [at_most("steady", "p99_ms", 100)]
    return [header(site, "healthy", "nothing fails", outcomes, 1, targets=TARGETS),
            load("warm-up", site.sharded, 0, 2 * SECOND, 10, RATE),
            load("steady", site.sharded, 2 * SECOND, 12 * SECOND),
            load("steady-other", site.other, 2 * SECOND, 12 * SECOND, RATE // 2),
            load("pooled", site.pooled, 2 * SECOND, 12 * SECOND)]


def phases(site, fault, end=22 * SECOND):
    """Returns three load segments: a warm-up, one without faults, and one under faults, which is
    named by `fault`."""
    return [load("warm-up", site.sharded, 0, 2 * SECOND, 10, FAULT_RATE),
            load("healthy", site.sharded, 2 * SECOND, 8 * SECOND, FAULT_RATE),
            load(fault, site.sharded, 8 * SECOND, end, FAULT_RATE)]


def target_slowed(site):
    outcomes = all_complete("slowed") + [at_most("slowed", "p99_ms", 1.5, "healthy")]
    return [header(site, "target-slowed", "one target slowed 10 times", outcomes, 2),
            *phases(site, "slowed"),
            target_change(8 * SECOND, f"{site.sharded}-03-a", slow_factor=10)]


def domains_slowed(site):
    """Slows the failure domains of targets 0 and 1 of the sharded service in turn, for 3 s each.

    Target names end in -a and -b; generate.py assigns the targets to the domains in turn.
    """
    outcomes = all_complete("slowed") + [at_most("slowed", "p99_ms", 1.5, "healthy")]
    names = [f"{site.sharded}-{i:02d}-{r}" for i in range(20) for r in "ab"]
    count = len(site.domains)
    lines = [header(site, "domains-slowed", "two failure domains slowed by turns", outcomes, 3),
             *phases(site, "slowed", 22 * SECOND)]
    for turn in range(4):
        for index, name in enumerate(names):
            if index % count == turn % 2:
                lines.append(target_change((8 + 3 * turn) * SECOND, name, slow_factor=10))
                lines.append(target_change((11 + 3 * turn) * SECOND, name, slow_factor=1))
    return lines


def overload(site):
    outcomes = all_complete("healthy") + [
        at_least("crest", "goodput", 0.9 * CAPACITY),
        at_most("crest", "refusal_p99_ms", 10),
        at_least("urgent", "complete_percent", 100),
        at_most("after", "p99_ms", 1.0, "healthy"),
        *all_complete("after")]
    return [header(site, "crest", "a crest of 3 times capacity within 2 s, held for 10 s", outcomes,
                 4, targets=TARGETS),
            load("warm-up", site.browsed, 0, SECOND, 10, RATE),
            load("healthy", site.browsed, SECOND, 5 * SECOND),
            load("rise", site.browsed, 5 * SECOND, 7 * SECOND, RATE, 3 * CAPACITY),
            load("crest", site.browsed, 7 * SECOND, 17 * SECOND, 3 * CAPACITY),
            load("settle", site.browsed, 17 * SECOND, 19 * SECOND),
            load("after", site.browsed, 19 * SECOND, 23 * SECOND),
            load("urgent", site.urgent, SECOND, 23 * SECOND, RATE // 4)]


def replica_killed(site):
    victim = f"{site.sharded}-05-b"
    outcomes = all_complete("killed") + [at_most("killed", "p99_ms", 1.5, "healthy")]
    return [header(site, "replica-killed", "a target's process is killed", outcomes, 5, [victim]),
            *phases(site, "killed"),
            {"at_ms": 8 * SECOND, "process": f"target-{victim}", "signal": "KILL"}]


def vm_killed(site):
    outcomes = all_complete("killed") + [at_most("killed", "p99_ms", 1.5, "healthy")]
    return [header(site, "vm-killed", "an entry VM is killed", outcomes, 6),
            *phases(site, "killed"),
            {"at_ms": 8 * SECOND, "process": site.vm, "signal": "KILL"}]


def platform_killed(site):
    return [header(site, "platform-killed", "the platform is killed", all_complete("killed"), 11),
            *phases(site, "killed", 16 * SECOND),
            {"at_ms": 8 * SECOND, "process": "platform", "signal": "KILL"}]


def domain_killed(site):
    """Every shard keeps a replica, as its two replicas are in different failure domains."""
    return [header(site, "domain-killed", "every target of a failure domain is killed",
                 all_complete("killed"), 12),
            *phases(site, "killed"),
            {"at_ms": 8 * SECOND, "process": f"targets-{site.domains[0]}", "signal": "KILL"}]


def shard_lost(site):
    """With one of 20 shards lost, 95% coverage is possible; answers must state it correctly."""
    victims = [f"{site.sharded}-06-a", f"{site.sharded}-06-b"]
    outcomes = [at_least("lost", "coverage_percent", 95), at_most("lost", "refused_percent", 0)]
    return [header(site, "shard-lost", "both replicas of a shard are killed", outcomes, 13,
                   victims),
            *phases(site, "lost"),
            *({"at_ms": 8 * SECOND, "process": f"target-{victim}", "signal": "KILL"}
              for victim in victims)]


def connections_silent(site):
    """Four targets accept requests and never respond, also on new connections."""
    outcomes = all_complete("silent") + [at_most("silent", "p99_ms", 1.5, "healthy")]
    return [header(site, "connections-silent", "the connections of four targets go silent",
                   outcomes, 7), *phases(site, "silent"),
            target_change(8 * SECOND, f"{site.sharded}-0[0-3]-a", silent=True)]


def versions_roll(site):
    """Every target of the sharded service adds snapshot 2, one after another within 4 s; then every
    target drops snapshot 1 in the same way."""
    pattern = f"{site.sharded}-*"
    return [header(site, "versions-roll", "index versions roll under load",
                   all_complete("rolling"), 8),
            *phases(site, "rolling", 22 * SECOND),
            target_change(8 * SECOND, pattern, 4 * SECOND, newest_snapshot=2),
            target_change(13 * SECOND, pattern, 4 * SECOND, oldest_snapshot=2)]


def repartition(site):
    """Splits one shard into two on the same replicas, and moves another shard, which keeps one of
    its two replicas."""
    patch = [
        {"op": "replace", "path": "/services/0/shards/0/name", "value": f"{site.sharded}-00x"},
        {"op": "add", "path": "/services/0/shards/1",
         "value": {"name": f"{site.sharded}-00y",
                   "replicas": [f"{site.sharded}-00-a", f"{site.sharded}-00-b"]}},
        {"op": "replace", "path": "/services/0/shards/4/replicas",
         "value": [f"{site.sharded}-04-b", f"{site.sharded}-05-a"]}]
    return [header(site, "repartition", "a shard is split and another moves under load",
                 all_complete("repartition"), 9), *phases(site, "repartition"),
            {"at_ms": 9 * SECOND, "publish": patch}]


def two_at_once(site):
    outcomes = all_complete("both") + [at_most("both", "p99_ms", 1.5, "healthy")]
    return [header(site, "two-at-once", "one target slowed 10 times and an entry VM killed",
                   outcomes, 10), *phases(site, "both"),
            target_change(8 * SECOND, f"{site.sharded}-07-a", slow_factor=10),
            {"at_ms": 9 * SECOND, "process": site.vm, "signal": "KILL"}]


TRACES = {"healthy": healthy, "target-slowed": target_slowed, "domains-slowed": domains_slowed,
          "crest": overload, "replica-killed": replica_killed, "vm-killed": vm_killed,
          "platform-killed": platform_killed, "domain-killed": domain_killed, "shard-lost": shard_lost,
          "connections-silent": connections_silent, "versions-roll": versions_roll,
          "repartition": repartition, "two-at-once": two_at_once}


def main():
    out = pathlib.Path(sys.argv[1])
    for site in SITES:
        for name, build in TRACES.items():
            lines = "".join(json.dumps(line) + "\n" for line in build(site))
            (out / f"{site.name}-{name}.jsonl").write_text(lines)


main()
