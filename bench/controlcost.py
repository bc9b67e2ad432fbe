#!/usr/bin/env python3
"""Measures the cost of the control plane: bytes, messages, processor time, memory, platform reads,
and the time from publishing a configuration until it is in force on every VM.

Usage: controlcost.py BUILD_DIR VMS [--rest SECONDS] [--publications N] [--targets N] [--net N]

Starts the stand-in platform and VMS entry VMs in three failure domains on 127.NET.x.y. Measures
them while the configuration is unchanged, then while each publication changes one target. Prints
one JSON line.
"""
import argparse
import datetime
import json
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

DOMAINS = 3
START_TIMEOUT = 30  # seconds
SETTLE_TIME = 5  # seconds
PUBLICATION_INTERVAL = 1.5  # seconds
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def fetch(address, path):
    with urllib.request.urlopen(f"http://{address}{path}", timeout=5) as response:
        return response.read().decode()


def put(address, path, body):
    request = urllib.request.Request(f"http://{address}{path}", body.encode(), method="PUT",
                                     headers={"Content-Type": "application/json"})
    urllib.request.urlopen(request, timeout=5).read()


class Fleet:
    """A stand-in platform and the VMs that use it."""

    def __init__(self, options, folder):
        self.folder = pathlib.Path(folder)
        self.net = options.net
        self.platform = f"127.{self.net}.0.1:7000"
        self.document = self.make_document(options.targets)
        self.processes = []
        self.vms = []
        vm_list = [self.add_vm(i) for i in range(options.vms)]
        (self.folder / "vms.json").write_text(json.dumps(vm_list))
        (self.folder / "document.json").write_text(json.dumps(self.document))
        build = pathlib.Path(options.build)
        self.start(build / "fakeplatform", "platform", "--listen", self.platform, "--document",
                   self.folder / "document.json", "--vms", self.folder / "vms.json")
        for vm in self.vms:
            vm["process"] = self.start(build / "mangoshift", vm["name"], "serve", "--settings",
                                       self.folder / f"{vm['name']}.json")

    def make_document(self, targets):
        names = [f"target-{i}" for i in range(targets)]
        return {
            "base_version": 0,
            "request_kinds": [{"name": "browse", "priority": 2, "idempotent": True}],
            "targets": [{"name": name, "address": f"127.{self.net}.{100 + i // 200}.{1 + i % 200}:9100",
                         "failure_domain": f"domain-{i % DOMAINS}", "slots": 2, "connections": 25}
                        for i, name in enumerate(names)],
            "services": [{"name": f"service-{i}", "kind": "browse", "deadline_ms": 100,
                          "shards": [{"name": f"shard-{j}", "replicas": names[j:j + 2]}
                                     for j in range(i * 40, min(i * 40 + 40, targets - 1), 2)]}
                         for i in range((targets + 39) // 40)],
        }

    def add_vm(self, index):
        name, domain = f"vm-{index}", f"domain-{index % DOMAINS}"
        ip = f"127.{self.net}.1.{1 + index}"
        settings = {"vm": name, "failure_domain": domain, "region": "region",
                    "caller_address": f"{ip}:7100", "operator_address": f"{ip}:7101",
                    "peer_address": f"{ip}:7102", "platform_address": self.platform,
                    "caller_threads": 2}
        (self.folder / f"{name}.json").write_text(json.dumps(settings))
        self.vms.append({"name": name, "operator": f"{ip}:7101"})
        return {"vm": name, "failure_domain": domain, "region": "region",
                "peer_address": f"{ip}:7102", "state": "live"}

    def start(self, program, name, *arguments):
        with open(self.folder / f"{name}.log", "w") as log:
            process = subprocess.Popen([program, *arguments], stderr=log)
        self.processes.append(process)
        return process

    def wait_until_ready(self):
        end = time.time() + START_TIMEOUT
        for vm in self.vms:
            while True:
                try:
                    fetch(vm["operator"], "/readyz")
                    break
                except OSError:
                    if time.time() > end:
                        sys.exit(f"{vm['name']} did not become ready")
                    time.sleep(0.05)

    def publish(self, number):
        changed = self.document["targets"][number % len(self.document["targets"])]
        changed["slots"] = 3 + number % 20
        put(self.platform, "/control/config", json.dumps(self.document))

    def platform_reads(self):
        return json.loads(fetch(self.platform, "/control/status"))["reads"]

    def sample(self):
        """Returns the sums of the VMs' counters and processor seconds, and the platform reads."""
        sums = {"reads": self.platform_reads(), "cpu": 0, "at": time.time()}
        for vm in self.vms:
            stat = pathlib.Path(f"/proc/{vm['process'].pid}/stat").read_text().rsplit(")", 1)[1].split()
            sums["cpu"] += (int(stat[11]) + int(stat[12])) / TICKS_PER_SECOND
            text = fetch(vm["operator"], "/metrics")
            for line in re.findall(r"^mangoshift_(?:control_bytes|heartbeats)_total.*$", text, re.M):
                key, value = line.rsplit(" ", 1)
                sums[key] = sums.get(key, 0) + float(value)
        return sums

    def mean_resident_mb(self):
        """Returns the mean resident memory of a VM, in MiB."""
        total = 0
        for vm in self.vms:
            status = pathlib.Path(f"/proc/{vm['process'].pid}/status").read_text()
            total += int(re.search(r"VmRSS:\s+(\d+)", status)[1])
        return total / len(self.vms) / 1024

    def find_in_force_times(self, version):
        """Returns when each VM had the version, or a later one, in force; skips VMs without either."""
        times = []
        for vm in self.vms:
            log = (self.folder / f"{vm['name']}.log").read_text()
            pattern = r"time=(\S+) .*event=config_in_force config_version=(\d+)"
            for logged_at, logged_version in re.findall(pattern, log):
                if int(logged_version) >= version:
                    parsed = datetime.datetime.strptime(logged_at, "%Y-%m-%dT%H:%M:%S.%fZ")
                    times.append(parsed.replace(tzinfo=datetime.timezone.utc).timestamp())
                    break
        return times

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGKILL)
            process.wait()


def rates(before, after, vms):
    """Returns the growth of the counters per second: platform reads in total, the others per VM."""
    seconds = after["at"] - before["at"]

    def growth(pattern):
        return sum(after[key] - before.get(key, 0) for key in after
                   if re.search(pattern, key)) / vms / seconds

    return {
        "out_bytes": round(growth(r"control_bytes.*direction=\"out\"")),
        "in_bytes": round(growth(r"control_bytes.*direction=\"in\"")),
        "in_bytes_platform": round(growth(r"control_bytes.*channel=\"platform\"")),
        "heartbeats_out": round(growth(r"heartbeats.*out"), 2),
        "core_percent": round(100 * (after["cpu"] - before["cpu"]) / vms / seconds, 2),
        "platform_reads_per_second": round((after["reads"] - before["reads"]) / seconds, 2),
    }


def measure(fleet, options):
    fleet.wait_until_ready()
    time.sleep(SETTLE_TIME)
    before = fleet.sample()
    time.sleep(options.rest)
    after = fleet.sample()
    result = {"vms": options.vms, "document_bytes": len(json.dumps(fleet.document)),
              "rest": rates(before, after, options.vms)}
    published = []
    before = fleet.sample()
    for number in range(options.publications):
        published.append(time.time())
        fleet.publish(number)
        time.sleep(PUBLICATION_INTERVAL)
    result["publishing"] = rates(before, fleet.sample(), options.vms)
    result["publishing"]["spacing_seconds"] = PUBLICATION_INTERVAL
    delays_ms, missing = [], 0
    for number, at in enumerate(published):
        times = fleet.find_in_force_times(number + 2)
        missing += options.vms - len(times)
        delays_ms.append(round(1000 * (max(times) - at)))
    result["in_force_everywhere_ms"] = {"each": delays_ms, "vms_without": missing}
    result["resident_mb"] = round(fleet.mean_resident_mb(), 1)
    return result


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("build")
    parser.add_argument("vms", type=int)
    parser.add_argument("--rest", type=float, default=30)
    parser.add_argument("--publications", type=int, default=5)
    parser.add_argument("--targets", type=int, default=100)
    parser.add_argument("--net", type=int, default=81)
    options = parser.parse_args()
    # Raises SystemExit, so that the processes are stopped as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("stopped"))
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(options, folder)
        try:
            print(json.dumps(measure(fleet, options)))
        finally:
            fleet.stop()


main()
