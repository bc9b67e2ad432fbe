#!/usr/bin/env bash
# Installs the required packages, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")"
build=${BUILD_DIR:-build}
.ci/install
cmake -S . -B "$build" -G Ninja \
    -DMANGOSHIFT_PASS_OVER_KNOWN_RED="${PASS_OVER_KNOWN_RED:-OFF}" >/dev/null
cmake --build "$build"
ctest --test-dir "$build" --output-on-failure
