"""A node is killed and restarted while its upstream runs on; the calls that the running orders make are refused for good."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import ask, desired_state, new_id, route, run_case  # noqa: E402

ORDERS = 24
ORDER_S = 3.0
HOST, PATH = "subs.example", "/renew/"
CALLED_HOST, CALLED_PATH = "archive.example", "/index/"
KEY = "key-of-a-tenant"
# Ten refusals from machines out of touch don't break the rule.
ALLOWED = 10


async def main(mesh, trouble):
    calls = []

    async def run_order(upstream, request):
        """An order: half of its work, then a call through its own node, then the rest. It goes on if its connection closes."""
        request_id = request.header("x-request-id")
        begun = time.monotonic()
        await asyncio.sleep(ORDER_S / 2)
        for n in range(100):
            status, _ = await ask(upstream.node.callers, "GET", CALLED_HOST, CALLED_PATH + "x", 1000, request_id=f"{request_id}.{n}")
            mesh.record(f"order {request_id} at {upstream.node.name}: its call {request_id}.{n} is answered {status or _}")
            calls.append((time.monotonic(), upstream.node.name, status))
            # Calls are sent again while the node isn't there, or says that they haven't run.
            if status not in (0, 503) or time.monotonic() - begun > 8:
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(ORDER_S / 2)
        mesh.record(f"order {request_id} ends with {'success' if status == 200 else 'failure'}")
        return upstream.success(request_id)

    await mesh.store.start()
    entry = await mesh.add("sidecar-a-1", "grids")
    node = await mesh.add("sidecar-a-2", "subs", slots=86)
    await mesh.add("sidecar-a-3", "archive")
    routes = [
        route("renew", HOST, PATH, "subs", "unsafe", timeout="5000ms", target="4000ms"),
        route("index", CALLED_HOST, CALLED_PATH, "archive"),
    ]
    tenants = [{"name": "tenant", "apiKeys": [KEY], "priority": 1}]
    mesh.store.put("config", "main", desired_state(7, routes, ["subs", "archive", "grids"], tenants=tenants))
    await mesh.start()
    for it in mesh.nodes:

        async def serves(it=it):
            headers = [("Authorization", f"Bearer {KEY}")]
            return all([(await ask(it.callers, "GET", h, p + "x", 1000, headers=headers))[0] == 200 for h, p in ((HOST, PATH), (CALLED_HOST, CALLED_PATH))])

        await mesh.wait_until(f"{it.name} serves both routes", serves)
    await asyncio.sleep(8 - (time.monotonic() - mesh.begin))
    mesh.upstreams[1].handle = run_order

    async def order():
        request_id = new_id()
        headers = [("Authorization", f"Bearer {KEY}")]
        status, text = await ask(entry.callers, "POST", HOST, PATH + "x", 5000, b"{}", headers, request_id)
        mesh.record(f"client: order {request_id} is answered {status or text}")

    orders = [asyncio.create_task(order()) for _ in range(ORDERS)]
    await asyncio.sleep(0.5)
    if trouble:
        await node.kill()
        mesh.record(f"{node.name}: its process is killed")
        await asyncio.sleep(0.3)
        await node.start()
        mesh.record(f"{node.name}: its process is started")
    await asyncio.gather(*orders)
    end = time.monotonic() + 10
    while mesh.upstreams[1].running and time.monotonic() < end:
        await asyncio.sleep(0.1)
    denied = sum(1 for it in calls if it[2] in (401, 403, 404))
    text = f"{denied} of the calls that {ORDERS} accepted orders made were answered 401; {sum(1 for it in calls if it[2] == 200)} succeeded"
    mesh.record(text)
    print(text)
    return denied > ALLOWED


run_case(main, Path(__file__).parent)
