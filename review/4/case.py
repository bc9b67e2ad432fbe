"""Servers are taken away one after the other; meanwhile the store cuts the watches that wait.

The store is sound all the while: it answers every read at once, before and after the cut.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins"))
import lab as labs  # noqa: E402

DRAIN_S = 3.0
STABLE_WINDOW_S = 4.0
# How long a server serves on after its entry was removed. The pages: for drain_ms and a little
# longer, at times many seconds.
SERVES_ON_S = 9.0
# From one removal to the next.
GAP_S = 0.65


async def case(lab):
    servers = [labs.Server(lab, f"i-{each}", "lookup") for each in range(8)]
    for server in servers:
        await server.open()
        lab.store.put(f"servers/{server.id}", server.entry())
    lab.store.put("op/config", labs.configuration(
        3, [labs.route("look", service="lookup")], ["lookup"]))
    await lab.start_vms()
    stop = asyncio.Event()
    clients = [asyncio.create_task(labs.send_safe_requests(lab, vm, number, stop))
               for vm in lab.vms for number in range(2)]
    await asyncio.sleep(7)
    gone = {}

    def take_away(server):
        lab.store.delete(f"servers/{server.id}")
        gone[server] = time.monotonic()
        lab.note("store", f"the entry of {server.id} is removed")

    take_away(servers[0])
    await asyncio.sleep(GAP_S - 0.05)
    cut_at = time.monotonic()
    if lab.trouble:
        lab.note("store", f"cuts the {lab.store.cut_watches()} watches that are waiting")
    await asyncio.sleep(0.05)
    take_away(servers[1])
    await asyncio.sleep(SERVES_ON_S)
    stop.set()
    await asyncio.gather(*clients)
    is_broken = False
    for server, since in gone.items():
        late = [at for at, _ in server.ran if at > since + DRAIN_S]
        is_broken = is_broken or bool(late)
        if not late:
            lab.note("result", f"{server.id}: no request later than {DRAIN_S} s after the ack")
            continue
        calm = sum(at > cut_at + STABLE_WINDOW_S for at in late)
        lab.note("result", f"{server.id}: {len(late)} requests later than {DRAIN_S} s after the "
                           f"removal was acked, the last {late[-1] - since:.2f} s after it; "
                           f"{calm} of them also later than {STABLE_WINDOW_S} s after the cut")
    return not is_broken


labs.run(case, HERE / "record.txt")
