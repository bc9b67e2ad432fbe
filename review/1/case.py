"""The store is down for 0.8 s between two changes of the configuration.

A read that the store gets while it is down is never answered; its connection returns nothing
further. Reads on new connections are answered at once when the store is back.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import lab as labs  # noqa: E402

CONFIG_APPLY_S = 3.0
STABLE_WINDOW_S = 4.0
DOWN_S = 0.8


async def case(lab):
    servers = [labs.Server(lab, f"i-{each}", "old" if each < 4 else "new") for each in range(8)]
    for server in servers:
        await server.open()
        lab.store.put(f"servers/{server.id}", server.entry())

    def publish(version, service, timeout_ms):
        lab.store.put("op/config", labs.configuration(
            version, [labs.route("look", timeout_ms=timeout_ms, service=service)], ["old", "new"]))
        lab.note("operator", f"version {version} is acked: to the service '{service}'")

    publish(3, "old", 2000)
    await lab.start_vms()
    stop, answers = asyncio.Event(), []
    clients = [asyncio.create_task(labs.send_safe_requests(
        lab, vm, number, stop, lambda *answer: answers.append(answer)))
        for vm in lab.vms for number in range(2)]
    await asyncio.sleep(7)
    publish(5, "old", 2500)
    await asyncio.sleep(0.3)
    if lab.trouble:
        lab.note("store", "is down")
    lab.store.is_down = lab.trouble
    await asyncio.sleep(DOWN_S)
    lab.store.is_down = False
    up_at = time.monotonic()
    lab.note("store", "is back")
    await asyncio.sleep(0.1)
    publish(8, "new", 2500)
    acked_at = time.monotonic()
    await asyncio.sleep(8)
    stop.set()
    await asyncio.gather(*clients)
    since = max(acked_at + CONFIG_APPLY_S, up_at + STABLE_WINDOW_S)
    late = [(vm.name, sent_at) for vm, sent_at, _, body in answers
            if sent_at > since and body == b"old"]
    vms = {name for name, _ in late}
    lab.note("result", f"{len(late)} requests that were sent more than {CONFIG_APPLY_S} s after the "
                       f"ack of version 8 and {STABLE_WINDOW_S} s after the outage were run by the "
                       f"old service, through {len(vms)} of {len(lab.vms)} VMs; the last was sent "
                       f"{max((at for _, at in late), default=acked_at) - acked_at:.2f} s after "
                       "the ack")
    return not late


labs.run(case, HERE / "record.txt")
