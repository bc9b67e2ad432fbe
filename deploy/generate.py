#!/usr/bin/env python3
"""Writes the sample deployments: the document, the list of VMs and the settings of each VM.

Usage: generate.py OUT_DIR [NET_OFFSET]
NET_OFFSET is added to the second octet of every address, so that several runs can share a machine.
Sizes and failure domains are those of the requirements; all addresses are loopback addresses.
"""
import json
import pathlib
import sys


def deployment(name, net, region, domains, vm_count, sharded, pooled, pooled_connections):
    """Returns name, document, VM list and settings of a deployment on 127.<net>.x.y addresses.

    `sharded` lists services as (name, request kind, number of shards, deadline in ms, whether
    partial answers are allowed); each shard has two replicas. `pooled` lists services with a single
    shard as (name, request kind, number of replicas, deadline in ms). `pooled_connections` is the
    connection limit of each target of a pooled service.
    """
    targets, services = [], []

    def add_target(target_name, slots, connections):
        index = len(targets)
        targets.append({
            "name": target_name,
            "address": f"127.{net}.{100 + index // 200}.{1 + index % 200}:9100",
            "failure_domain": domains[index % len(domains)],
            "slots": slots,
            "connections": connections,
        })
        return target_name

    for service, kind, shard_count, deadline, partial in sharded:
        shards = []
        for shard in range(shard_count):
            shard_name = f"{service}-{shard:02d}"
            replicas = [add_target(f"{shard_name}-{letter}", 2, 25) for letter in "ab"]
            shards.append({"name": shard_name, "replicas": replicas})
        services.append({"name": service, "kind": kind, "deadline_ms": deadline,
                         "partial_answers": partial, "shards": shards})
    for service, kind, replica_count, deadline in pooled:
        replicas = [add_target(f"{service}-{i:02d}", 3, pooled_connections)
                    for i in range(replica_count)]
        services.append({"name": service, "kind": kind, "deadline_ms": deadline,
                         "partial_answers": False,
                         "shards": [{"name": "all", "replicas": replicas}]})

    kinds = [
        {"name": "urgent", "priority": 0, "idempotent": True},
        {"name": "order", "priority": 1, "idempotent": False},
        {"name": "browse", "priority": 2, "idempotent": True},
    ]
    document = {"base_version": 0, "request_kinds": kinds, "targets": targets,
                "services": services}
    vms, settings = [], {}
    for i in range(vm_count):
        domain = domains[i % len(domains)]
        vm = f"{domain}-vm{i // len(domains)}"
        ip = f"127.{net}.1.{1 + i}"
        vms.append({"vm": vm, "failure_domain": domain, "region": region,
                    "peer_address": f"{ip}:7102", "state": "live"})
        settings[vm] = {"vm": vm, "failure_domain": domain, "region": region,
                        "caller_address": f"{ip}:7100", "operator_address": f"{ip}:7101",
                        "peer_address": f"{ip}:7102",
                        "platform_address": f"127.{net}.0.1:7000"}
    return name, document, vms, settings


NET_OFFSET = int(sys.argv[2]) if len(sys.argv) > 2 else 0
DEPLOYMENTS = [
    deployment("rozova", 21 + NET_OFFSET, "bg", ["plovdiv-a", "plovdiv-b", "plovdiv-c"], 7,
               [("pattern-search", "browse", 20, 100, True), ("invoicing", "urgent", 30, 100, False)],
               [("order-lookup", "urgent", 10, 100), ("press-scheduler", "order", 5, 500)], 100),
    deployment("sundarban", 22 + NET_OFFSET, "bengal",
               ["kolkata-a", "kolkata-b", "khulna-a", "khulna-b"], 7,
               [("pass-lookup", "urgent", 20, 100, True), ("yard-roster", "browse", 30, 100, True)],
               [("slot-booking", "order", 10, 500), ("nursery-portal", "browse", 5, 100)], 40),
]


def main():
    out = pathlib.Path(sys.argv[1])
    for name, document, vms, settings in DEPLOYMENTS:
        folder = out / name
        (folder / "settings").mkdir(parents=True, exist_ok=True)
        (folder / "document.json").write_text(json.dumps(document, indent=1) + "\n")
        (folder / "vms.json").write_text(json.dumps(vms, indent=1) + "\n")
        for vm, content in settings.items():
            (folder / "settings" / f"{vm}.json").write_text(json.dumps(content, indent=1) + "\n")


main()
