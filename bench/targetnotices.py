#!/usr/bin/env python3
"""Measures entry VMs on the stand-ins: what they do with what targets say about themselves in their
responses, and what their logs cost.

Usage: targetnotices.py BUILD_DIR cost ENTRY_A ENTRY_B [--rounds N] [--net N]
       targetnotices.py BUILD_DIR crest NAME=ENTRY... [--plot FILE] [--net N]
       targetnotices.py BUILD_DIR spread ENTRY [--vms N] [--net N]
       targetnotices.py BUILD_DIR logging ENTRY [--rounds N] [--net N]

ENTRY is a mangoshift program; the stand-ins are taken from BUILD_DIR. All processes run on
127.NET.x.y.

cost    Processor time of a forwarded request with each of two programs, which take turns.
crest   Half of a service's targets ask for a pause for two seconds: what callers get, and the
        arrivals at those targets.
spread  One target leaves: the requests that it still gets from a fleet of VMs.
logging Processor time of a request, and bytes of log a second, of a VM that logs and of one that
        logs errors only, which take turns: calm, and with three times the load that targets bear.
"""
import argparse
import asyncio
import json
import os
import pathlib
import random
import subprocess
import tempfile
import time
import urllib.request

STORE_PORT, CONTROL_PORT, CALLER_PORT, PEER_PORT, READY_PORT, OPERATOR_PORT, TARGET_PORT = (
    8102, 8103, 8104, 8106, 8108, 7380, 8080)
START_TIMEOUT_S = 40
VMS_PER_DOMAIN = 20
BIN_S = 0.1


def send(address, method, path, body=""):
    request = urllib.request.Request(f"http://{address}{path}", body.encode(), method=method)
    return urllib.request.urlopen(request, timeout=5).read()


def processor_seconds(pid):
    total = 0
    for task in pathlib.Path(f"/proc/{pid}/task").iterdir():
        total += int((task / "schedstat").read_text().split()[0])
    return total / 1e9


class Deployment:
    """A store, targets of one service, and entry VMs. `route` replaces fields of the only route."""

    def __init__(self, build, entries, net, targets, options, vm_settings=None, slots=3,
                 route=None):
        self.build, self.net, self.processes = pathlib.Path(build).resolve(), net, []
        self.folder = tempfile.TemporaryDirectory()
        self.targets = [f"i-{each}" for each in range(targets)]
        self.events = f"{self.folder.name}/events"
        self.start("fakestore", self.at(0, 1, STORE_PORT), self.at(0, 1, CONTROL_PORT))
        self.start("fakeservers", *options, "--events", self.events, self.at(0, 2, CONTROL_PORT),
                   *[f"{each}={self.at(1, number + 1, TARGET_PORT)}=s"
                     for number, each in enumerate(self.targets)])
        self.retry(lambda: send(self.at(0, 2, CONTROL_PORT), "POST", "/mode?none", "ok"))
        for number, each in enumerate(self.targets):
            self.retry(lambda: self.put(f"servers/{each}", {
                "service": "s", "address": self.at(1, number + 1, TARGET_PORT), "zone": "d0",
                "version": "v1", "slots": slots, "state": "ready", "warmup_left_ms": 0, "seq": 1,
                "born": 1}))
        self.put("op/config", {
            "version": 1, "services": [{"name": "s", "max_conns": 1000}],
            "routes": [{"name": "r", "host": "shop.example", "prefix": "/r/", "kind": "safe",
                        "timeout_ms": 1000, "target_latency_ms": 300, "priority": 1,
                        "max_attempts": 2, "service": "s", **(route or {})}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 5000, "idle_timeout_ms": 20000}})
        self.vms = [self.start_vm(number, entry, (vm_settings or {}).get(number, {}))
                    for number, entry in enumerate(entries)]
        for number in range(len(entries)):
            self.retry(lambda: send(self.vm_ip(number) + f":{READY_PORT}", "GET", "/api/ready"))

    def at(self, third, fourth, port):
        return f"127.{self.net}.{third}.{fourth}:{port}"

    def vm_ip(self, number):
        return f"127.{self.net}.{2 + number // 200}.{1 + number % 200}"

    def start(self, program, *arguments, log_name="log"):
        path = program if "/" in str(program) else self.build / program
        log = open(f"{self.folder.name}/{log_name}", "ab")
        self.processes.append(subprocess.Popen([str(path), *arguments], stdout=log, stderr=log))
        return self.processes[-1]

    def log_bytes(self, number):
        return pathlib.Path(f"{self.folder.name}/vm-{number}.log").stat().st_size

    def start_vm(self, number, entry, changes):
        ip = self.vm_ip(number)
        settings = {"vm": f"vm-{number}", "failure_domain": f"d{number // VMS_PER_DOMAIN}",
                    "region": "r", "caller_address": f"{ip}:{CALLER_PORT}",
                    "ready_address": f"{ip}:{READY_PORT}",
                    "operator_address": f"{ip}:{OPERATOR_PORT}",
                    "store_address": self.at(0, 1, STORE_PORT), "peer_address": f"{ip}:{PEER_PORT}",
                    "seeds": [f"{self.vm_ip(0)}:{PEER_PORT}"], "assumed_vms": 1,
                    "retry_budget": {"ratio": 0.2, "slack": 50, "window_s": 10}, **changes}
        path = pathlib.Path(self.folder.name) / f"vm-{number}.json"
        path.write_text(json.dumps(settings))
        return self.start(pathlib.Path(entry).resolve(), "entry", "--settings", str(path),
                          log_name=f"vm-{number}.log")

    @staticmethod
    def retry(action):
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            try:
                return action()
            except OSError:
                if time.monotonic() > end:
                    raise
                time.sleep(0.05)

    def put(self, key, value):
        send(self.at(0, 1, CONTROL_PORT), "PUT", f"/item?{key}", json.dumps(value))

    def set_mode(self, target, mode):
        send(self.at(0, 2, CONTROL_PORT), "POST", f"/mode?{target}", mode)

    def arrivals(self, since):
        """The times and targets of all arrivals, in seconds after `since` (monotonic)."""
        found = []
        for line in pathlib.Path(self.events).read_text().splitlines():
            event = json.loads(line)
            if event["event"] == "arrived":
                found.append((event["at_us"] / 1e6 - since, event["server"]))
        return found

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            try:
                process.wait(8)
            except subprocess.TimeoutExpired:
                process.kill()
        self.folder.cleanup()


async def call(ip, name, until, pause_s, record, waits=True):
    """Sends requests on a kept connection until `until`. Waits as Retry-After asks if `waits`."""
    reader = writer = None
    count = 0
    while time.monotonic() < until:
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(ip, CALLER_PORT)
            count += 1
            sent_at = time.monotonic()
            writer.write(f"GET /r/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {name}-{count}"
                         "\r\nX-Deadline-Ms: 1000\r\n\r\n".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
            await reader.readexactly(int(fields.get("content-length", 0)))
            record.append((sent_at, int(head.split(" ")[1]), time.monotonic() - sent_at))
            await asyncio.sleep(waits and float(fields.get("retry-after", 0)) or pause_s())
        except (OSError, asyncio.IncompleteReadError):
            writer = None
            await asyncio.sleep(0.05)
    if writer:
        writer.close()


async def load(deployment, vms, clients, seconds, pause_s, actions=(), waits=True):
    """Runs clients against VMs, and actions at their times. Returns the start and the records."""
    record, start = [], time.monotonic()
    tasks = [asyncio.create_task(call(deployment.vm_ip(vm), f"{vm}-{client}", start + seconds,
                                      pause_s, record, waits))
             for vm in vms for client in range(clients)]
    for at, action in actions:
        await asyncio.sleep(start + at - time.monotonic())
        action()
    await asyncio.gather(*tasks)
    return start, record


def measure_cost(arguments):
    costs = {entry: [] for entry in arguments.entries}
    with Deployment(arguments.build, arguments.entries, arguments.net, 4, []) as deployment:
        for turn in range(arguments.rounds + 1):
            order = list(enumerate(arguments.entries))
            for number, entry in order if turn % 2 else reversed(order):
                pid = deployment.vms[number].pid
                before = processor_seconds(pid)
                _, record = asyncio.run(load(deployment, [number], 8, 2.0, lambda: 0))
                spent = processor_seconds(pid) - before
                if turn:  # The first round warms up.
                    costs[entry].append(spent / len(record) * 1e6)
    for entry, each in costs.items():
        each.sort()
        print(json.dumps({"entry": entry, "rounds": len(each),
                          "median_us": round(each[len(each) // 2], 2),
                          "least_us": round(each[0], 2), "greatest_us": round(each[-1], 2)}))
    first, second = (sorted(each)[len(each) // 2] for each in costs.values())
    print(f"second against first: {(second / first - 1) * 100:+.2f} %")


def measure_logging(arguments):
    levels = ["error", "info"]
    calm = ("calm", [], 8, lambda: 0)
    # The targets serve 4 * 3 requests in 20 ms, 600 a second.
    crest = ("crest", ["--work-ms", "20", "--slots", "3", "--queue", "4"], 600, lambda: 0.02)
    for phase, options, clients, pause_s in (calm, crest):
        costs = {level: [] for level in levels}
        logged = {level: [] for level in levels}
        sent = []
        with Deployment(arguments.build, arguments.entries * 2, arguments.net, 4, options,
                        {n: {"log_level": level} for n, level in enumerate(levels)}) as deployment:
            for turn in range(arguments.rounds + 1):
                order = list(enumerate(levels))
                for number, level in order if turn % 2 else reversed(order):
                    pid = deployment.vms[number].pid
                    before, bytes_before = processor_seconds(pid), deployment.log_bytes(number)
                    _, record = asyncio.run(load(deployment, [number], clients, 2.0, pause_s,
                                                 waits=False))
                    if turn:  # The first round warms up.
                        costs[level].append((processor_seconds(pid) - before) / len(record) * 1e6)
                        logged[level].append((deployment.log_bytes(number) - bytes_before) / 2.0)
                        sent.append((len(record), sum(each[1] != 200 for each in record)))
        medians = {level: sorted(each)[len(each) // 2] for level, each in costs.items()}
        print(json.dumps({
            "phase": phase, "rounds": arguments.rounds,
            "requests_per_s": round(sum(n for n, _ in sent) / len(sent) / 2.0),
            "not_served_percent": round(100 * sum(n for _, n in sent) / sum(n for n, _ in sent), 1),
            "median_us": {level: round(each, 2) for level, each in medians.items()},
            "least_us": {level: round(min(each), 2) for level, each in costs.items()},
            "log_bytes_per_s": {level: round(sum(each) / len(each))
                                for level, each in logged.items()},
            "logging_percent": round((medians["info"] / medians["error"] - 1) * 100, 2)}))


def plot(path, series):
    """Draws the arrivals of each run as a line."""
    width, height, left, top = 720, 130, 60, 24
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width + left + 20}" '
             f'height="{len(series) * (height + 50) + 20}" font-family="sans-serif" font-size="12">']
    peak = max(max(bins) for _, bins in series) or 1
    for row, (name, bins) in enumerate(series):
        base = top + row * (height + 50) + height
        points = " ".join(f"{left + i * width / len(bins):.1f},{base - n * height / peak:.1f}"
                          for i, n in enumerate(bins))
        parts += [f'<text x="{left}" y="{base - height - 6}">{name}: arrivals per 100 ms at the '
                  f'targets that ask for a pause (greatest {max(bins)})</text>',
                  f'<line x1="{left}" y1="{base}" x2="{left + width}" y2="{base}" stroke="#888"/>',
                  f'<polyline fill="none" stroke="#26c" points="{points}"/>']
        for second in range(int(len(bins) * BIN_S) + 1):
            x = left + second / BIN_S * width / len(bins)
            parts.append(f'<text x="{x - 6:.0f}" y="{base + 16}">{second} s</text>')
    pathlib.Path(path).write_text("\n".join([*parts, "</svg>", ""]))


def measure_crest(arguments):
    series = []
    for text in arguments.entries:
        name, entry = text.split("=", 1)
        options = ["--work-ms", "20", "--slots", "3", "--queue", "4"]
        with Deployment(arguments.build, [entry] * 6, arguments.net, 8, options) as deployment:
            asked = deployment.targets[:4]

            def set_all(mode):
                for target in asked:
                    deployment.set_mode(target, mode)
            start, record = asyncio.run(load(
                deployment, range(6), 16, 9.0, lambda: random.uniform(0.08, 0.16),
                [(3.0, lambda: set_all("pause")), (5.0, lambda: set_all("ok"))]))
            bins = [0] * int(9.0 / BIN_S)
            for at, target in deployment.arrivals(start):
                if target in asked and 0 <= at < 9.0:
                    bins[int(at / BIN_S)] += 1
        series.append((name, bins))
        for what, begin, end in (("before", 1, 3), ("asked", 3, 5), ("return", 5, 7.5),
                                 ("after", 7.5, 9)):
            sent = [status for at, status, _ in record if begin <= at - start < end]
            late = sorted(took for at, status, took in record
                          if begin <= at - start < end and status == 200)
            print(json.dumps({
                "build": name, "phase": what, "sent": len(sent),
                "served_percent": round(100 * sent.count(200) / max(len(sent), 1), 2),
                "refused_percent": round(100 * sent.count(503) / max(len(sent), 1), 2),
                "p99_ms": round(1000 * late[len(late) * 99 // 100], 1) if late else None,
                "arrivals_at_asking_targets": sum(bins[int(begin / BIN_S):int(end / BIN_S)])}))
    if arguments.plot:
        plot(arguments.plot, series)


def measure_spread(arguments):
    entry = arguments.entries[0]
    with Deployment(arguments.build, [entry] * arguments.vms, arguments.net, 4, []) as deployment:
        left = []

        def leave():
            left.append(time.monotonic())
            deployment.set_mode(deployment.targets[0], "leaving")
        start, record = asyncio.run(load(
            deployment, range(arguments.vms), 2, 8.0,
            lambda: random.uniform(0.1, 0.3) * arguments.vms / 12, [(3.0, leave)]))
        late = [at for at, target in deployment.arrivals(left[0])
                if target == deployment.targets[0] and at > 0]
        print(json.dumps({"vms": arguments.vms, "requests": len(record),
                          "not_served": sum(status != 200 for _, status, _ in record),
                          "arrivals_after_it_said_so": len(late),
                          "last_after_s": round(max(late, default=0), 2)}))


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("build")
    parser.add_argument("what", choices=["cost", "crest", "spread", "logging"])
    parser.add_argument("entries", nargs="+")
    parser.add_argument("--rounds", type=int, default=9)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--net", type=int, default=140)
    parser.add_argument("--plot")
    arguments = parser.parse_args()
    {"cost": measure_cost, "crest": measure_crest, "spread": measure_spread,
     "logging": measure_logging}[arguments.what](arguments)


if __name__ == "__main__":
    main()
