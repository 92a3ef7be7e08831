"""A node is restarted after it confirmed that its upstream leaves; status reports that the upstream sent before arrive late."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import ask, call, desired_state, new_id, route, run_case  # noqa: E402

# The small sites' bounds.
CONTACT_S = 3.0
DRAIN_S = 2.5
# How late the last two reports before the leave arrive, and how long the upstream serves on after the confirmation.
LATE_S = 4.1
SERVES_ON_S = 8.0
HOST, PATH = "orders.example", "/order/"


async def report_late(mesh, upstream):
    """Sends a status report now, which the network delivers LATE_S later."""
    body, instance = upstream.report(), upstream.id
    mesh.record(f"{instance} sends report {body['status']['sequence']} ({upstream.phase}), which is delayed")
    await asyncio.sleep(LATE_S)
    try:
        answer = await call(upstream.node.control, "PUT", f"/chicoryspar/instances/{instance}", body, timeout=1.0)
        mesh.record(f"report {body['status']['sequence']} of {instance} arrives: {answer.status}")
    except (OSError, ConnectionError, asyncio.TimeoutError) as error:
        mesh.record(f"report {body['status']['sequence']} of {instance} arrives: {type(error).__name__}")


async def main(mesh, trouble):
    await mesh.store.start()
    entry = await mesh.add("sidecar-a-1", "catalogue")
    leaver_node = await mesh.add("sidecar-a-2", "orders", work_s=0.3)
    await mesh.add("sidecar-a-3", "orders", work_s=0.3)
    leaver = mesh.upstreams[1]
    routes = [route("orders", HOST, PATH, "orders", "unsafe"), route("titles", "titles.example", "/title/", "catalogue")]
    mesh.store.put("config", "main", desired_state(7, routes, ["catalogue", "orders"]))
    await mesh.start()
    await mesh.wait_served([(it, HOST, PATH + "ready") for it in mesh.nodes])
    await asyncio.sleep(8 - (time.monotonic() - mesh.begin))
    results = {}

    async def order():
        request_id = new_id()
        status, _ = await ask(entry.callers, "POST", HOST, PATH + "x", timeout_ms=3000, body=b"{}", request_id=request_id)
        results[request_id] = status
        mesh.record(f"order {request_id}: {status or _}")

    tasks = []

    async def send_orders():
        while True:
            tasks.append(asyncio.create_task(order()))
            await asyncio.sleep(0.05)

    sender = asyncio.create_task(send_orders())
    await asyncio.sleep(3)
    # The last two reports before the leave are held up; the leave itself is not.
    leaver.beats.cancel()
    late = [asyncio.create_task(report_late(mesh, leaver))]
    await asyncio.sleep(1.5)
    late.append(asyncio.create_task(report_late(mesh, leaver)))
    await asyncio.sleep(1.4)
    leaver.phase = "leaving"
    answer = await call(leaver_node.control, "DELETE", f"/chicoryspar/instances/{leaver.id}", timeout=1.0)
    left_at = time.monotonic()
    mesh.record(f"{leaver.id} leaves: {answer.status}")
    if answer.status >= 300:
        raise AssertionError("the leave wasn't confirmed")
    started_at = left_at
    if trouble:
        await asyncio.sleep(0.2)
        await leaver_node.kill()
        mesh.record(f"{leaver_node.name}: its process is killed")
        await asyncio.sleep(0.4)
        await leaver_node.start()
        started_at = time.monotonic()
        mesh.record(f"{leaver_node.name}: its process is started")
    await asyncio.sleep(left_at + SERVES_ON_S - time.monotonic())
    mesh.record(f"{leaver.id} ends; it holds {leaver.running} requests")
    await leaver.stop()
    sender.cancel()
    await asyncio.gather(*tasks, *late)
    counts_from = max(left_at + DRAIN_S, started_at + CONTACT_S if trouble else 0)
    for at, request_id, *_ in leaver.runs:
        if at > left_at:
            mesh.record_file.write(f"{at - mesh.begin:8.3f} {leaver.id} runs {request_id}\n")
    reached = [it for it in leaver.runs if it[0] > counts_from]
    lost = [it for it in reached if results.get(it[1]) != 200]
    text = (
        f"{len(reached)} of {len(results)} orders reached the leaving upstream later than drain ({DRAIN_S} s) after the confirmation, sent "
        f"on by machines in touch; the last {(reached[-1][0] - left_at if reached else 0):.1f} s after it; {len(lost)} of them were lost "
        f"as it ended"
    )
    mesh.record(text)
    print(text)
    return bool(reached)


run_case(main, Path(__file__).parent)
