#!/usr/bin/env python3
"""Starts and stops a sample deployment as plain processes, and replays traces against it.

Usage: run.py start DEPLOYMENT FOLDER [TRACE]   start all processes and list them in FOLDER/run.json
       run.py stop FOLDER                       stop the VMs gracefully, then the stand-ins
       run.py replay FOLDER TRACE...            start, replay and stop, once for each trace

DEPLOYMENT is rozova or sundarban. The environment variable BUILD_DIR names the build folder
(default: build); MANGOSHIFT_NET_OFFSET is added to the second octet of each loopback address.
`--off NAME` after `start` or `replay` disables a mechanism in all VMs: admission, target_hedges,
target_ejection or home_hedges. It can be repeated. If a TRACE is given, each target that it lists
in `separate_targets` runs in a separate process. `replay` exits with 0 if every stated outcome
held, with 1 if one did not, a trace is invalid or a process had to be killed, and with 3 if a trace
could not be replayed for another reason. `stop` exits with 1 if a process had to be killed.
Each process writes its log to FOLDER/NAME.log.
"""
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = pathlib.Path(os.environ.get("BUILD_DIR", ROOT / "build")).resolve()
OFFSET = os.environ.get("MANGOSHIFT_NET_OFFSET", "0")
NOT_REPLAYED = 3
START_TIMEOUT_S = 30
STOP_TIMEOUT_S = 15
POLL_S = 0.05
# The path of the setting that enables each mechanism.
MECHANISM_SETTINGS = {"admission": ("admission",), "target_hedges": ("mechanisms", "target_hedges"),
            "target_ejection": ("mechanisms", "target_ejection"),
            "home_hedges": ("mechanisms", "home_hedges")}


class LaunchError(Exception):
    """The deployment does not exist, or a process did not become ready."""


def responds(address, path):
    """Returns whether a GET request gets a response with status 200."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=2) as response:
            return response.status == 200
    except (urllib.error.URLError, OSError):
        return False


def wait_until(condition, name):
    """Polls `condition` until it holds; raises LaunchError after START_TIMEOUT_S."""
    end = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > end:
            raise LaunchError(f"{name} did not become ready; see its log")
        time.sleep(POLL_S)


class Launcher:
    """Starts the processes of one deployment and records their ids in run.json."""

    def __init__(self, deployment, folder, disabled=()):
        self.folder = folder
        self.disabled = disabled
        self.pids = {}
        self.children = []
        folder.mkdir(parents=True, exist_ok=True)
        subprocess.run([sys.executable, ROOT / "deploy/generate.py", folder / "generated", OFFSET],
                       check=True)
        self.source = folder / "generated" / deployment
        if not self.source.is_dir():
            raise LaunchError(f"there is no deployment '{deployment}'")
        self.run = {"deployment": deployment, "pids": self.pids, "target_controls": [],
                    "callers": [], "operators": {}}

    def settings(self):
        """Writes the settings of all VMs without the disabled mechanisms; returns them by name."""
        settings = {}
        for path in sorted((self.source / "settings").glob("*.json")):
            content = json.loads(path.read_text())
            for name in self.disabled:
                *parents, key = MECHANISM_SETTINGS[name]
                section = content
                for each in parents:
                    section = section.setdefault(each, {})
                section[key] = False
            path.write_text(json.dumps(content, indent=1) + "\n")
            settings[path.stem] = content
        return settings

    def spawn(self, name, program, *arguments):
        """Starts a process that writes its output to NAME.log, and updates run.json."""
        with open(self.folder / f"{name}.log", "ab") as log:
            child = subprocess.Popen([BUILD / program, *map(str, arguments)], stdout=log,
                                     stderr=log, stdin=subprocess.DEVNULL, start_new_session=True)
        self.pids[name] = child.pid
        self.children.append(child)
        # Written after each process start, so that an interrupted launch can be stopped too.
        (self.folder / "run.json").write_text(json.dumps(self.run, indent=1) + "\n")

    def start(self, separate_targets):
        """Starts the platform, the targets and the VMs; returns when every VM is ready."""
        text = (self.source / "document.json").read_text()
        document = self.folder / "document.json"
        document.write_text(text)
        settings = self.settings()
        platform = next(iter(settings.values()))["platform_address"]
        self.run["platform"] = platform
        self.spawn("platform", "fakeplatform", "--listen", platform, "--document", document,
                   "--vms", self.source / "vms.json")
        self.start_targets(json.loads(text), document, platform.split(":")[0], separate_targets)
        for vm, content in settings.items():
            self.run["callers"].append(content["caller_address"])
            self.run["operators"][vm] = content["operator_address"]
            self.spawn(vm, "mangoshift", "serve", "--settings",
                       self.source / "settings" / f"{vm}.json")
        for vm, content in settings.items():
            wait_until(lambda: responds(content["operator_address"], "/readyz"), vm)

    def start_targets(self, document, path, ip, separate_targets):
        """Starts one process per failure domain for its targets, and one per separate target."""
        domains = sorted({target["failure_domain"] for target in document["targets"]})
        groups = [(f"targets-{domain}", ["--domain", domain]) for domain in domains]
        for target in separate_targets:
            groups = [(name, [*options, "--except", target]) for name, options in groups]
        groups += [(f"target-{target}", ["--target", target]) for target in separate_targets]
        for index, (name, options) in enumerate(groups):
            control = f"{ip}:{7001 + index}"
            self.run["target_controls"].append(control)
            self.spawn(name, "faketarget", "--document", path, "--control", control, *options)
            wait_until(lambda: responds(control, "/records"), name)


def is_running(pid, folder):
    """Returns whether `pid` still belongs to a process that was launched with this folder."""
    try:
        state = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0]
        command = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes().decode(errors="replace")
    except OSError:
        return False
    return state != "Z" and str(folder) in command


def send_signal(pid, number):
    try:
        os.kill(pid, number)
    except ProcessLookupError:
        pass


def stop(folder):
    """Stops all processes of the deployment. Returns the names of those that had to be killed."""
    path = folder / "run.json"
    if not path.exists():
        return []
    pids = json.loads(path.read_text())["pids"]
    standins = {n: p for n, p in pids.items() if n == "platform" or n.startswith("target")}
    vms = {n: p for n, p in pids.items() if n not in standins}
    killed = []
    for group in (vms, standins):
        # Every process, also the platform, has the folder in its command line.
        alive = {n: p for n, p in group.items() if is_running(p, folder)}
        for pid in alive.values():
            send_signal(pid, signal.SIGCONT)
            send_signal(pid, signal.SIGTERM)
        end = time.monotonic() + STOP_TIMEOUT_S
        while any(is_running(p, folder) for p in alive.values()) and time.monotonic() < end:
            time.sleep(POLL_S)
        for name, pid in alive.items():
            if is_running(pid, folder):
                killed.append(name)
                send_signal(pid, signal.SIGKILL)
    path.unlink()
    return killed


def launch(deployment, folder, separate_targets, disabled=()):
    """Starts a deployment; stops the processes started so far if that fails."""
    launcher = Launcher(deployment, folder, disabled)
    try:
        launcher.start(separate_targets)
    except BaseException:
        stop(folder)
        raise
    return launcher


def read_header(trace):
    """Returns the first line of a trace file, which describes the trace."""
    return json.loads(pathlib.Path(trace).read_text().splitlines()[0])


def summarize(trace, status, report):
    """Returns one line: the name of the trace, and `pass`, the outcomes that did not hold, or that
    it was not replayed."""
    name = pathlib.Path(trace).stem
    if status not in (0, 1) or not report.exists():
        return f"{name}: not replayed (status {status})"
    failed = [f"{each['segment'] or 'whole'} {each['measure']} {each['measured']:.4g}"
              f" (stated {'<=' if each['at_most'] else '>='} {each['bound']:.4g})"
              for run in json.loads(report.read_text()) for each in run["outcomes"]
              if not each["holds"]]
    return f"{name}: " + ("FAIL " + ", ".join(failed) if failed else "pass")


def exit_status(status, report):
    """Returns what a replay adds to the exit status. A negative `status` is the signal that ended
    the replay."""
    was_not_replayed = status < 0 or (status == 0 and not report.exists())
    return NOT_REPLAYED if was_not_replayed else status


def replay(folder, traces, disabled=()):
    """Replays each trace against a new deployment; returns the highest exit status, and at least 1
    if a process had to be killed."""
    worst = 0
    summaries = []
    for trace in traces:
        header = read_header(trace)
        run_folder = folder / pathlib.Path(trace).stem
        report = run_folder / "report.json"
        report.unlink(missing_ok=True)
        launch(header["deployment"], run_folder, header.get("separate_targets", []), disabled)
        try:
            done = subprocess.run([BUILD / "mangoshift", "replay", "--run", run_folder, "--trace",
                                   trace, "--json", report], check=False)
            worst = max(worst, exit_status(done.returncode, report))
            summaries.append(summarize(trace, done.returncode, report))
        finally:
            for name in stop(run_folder):
                print(f"run.py: {name} did not stop on SIGTERM and was killed", file=sys.stderr)
                worst = max(worst, 1)
    if len(summaries) > 1:
        print("\n" + "\n".join(summaries))
    return worst


def main(arguments):
    command, operands = (arguments[0], arguments[1:]) if arguments else ("", [])
    disabled = []
    while len(operands) >= 2 and operands[0] == "--off" and operands[1] in MECHANISM_SETTINGS:
        disabled.append(operands[1])
        operands = operands[2:]
    try:
        if command == "start" and len(operands) in (2, 3):
            separate = (read_header(operands[2]).get("separate_targets", [])
                        if len(operands) == 3 else [])
            launch(operands[0], pathlib.Path(operands[1]).resolve(), separate, disabled)
            return 0
        if command == "stop" and len(operands) == 1:
            return 1 if stop(pathlib.Path(operands[0]).resolve()) else 0
        if command == "replay" and len(operands) >= 2:
            return replay(pathlib.Path(operands[0]).resolve(), operands[1:], disabled)
    except LaunchError as error:
        print(f"run.py: {error}", file=sys.stderr)
        return 3
    print(__doc__, file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
