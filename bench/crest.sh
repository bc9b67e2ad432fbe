#!/usr/bin/env bash
# Runs crestload against the Rozova deployment: a demand peak of pattern searches, once for each
# given admission setting (on by default). Usage: crest.sh [BUILD_DIR [on|off ...]]
# PLACEMENT selects the placement policy: domain (the default), region or local.
# MANGOSHIFT_NET_OFFSET shifts the loopback addresses, as in the system tests.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(realpath "${1:-build}")
shift || true
offset=${MANGOSHIFT_NET_OFFSET:-0}
placement=${PLACEMENT:-domain}
service_time_us=16000
# Queries per second: each shard has two replicas with two slots each.
capacity=250
net=$((21 + offset))

run() {
    folder=$(mktemp -d)
    cp -r deploy/rozova/. "$folder"
    sed -i "s/127\.21\./127.$net./g" "$folder"/*.json "$folder"/settings/*.json
    if [ "$1" = off ]; then
        sed -i 's/^{/{"admission": false,/' "$folder"/settings/*.json
    fi
    sed -i "s/^{/{\"placement\": \"$placement\",/" "$folder"/settings/*.json
    pids=()
    "$build/faketarget" --document "$folder/document.json" --control "127.$net.0.1:7001" \
        --service-time-us "$service_time_us" --connect-cost-us 6000 &
    pids+=($!)
    "$build/fakeplatform" --listen "127.$net.0.1:7000" --document "$folder/document.json" \
        --vms "$folder/vms.json" &
    pids+=($!)
    addresses=()
    for settings in "$folder"/settings/*.json; do
        "$build/mangoshift" serve --settings "$settings" 2>>"$folder/log" &
        pids+=($!)
        addresses+=("$(python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["caller_address"])' "$settings")")
    done
    for address in "${addresses[@]}"; do
        for _ in $(seq 100); do
            "$build/mangoshift" query --to "$address" --service pattern-search >/dev/null 2>&1 && break
            sleep 0.1
        done
    done
    echo "== admission $1, placement $placement, capacity $capacity/s"
    "$build/crestload" "$capacity" pattern-search 20 invoicing "${addresses[@]}" || true
    kill "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
    rm -rf "$folder"
}

for admission in "${@:-on}"; do
    run "$admission"
done
