"""A server drains; then the store is slow for a while and has discarded its history.

Four VMs are in one zone, as after a machine was added, so one of them follows the others.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import lab as labs  # noqa: E402

ZONES = ["zone-a", "zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"]
DRAIN_S = 3.0
STABLE_WINDOW_S = 4.0
SLOW_S = 1.5
# A slow answer takes 50 times as long as the usual 4 ms.
SLOW_FACTOR = 50
# How long the server serves on after its report. The pages: for drain_ms and a little longer, at
# times many seconds.
SERVES_ON_S = 14.0


def report(lab, server):
    lab.store.put(f"servers/{server.id}", server.entry())
    lab.note("store", f"{server.id} reports {server.state}")


async def case(lab):
    servers = [labs.Server(lab, f"i-{each}", "lookup") for each in range(8)]
    # The other servers of the installation, which fill three pages of a listing.
    others = [labs.Server(lab, f"j-{each:03}", f"shard-{each // 2}") for each in range(100)]
    for server in servers + others:
        if server in servers:
            await server.open()
        lab.store.put(f"servers/{server.id}", server.entry())
    lab.store.put("op/config", labs.configuration(
        3, [labs.route("look", service="lookup")], ["lookup"]))
    await lab.start_vms()
    stop = asyncio.Event()
    clients = [asyncio.create_task(labs.send_safe_requests(lab, vm, number, stop))
               for vm in lab.vms for number in range(2)]
    await asyncio.sleep(7)
    servers[0].state = "draining"
    report(lab, servers[0])
    await asyncio.sleep(0.2)
    servers[1].state = "draining"
    report(lab, servers[1])
    acked_at = time.monotonic()
    await asyncio.sleep(0.1)
    if lab.trouble:
        lab.note("store", "is slow and has discarded its history")
        lab.store.discard_history()
        lab.store.answer_s *= SLOW_FACTOR
    await asyncio.sleep(SLOW_S)
    calm_at = time.monotonic()
    if lab.trouble:
        lab.note("store", "is as usual again")
        lab.store.answer_s = lab.store.USUAL_ANSWER_S
    await asyncio.sleep(SERVES_ON_S)
    stop.set()
    await asyncio.gather(*clients)
    # Machines are in touch from `STABLE_WINDOW_S` after the end of the impairment on.
    since = max(acked_at + DRAIN_S, calm_at + STABLE_WINDOW_S)
    late = [(at, identity) for at, identity in servers[1].ran if at > since]
    vms = sorted({identity.rsplit("-", 2)[0] for _, identity in late})
    lab.note("result", f"{len(late)} requests reached {servers[1].id} more than {DRAIN_S} s after "
                       f"the ack and {STABLE_WINDOW_S} s after the impairment, from {vms}; the "
                       f"last {max((at for at, _ in late), default=acked_at) - acked_at:.2f} s "
                       "after the ack")
    return not late


labs.run(case, HERE / "record.txt", ZONES)
