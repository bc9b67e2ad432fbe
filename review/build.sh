#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python programs that use its standard library
# only, so nothing is compiled; the scripts start no other stand-ins. The entry VM is the one that
# the build of deploy/system.toml puts into target/.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
