#!/usr/bin/env python3
"""Starts a sample deployment with deploy/run.py for each test and kills one process with SIGKILL:
the platform, the targets of a failure domain or an entry VM. Checks that the remaining entry VMs
state their coverage correctly, that their answers soon become complete again, and that a stop
leaves no process running."""
import json
import os
import pathlib
import signal
import sys
import tempfile
import time
import unittest
import unittest.mock
import urllib.error
import urllib.request

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "deploy"))
import run  # noqa: E402

SERVICE = "pass-lookup"
SHARDS = 20
TIMEOUT_S = 30


def query(address):
    """Returns the answer, or None for an error response. Raises OSError if no response arrives."""
    request = urllib.request.Request(f"http://{address}/v1/query/{SERVICE}", data=b"{}",
                                     headers={"Content-Type": "application/json"})
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return json.load(response)
    except urllib.error.HTTPError as problem:
        json.load(problem)
        return None


class KilledProcess(unittest.TestCase):
    """Tests that kill one process of a running deployment or stop the deployment."""

    def setUp(self):
        self.temporary = tempfile.TemporaryDirectory(prefix="mangoshift-launcher-")
        self.addCleanup(self.temporary.cleanup)
        self.folder = pathlib.Path(self.temporary.name).resolve()
        run.launch("sundarban", self.folder, [])
        self.addCleanup(run.stop, self.folder)
        self.run_info = json.loads((self.folder / "run.json").read_text())

    def check_coverage(self, answer):
        """Checks that the stated coverage, snapshot and request id match the rows."""
        shards = {row["shard"] for row in answer["rows"]}
        self.assertEqual(SHARDS, answer["shards"]["asked"])
        self.assertEqual(len(shards), answer["shards"]["answered"])
        self.assertEqual(len(shards), len(answer["rows"]))
        self.assertEqual(len(shards) == SHARDS, answer["complete"])
        self.assertEqual(SHARDS, len(shards) + len(answer["missing"]))
        for row in answer["rows"]:
            self.assertEqual(answer["snapshot"], row["snapshot"])
            self.assertEqual(answer["request_id"], row["request"])

    def wait_for_complete_answer(self, address):
        """Sends queries until an answer is complete. Returns False after TIMEOUT_S."""
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            answer = query(address)
            if answer is not None:
                self.check_coverage(answer)
                if answer["complete"]:
                    return True
        return False

    def kill_and_check(self, name):
        killed_address = self.run_info["operators"].get(name)
        os.kill(self.run_info["pids"][name], signal.SIGKILL)
        for address in self.run_info["callers"]:
            if killed_address is not None and address.split(":")[0] == killed_address.split(":")[0]:
                continue
            self.assertTrue(self.wait_for_complete_answer(address), f"{address} without {name}")

    def test_platform(self):
        self.kill_and_check("platform")

    def test_targets_of_a_failure_domain(self):
        self.kill_and_check("targets-kolkata-b")

    def test_entry_vm(self):
        self.kill_and_check("kolkata-b-vm0")

    def test_stop_leaves_no_process(self):
        self.assertEqual([], run.stop(self.folder))
        for name, pid in self.run_info["pids"].items():
            self.assertFalse(run.is_running(pid, self.folder), name)


class Replay(unittest.TestCase):
    """Tests of the exit status of a replay, without a deployment."""

    def replay_with(self, script):
        """Replays a trace with a shell script in place of the replay program."""
        with tempfile.TemporaryDirectory(prefix="mangoshift-launcher-") as name:
            folder = pathlib.Path(name).resolve()
            program = folder / "mangoshift"
            program.write_text("#!/bin/sh\n" + script)
            program.chmod(0o755)
            (folder / "trace").mkdir()
            trace = folder / "trace.jsonl"
            trace.write_text('{"deployment": "sundarban"}\n')
            with unittest.mock.patch.multiple(run, BUILD=folder, launch=unittest.mock.DEFAULT,
                                              stop=lambda run_folder: []):
                return run.replay(folder, [trace, trace])

    def test_status_is_that_of_the_replay_if_it_wrote_a_report(self):
        for status in (0, 1):
            script = f"for report; do :; done; echo [] > $report; exit {status}"
            self.assertEqual(status, self.replay_with(script))

    def test_a_replay_without_a_report_is_a_failure(self):
        self.assertEqual(2, self.replay_with("exit 2"))
        self.assertEqual(3, self.replay_with("exit 0"))

    # Guards against a replay that crashes and counts as passed.
    def test_a_replay_that_a_signal_ends_is_a_failure(self):
        self.assertEqual(3, self.replay_with("kill -SEGV $$"))


if __name__ == "__main__":
    unittest.main()
