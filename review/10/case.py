"""A desired state gives a tenant its 257th key; every node stays at the version before it."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import ask, desired_state, new_id, route, run_case  # noqa: E402

CONFIG_S = 3.0
HOST = "grids.example"
KEYS = [f"key-of-the-large-tenant-{n}" for n in range(300)]


def state(version, key_count, routes, other_keys):
    tenants = [
        {"name": "large", "apiKeys": KEYS[:key_count], "priority": 1, "ratePerS": 550, "burst": 550},
        {"name": "small", "apiKeys": other_keys, "priority": 1, "ratePerS": 50, "burst": 50},
    ]
    return desired_state(version, routes, ["grids"], tenants=tenants)


async def main(mesh, trouble):
    await mesh.store.start()
    for n in range(2):
        await mesh.add(f"sidecar-a-{n + 1}", "grids")
    kept, dropped = route("kept", HOST, "/kept/", "grids"), route("dropped", HOST, "/dropped/", "grids")
    mesh.store.put("config", "main", state(7, 200, [kept, dropped], ["small-1", "small-2"]))
    await mesh.start()

    async def send(node, path, key):
        request_id = new_id()
        status, text = await ask(node.callers, "GET", HOST, path, 1000, headers=[("Authorization", f"Bearer {key}")], request_id=request_id)
        mesh.record(f"{node.name} {request_id} {path} with {key}: {status or text}")
        return status

    for it in mesh.nodes:

        async def serves(it=it):
            return await send(it, "/kept/x", "small-2") == 200

        await mesh.wait_until(f"{it.name} serves", serves)
    await asyncio.sleep(5)
    mesh.store.put("config", "main", state(8, 257 if trouble else 256, [kept], ["small-1"]))
    confirmed_at = time.monotonic()
    mesh.record("version r8 is confirmed: a route dropped, a key of 'small' taken away, keys of 'large' added")
    await asyncio.sleep(CONFIG_S)
    counts = {"run on the dropped route": 0, "run with the key that was taken away": 0, "refused with 401 though the key is there": 0}
    sent = 0
    while time.monotonic() < confirmed_at + CONFIG_S + 10:
        for it in mesh.nodes:
            counts["run on the dropped route"] += await send(it, "/dropped/x", "small-1") == 200
            counts["run with the key that was taken away"] += await send(it, "/kept/x", "small-2") == 200
            counts["refused with 401 though the key is there"] += await send(it, "/kept/x", KEYS[250]) == 401
            sent += 1
        await asyncio.sleep(0.2)
    text = f"later than config ({CONFIG_S:.0f} s) after the confirmation, of {sent} each: {counts}"
    mesh.record(text)
    print(text)
    return any(counts.values())


run_case(main, Path(__file__).parent)
