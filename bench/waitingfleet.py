#!/usr/bin/env python3
"""Measures what callers get while as much is asked of the targets as they bear, and twice as much.

Usage: waitingfleet.py BUILD_DIR NAME=ENTRY... [--seconds N] [--at-once N] [--rounds N] [--net N]

ENTRY is a mangoshift program; the programs take turns. The stand-ins are taken from BUILD_DIR. All
processes run on 127.NET.x.y. Six VMs serve one service of six targets with 20 slots each. Each VM
has 20 callers that send a safe request of 20 to 900 ms of work, with 2,000 ms each, one after the
other, or --at-once of them together; a caller that is refused waits for the time that it is told.
Nothing fails. Prints a line for each run: how many requests ended how, the longest time until each
of these ends, of how many requests that were not answered no target has seen anything, and how many
of those that were sent in each five seconds were not answered.
"""
import argparse
import asyncio
import collections
import json
import pathlib
import time

import targetnotices

VMS, TARGETS, SLOTS, CALLERS, DEADLINE_MS = 6, 6, 20, 20, 2000
OPTIONS = ["--work-ms", "20", "--max-work-ms", "900", "--slots", str(SLOTS)]
PERIOD_S = 5
ROUTE = {"timeout_ms": 3000, "target_latency_ms": 1000}


class Caller:
    """A connection on which one request is sent at a time."""

    def __init__(self, ip, name, record):
        self.ip, self.name, self.record, self.count = ip, name, record, 0
        self.reader = self.writer = None

    async def send(self):
        """Sends a request, records its end, and returns for how long to wait, in seconds."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                self.ip, targetnotices.CALLER_PORT)
        self.count += 1
        identity = f"{self.name}-{self.count}"
        sent_at = time.monotonic()
        self.writer.write(
            f"GET /r/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {identity}\r\n"
            f"X-Deadline-Ms: {DEADLINE_MS}\r\n\r\n".encode())
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        body = await self.reader.readexactly(int(fields.get("content-length", 0)))
        status = int(head.split(" ")[1])
        if status == 200:
            end = "answered"
        elif fields.get("content-type") == "application/json":
            end = json.loads(body)["execution"]
        else:
            end = "failed_by_target"  # It ran until its time was up.
        self.record.append((identity, end, status, time.monotonic() - sent_at, sent_at))
        return float(fields.get("retry-after", 0))

    async def close(self):
        if self.writer:
            self.writer.close()


async def run_caller(ip, name, at_once, until, record):
    connections = [Caller(ip, f"{name}-{each}", record) for each in range(at_once)]
    while time.monotonic() < until:
        await asyncio.sleep(max(await asyncio.gather(*[each.send() for each in connections])))
    for each in connections:
        await each.close()


async def run_callers(deployment, at_once, seconds):
    record, until = [], time.monotonic() + seconds
    await asyncio.gather(*[
        run_caller(deployment.vm_ip(vm), f"{vm}-{caller}", at_once, until, record)
        for vm in range(VMS) for caller in range(CALLERS)])
    return record


def measure(build, name, entry, at_once, seconds, net):
    settings = {vm: {"assumed_vms": VMS} for vm in range(VMS)}
    with targetnotices.Deployment(build, [entry] * VMS, net, TARGETS, OPTIONS, settings, SLOTS,
                                  ROUTE) as deployment:
        record = asyncio.run(run_callers(deployment, at_once, seconds))
        lines = pathlib.Path(deployment.events).read_text().split("\n")[:-1]
        events = [json.loads(line) for line in lines]
    seen = {event["request"] for event in events if event["event"] == "arrived"}
    ends = collections.Counter(f"{end} {status}" for _, end, status, _, _ in record)
    start, longest = min(sent_at for *_, sent_at in record), {}
    unanswered = [0] * (int(seconds / PERIOD_S) + 1)
    for _, end, _, took, sent_at in record:
        longest[end] = round(max(longest.get(end, 0), took), 3)
        unanswered[int((sent_at - start) / PERIOD_S)] += end != "answered"
    unseen = collections.Counter(end for identity, end, *_ in record
                                 if end != "answered" and identity not in seen)
    print(json.dumps({"build": name, "at_once": at_once, "requests": len(record),
                      "ends": ends, "longest_s": longest, "not_seen_by_a_target": unseen,
                      "unanswered_by_5_s": unanswered}),
          flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("build")
    parser.add_argument("entries", nargs="+")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--at-once", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--net", type=int, default=140)
    arguments = parser.parse_args()
    for _ in range(arguments.rounds):
        for text in arguments.entries:
            name, entry = text.split("=", 1)
            measure(arguments.build, name, entry, arguments.at_once, arguments.seconds,
                    arguments.net)


if __name__ == "__main__":
    main()
