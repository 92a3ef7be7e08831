"""All processes are killed and restarted; the clients of a machine whose upstream reports last are refused for good."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import ask, desired_state, new_id, route, run_case  # noqa: E402

RECOVERY_S = 15.0
HOST, PATH = "orders.example", "/order/"


async def main(mesh, trouble):
    await mesh.store.start()
    first = await mesh.add("sidecar-a-1", "orders")
    await mesh.add("sidecar-a-2", "catalogue")
    routes = [route("orders", HOST, PATH, "orders", "unsafe"), route("titles", "titles.example", "/title/", "catalogue")]
    mesh.store.put("config", "main", desired_state(7, routes, ["catalogue", "orders"]))
    for it in mesh.nodes:
        await it.start()
    for it in mesh.nodes:
        await mesh.wait_until(f"{it.name} is ready", it.is_ready)
    # The status reports of the two machines are 0.7 s apart.
    await mesh.upstreams[0].start()
    await asyncio.sleep(0.7)
    await mesh.upstreams[1].start()
    await asyncio.sleep(8)
    results = []

    async def order():
        request_id, sent_at = new_id(), time.monotonic()
        status, answer = await ask(first.callers, "POST", HOST, PATH + "x", 2000, b"{}", request_id=request_id)
        results.append((sent_at, status))
        mesh.record(f"order {request_id}: {status or answer}")

    async def send_orders():
        while True:
            tasks.append(asyncio.create_task(order()))
            await asyncio.sleep(0.1)

    tasks = []
    sender = asyncio.create_task(send_orders())
    await asyncio.sleep(3)
    fault_at = back_at = time.monotonic()
    if trouble:
        # Just after a report of the first machine, so that its next one comes after that of the second.
        sequence = mesh.upstreams[0].sequence
        while mesh.upstreams[0].sequence == sequence:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        fault_at = time.monotonic()
        for it in mesh.nodes:
            await it.kill()
        mesh.record("all processes of the system are killed")
        await asyncio.sleep(0.4)
        for it in mesh.nodes:
            await it.start()
        back_at = time.monotonic()
        mesh.record("they are started")
    await asyncio.sleep(back_at + RECOVERY_S + 15 - time.monotonic())
    sender.cancel()
    await asyncio.gather(*tasks)
    before = [it for at, it in results if at < fault_at]
    after = [it for at, it in results if at > back_at + RECOVERY_S]
    text = (
        f"orders served: {before.count(200)} of {len(before)} before the fault, {after.count(200)} of {len(after)} sent later than "
        f"recovery ({RECOVERY_S:.0f} s) after it; the upstream reported {mesh.upstreams[0].sequence} times"
    )
    mesh.record(text)
    print(text)
    if before.count(200) * 4 < len(before):
        raise AssertionError("too few orders were served before the fault")
    return after.count(200) * 4 < len(after)


run_case(main, Path(__file__).parent)
