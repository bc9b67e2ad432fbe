#!/usr/bin/env bash
# Installs the required packages, builds, and replays a trace without faults for each sample
# deployment against real processes: a platform, the targets of each failure domain, and seven entry
# VMs. Exits with 0 if every stated outcome held. Prints the folder that keeps the logs.
set -euo pipefail
cd "$(dirname "$0")"
export BUILD_DIR=${BUILD_DIR:-build}
.ci/install
cmake -S . -B "$BUILD_DIR" -G Ninja >/dev/null
cmake --build "$BUILD_DIR"
folder=$(mktemp -d "${TMPDIR:-/tmp}/mangoshift-demo-XXXXXX")
echo "== replaying; the logs of all processes are in $folder"
status=0
deploy/run.py replay "$folder" traces/rozova-healthy.jsonl traces/sundarban-healthy.jsonl || status=$?
if [ "$status" -eq 0 ]; then
    echo "== every stated outcome held"
else
    echo "== a stated outcome did not hold, or a trace could not be replayed (status $status)"
fi
exit "$status"
