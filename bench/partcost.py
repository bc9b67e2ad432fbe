#!/usr/bin/env python3
"""Measures the processor time that an entry VM uses for each part of a fan-out request.

Usage: partcost.py BUILD_DIR NAME=ENTRY... [--shards N] [--rate N] [--seconds N] [--rounds N]
                   [--pauses] [--trace FILE] [--net N]

ENTRY is a mangoshift program; each runs as one VM, and they take turns. The stand-ins are taken
from BUILD_DIR. All processes run on 127.NET.x.y. One caller's connection sends requests that fan
out to all shards, with three targets each; with --pauses, each target pauses for 120 ms every 3 s.
Prints for each program and round the processor time for each part (user and system), the system
calls that the kernel counted as voluntary switches, and the share of parts that are in the answers.
With --trace, `perf record` writes a profile of the first program to FILE.
"""
import argparse
import os
import pathlib
import statistics
import subprocess
import tempfile
import time

import targetnotices
from targetnotices import CALLER_PORT, CONTROL_PORT, READY_PORT, STORE_PORT, TARGET_PORT, send

TARGETS_A_SHARD = 3
WARM_UP_S = 2


class FanOutDeployment(targetnotices.Deployment):
    """A store, shards, and one entry VM for each of `entries`, which serve the same route."""

    def __init__(self, build, entries, net, shards, options):
        self.build, self.net, self.processes = pathlib.Path(build).resolve(), net, []
        self.folder = tempfile.TemporaryDirectory()
        names = [f"s{number:03}" for number in range(shards)]
        targets = [(f"i-{name}-{each}", name, self.at(10 + each, number + 1, TARGET_PORT))
                   for number, name in enumerate(names) for each in range(TARGETS_A_SHARD)]
        self.start("fakestore", self.at(0, 1, STORE_PORT), self.at(0, 1, CONTROL_PORT))
        self.start("fakeservers", *options, self.at(0, 2, CONTROL_PORT),
                   *[f"{identity}={address}={name}" for identity, name, address in targets])
        self.retry(lambda: send(self.at(0, 2, CONTROL_PORT), "POST", "/mode?none", "ok"))
        for identity, name, address in targets:
            self.retry(lambda: self.put(f"servers/{identity}", {
                "service": name, "address": address, "zone": "d0", "version": "v1", "slots": 2,
                "state": "ready", "warmup_left_ms": 0, "seq": 1, "born": 1}))
        self.put("op/config", {
            "version": 1,
            "services": [{"name": name, "max_conns": 1000} for name in names],
            "routes": [{"name": "r", "host": "shop.example", "prefix": "/r/", "kind": "safe",
                        "timeout_ms": 1000, "target_latency_ms": 100, "priority": 1,
                        "max_attempts": 2, "fanout_services": names, "top_k": 10,
                        "min_coverage": 0.5}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 20000}})
        self.vms = [self.start_vm(number, entry, {}) for number, entry in enumerate(entries)]
        for number in range(len(entries)):
            self.retry(lambda: send(self.vm_ip(number) + f":{READY_PORT}", "GET", "/api/ready"))


def processor_times(pid):
    """The user and system time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    tick = os.sysconf("SC_CLK_TCK")
    return int(fields[11]) / tick, int(fields[12]) / tick


def play(deployment, vm, shards, rate, seconds, name):
    """Sends requests at a steady rate; returns microseconds a part and the share of parts in."""
    import socket

    caller = socket.create_connection((deployment.vm_ip(vm), CALLER_PORT))
    stream = caller.makefile("rb")
    pid = deployment.vms[vm].pid
    before, requests, missing = processor_times(pid), 0, 0
    total_before = targetnotices.processor_seconds(pid)
    begin = time.monotonic()
    while time.monotonic() - begin < seconds:
        time.sleep(max(0.0, begin + requests / rate - time.monotonic()))
        caller.sendall((f"GET /r/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: "
                        f"{name}-{requests}\r\nX-Deadline-Ms: 1000\r\n\r\n").encode())
        status, length, lost = int(stream.readline().split()[1]), 0, shards
        while (line := stream.readline().strip()):
            key, value = line.decode().split(": ", 1)
            length = int(value) if key.lower() == "content-length" else length
            lost = int(value) if key.lower() == "x-missing-parts" and status == 200 else lost
        stream.read(length)
        requests += 1
        missing += lost
    total = targetnotices.processor_seconds(pid) - total_before
    user, system = (end - start for start, end in zip(before, processor_times(pid)))
    caller.close()
    parts = requests * shards
    return total / parts * 1e6, user / max(user + system, 1e-9), 1 - missing / parts


def main():
    arguments = argparse.ArgumentParser(usage=__doc__.split("\n\n")[1])
    arguments.add_argument("build")
    arguments.add_argument("entries", nargs="+")
    arguments.add_argument("--shards", type=int, default=90)
    arguments.add_argument("--rate", type=float, default=20)
    arguments.add_argument("--seconds", type=float, default=5)
    arguments.add_argument("--rounds", type=int, default=5)
    arguments.add_argument("--pauses", action="store_true")
    arguments.add_argument("--trace")
    arguments.add_argument("--net", type=int, default=93)
    given = arguments.parse_args()
    names, programs = zip(*(entry.split("=", 1) for entry in given.entries))
    options = ["--work-ms", "4", "--slots", "2"]
    if given.pauses:
        options += ["--pause-ms", "120", "--pause-every-ms", "3000"]
    costs = {name: [] for name in names}
    with FanOutDeployment(given.build, programs, given.net, given.shards, options) as deployment:
        for vm, name in enumerate(names):
            play(deployment, vm, given.shards, given.rate, WARM_UP_S, f"warm-{name}")
        profile = None
        if given.trace:
            profile = subprocess.Popen(["perf", "record", "-q", "-g", "-o", given.trace, "-p",
                                        str(deployment.vms[0].pid)])
        for number in range(given.rounds):
            for vm, name in enumerate(names):
                cost, user_share, coverage = play(deployment, vm, given.shards, given.rate,
                                                  given.seconds, f"{number}-{name}")
                costs[name].append(cost)
                print(f"{name} round {number + 1}: {cost:.1f} us a part, {user_share:.0%} of it in "
                      f"user mode, {coverage:.2%} of the parts", flush=True)
        if profile:
            profile.send_signal(2)
            profile.wait()
    for name in names:
        print(f"{name}: median {statistics.median(costs[name]):.1f} us a part")


if __name__ == "__main__":
    main()
