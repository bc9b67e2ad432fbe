"""A call that waits for a connection to a server is sent to it long after the server has drained.

One of seven servers runs requests and never answers part of them (`srv_grey`, how `mute`), so the
entry VM's three connections to it are held until the time limit of the requests on them. The next
request to this server waits inside the VM for a connection. The server is taken away (`scale_in`):
it reports that it drains, serves on for drain_ms and 1.25 s more, and ends. When a connection comes
free, the VM sends it the waiting request, which ends with the server.
"""
import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins-2"))
from fleet import Client, configuration, route, run_case  # noqa: E402

HOST = "slots.example"
DRAIN_S = 3.0  # bounds.drain_ms of the small deployments
MUTE_S = 6.5  # for_s
MUTED = (False,) * 5 + (True, False, True, False, False, True)  # x = 0.27
SERVERS = 7  # One of them is a share of 0.143.
SLOTS, MAX_CONNS, WORK_S = 6, 38, 0.3
LINGER_S = 1.25  # how long the server serves after its drain time


async def case(fleet, trouble):
    await fleet.start_store()
    fleet.plan_vms([("front-a-1", "a"), ("front-b-1", "b"), ("front-c-1", "c")])
    servers = [await fleet.add_server(f"i-{i}", "slotline", "abc"[i % 3], slots=SLOTS,
                                      max_conns=MAX_CONNS, work_s=WORK_S) for i in range(SERVERS)]
    leaving = servers[0]
    await fleet.store.put("op/config", configuration(
        7, [route("slot-book", HOST, "/book/", kind="unsafe", timeout_ms=6000, attempts=2,
                  service="slotline")], [{"name": "slotline", "max_conns": MAX_CONNS}]))
    for name in fleet.plans:
        await fleet.start_vm(name)
    await fleet.wait_ready(fleet.plans)

    stop = asyncio.Event()
    numbers = itertools.count()
    answers = {}
    mute_from = None
    first_muted = asyncio.Event()
    counts = itertools.count()

    async def respond(server, writer, ident, stamp):
        if mute_from is None or fleet.record.now() > mute_from + MUTE_S:
            return False
        number = next(counts)
        if number >= len(MUTED) or not MUTED[number]:
            return False
        fleet.record.add("never-answered", server=server.id, request=ident)
        first_muted.set()
        return True

    async def client():
        connection = Client(fleet, fleet.plans["front-a-1"]["front"])
        while not stop.is_set():
            ident = f"q{next(numbers)}"
            answer = await connection.send(ident, HOST, "/book/1", 6000, method="POST", body=b"slot")
            answers[ident] = answer.status
            if answer.status != 200:
                await asyncio.sleep(0.2)

    clients = [asyncio.create_task(client()) for _ in range(56)]
    await asyncio.sleep(8)
    if trouble:
        mute_from = fleet.record.now()
        leaving.respond = respond
        await asyncio.wait_for(first_muted.wait(), 5)
    await asyncio.sleep(1.6)
    await leaving.drain()
    drained = fleet.record.now()
    await asyncio.sleep(DRAIN_S + LINGER_S)
    await leaving.end()
    await fleet.store.remove("servers/" + leaving.id)
    await asyncio.sleep(2)
    stop.set()
    await asyncio.gather(*clients)
    late = [(at - drained, ident) for at, ident, *_ in leaving.arrivals if at - drained > DRAIN_S]
    ran = {ident for _, ident in leaving.runs}
    fleet.record.add("seen", requests=len(answers), at_leaving=len(leaving.runs),
                     ok=sum(1 for status in answers.values() if status == 200))
    return [f"DRAIN: {ident} reached {leaving.id} {after:.2f} s after the store had accepted that "
            f"it drains; ran={ident in ran}; its client got {answers.get(ident)}"
            for after, ident in late]


run_case(case, pathlib.Path(__file__).parent)
