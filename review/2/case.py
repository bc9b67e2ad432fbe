"""Machines are stopped and started in turn; three of six get new settings and are frozen meanwhile.

The platform changes the settings of these (SIGHUP), then stops each machine (SIGTERM), kills it after
`grace_s` if it still runs, and starts it again. A freeze covers both signals.
"""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import lab as labs  # noqa: E402

GRACE_S = 6.0
STABLE_WINDOW_S = 4.0
FREEZE_S = 0.4
# From the stop of one machine to that of the next, and how often all are stopped in turn.
GAP_S = 2.0
ROUNDS = 6
# The machines that get new settings each time: a share of 0.5.
CHANGED = 3
WORK_S = 0.16
TIMEOUT_S = 6.0
CONNECTIONS_PER_VM = 4


class Stop:
    """A planned stop of a machine."""

    def __init__(self, vm):
        self.vm, self.asked_at, self.woken_at, self.ended_at = vm, None, None, None


class Rotation:
    """The platform's choice of machines: out after two misses in a row, in after a 200."""

    def __init__(self, lab):
        self.lab, self.misses = lab, {vm: 0 for vm in lab.vms}

    def has(self, vm):
        return self.misses[vm] < 2

    async def run(self):
        while True:
            for vm in self.lab.vms:
                self.misses[vm] = 0 if await vm.is_ready() else self.misses[vm] + 1
            await asyncio.sleep(1)


async def client(lab, rotation, vm, number, lost):
    """Sends safe requests on kept connections, new ones only while the VM is in rotation."""
    count, connection = 0, None
    while True:
        try:
            if connection is None:
                if not rotation.has(vm):
                    await asyncio.sleep(0.1)
                    continue
                connection = await asyncio.open_connection(vm.ip, labs.CALLER_PORT)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        reader, writer = connection
        count += 1
        identity, sent_at = f"{vm.name}-{number}-{count}", time.monotonic()
        try:
            writer.write(labs.message("GET /look/x HTTP/1.1",
                                      {"Host": "shop.example", "X-Request-Id": identity,
                                       "X-Deadline-Ms": str(int(TIMEOUT_S * 1000))}))
            line, headers, _ = await labs.read_message(reader)
            if " 200 " not in line:
                lab.note("client", f"{identity}: {line}")
            if headers.get("connection") == "close":
                raise ConnectionResetError("closed after the answer")
            await asyncio.sleep(0.01)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            if not isinstance(error, ConnectionResetError) or "answer" not in str(error):
                lost.append((identity, vm, sent_at, time.monotonic()))
                lab.note("client", f"{identity}: the connection ends without an answer")
            writer.close()
            connection = None


async def stop(lab, vm, is_changed):
    """Stops a machine as the platform does, and starts it again."""
    done = Stop(vm)
    is_frozen = lab.trouble and is_changed
    if is_frozen:
        vm.signal(signal.SIGSTOP)
        await asyncio.sleep(0.1)
    if is_changed:
        vm.slack = 53 if vm.slack == 52 else 52
        vm.write_settings()
        vm.signal(signal.SIGHUP)
        await asyncio.sleep(0.1)
    vm.signal(signal.SIGTERM)
    done.asked_at = time.monotonic()
    if is_frozen:
        await asyncio.sleep(FREEZE_S - 0.2)
        vm.signal(signal.SIGCONT)
        done.woken_at = time.monotonic()
    while vm.is_running() and time.monotonic() < done.asked_at + GRACE_S:
        await asyncio.sleep(0.01)
    if vm.is_running():
        vm.signal(signal.SIGKILL)
    vm.process.wait()
    done.ended_at = time.monotonic()
    lab.note("platform", f"{vm.name} ended {done.ended_at - done.asked_at:.2f} s after SIGTERM")
    await asyncio.sleep(0.5)
    vm.start()
    return done


async def case(lab):
    servers = [labs.Server(lab, f"i-{each}", "lookup", WORK_S) for each in range(12)]
    for server in servers:
        await server.open()
        lab.store.put(f"servers/{server.id}", server.entry())
    lab.store.put("op/config", labs.configuration(
        3, [labs.route("look", timeout_ms=int(TIMEOUT_S * 1000), service="lookup")], ["lookup"]))
    await lab.start_vms()
    rotation, lost = Rotation(lab), []
    tasks = [asyncio.create_task(rotation.run())]
    tasks += [asyncio.create_task(client(lab, rotation, vm, number, lost))
              for vm in lab.vms for number in range(CONNECTIONS_PER_VM)]
    await asyncio.sleep(5)
    stops = []
    for turn in range(ROUNDS):
        running = []
        for number, vm in enumerate(lab.vms):
            is_changed = (number + turn) % len(lab.vms) < CHANGED
            running.append(asyncio.create_task(stop(lab, vm, is_changed)))
            await asyncio.sleep(GAP_S)
        stops += [await each for each in running]
        if any(each.ended_at > each.asked_at + GRACE_S for each in stops):
            break
        await asyncio.sleep(2)
    for task in tasks:
        task.cancel()
    ran = {identity for server in servers for _, identity in server.ran}
    killed = [each for each in stops if each.ended_at > each.asked_at + GRACE_S]
    counted = []
    for identity, vm, sent_at, ended_at in lost:
        for each in stops:
            calm_from = each.asked_at if each.woken_at is None else each.woken_at + STABLE_WINDOW_S
            if (each.vm is vm and calm_from <= sent_at <= each.asked_at + GRACE_S + 1
                    and identity in ran and ended_at < sent_at + TIMEOUT_S):
                counted.append(identity)
    lab.note("result", f"{len(stops)} stops, {len(killed)} machines served on until they were "
                       f"killed; {len(counted)} requests that were sent {STABLE_WINDOW_S} s or more "
                       "after the wake-up were read, run and cut without an answer")
    return not counted


labs.run(case, HERE / "record.txt")
