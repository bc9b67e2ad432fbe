#!/usr/bin/env python3
"""Starts a new deployment, runs a benchmark command against it and stops it.

Usage: withdeployment.py DEPLOYMENT COMMAND...   RUN in COMMAND is replaced with the run folder
"""
import pathlib
import subprocess
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))
import run  # noqa: E402


def main(deployment, command):
    with tempfile.TemporaryDirectory(prefix="mangoshift-bench-") as name:
        folder = pathlib.Path(name).resolve()
        run.launch(deployment, folder, [])
        try:
            words = [str(folder) if word == "RUN" else word for word in command]
            return subprocess.run(words, check=False).returncode
        finally:
            run.stop(folder)


if __name__ == "__main__":
    if len(sys.argv) < 3:
        print(__doc__, file=sys.stderr)
        sys.exit(2)
    sys.exit(main(sys.argv[1], sys.argv[2:]))
