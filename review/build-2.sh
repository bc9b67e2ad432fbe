#!/bin/sh
# Checks that the stand-ins of the cases 6 to 10 can be loaded. They are written in Python with its
# standard library only, so there is nothing to compile.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import sys; sys.path.insert(0, "standins-2"); import fleet'
