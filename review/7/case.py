"""Two owners of one tenant's allotment: a machine is cut off from the other machines and its process is restarted during the cut."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins2 import desired_state, new_id, pick_port, read_message, route, run_case  # noqa: E402

NODES = 6
RATE_PER_S = 100
BURST = 20
# The site's figures: hot_tenant x, node_cut for_s, and the bounds of QUOTA.
HOT_X = 7.5
CUT_S = 5.5
WINDOW_S = 5
OVERAGE = 0.1
SLACK = 20
BOUND = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK
HOST = "grids.example"
PATH = "/puje670/"
KEY = "key-of-the-hot-tenant"
CLIENTS_PER_NODE = 12


class Link:
    """What other machines reach a node through: forwards TCP and UDP, and drops everything between the two sides of a cut."""

    def __init__(self, mesh, node):
        self.mesh, self.node = mesh, node
        self.port = node.advertised = pick_port()
        self.sockets = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        link = self

        class Front(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                link.front = transport

            def datagram_received(self, data, sender):
                asyncio.ensure_future(link.forward(data, sender))

        await loop.create_datagram_endpoint(Front, local_addr=("127.0.0.1", self.port))

    def is_cut(self, other):
        """Whether the node with this name is on the other side of the cut."""
        return (other in self.mesh.cut) != (self.node.name in self.mesh.cut)

    async def forward(self, data, sender):
        """Sends a datagram on from a socket of its own for each sender, so that the replies find their way back."""
        loop, link = asyncio.get_running_loop(), self
        name = next((it.name for it in self.mesh.nodes if it.peers == sender[1]), "")
        if self.is_cut(name):
            return
        if sender not in self.sockets:
            self.sockets[sender] = None

            class Back(asyncio.DatagramProtocol):
                def datagram_received(self, reply, _):
                    if not link.is_cut(name):
                        link.front.sendto(reply, sender)

            transport, _ = await loop.create_datagram_endpoint(Back, remote_addr=("127.0.0.1", self.node.peers))
            self.sockets[sender] = transport
        if self.sockets[sender]:
            self.sockets[sender].sendto(data)

    async def _serve(self, reader, writer):
        other_writer = None
        try:
            # The first frame names the node that opened the connection.
            data = await reader.read(65536)
            name = next((it.name for it in self.mesh.nodes if it.name.encode() in data), "")
            while self.is_cut(name):
                await asyncio.sleep(0.05)
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.node.peers)
            other_writer.write(data)
            await asyncio.gather(self._pump(name, reader, other_writer), self._pump(name, other_reader, writer))
        except (OSError, ConnectionError):
            pass
        finally:
            for it in (writer, other_writer):
                if it:
                    it.close()

    async def _pump(self, name, reader, writer):
        while True:
            data = await reader.read(65536)
            while self.is_cut(name):
                await asyncio.sleep(0.05)
            if not data:
                writer.close()
                return
            writer.write(data)
            await writer.drain()


class Tenant:
    """Clients of one tenant on every machine; each keeps its connection and sends at a fixed rate."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.x = 0.6
        self.tasks = [asyncio.create_task(self._client(node)) for node in mesh.nodes for _ in range(CLIENTS_PER_NODE)]

    async def _client(self, node):
        reader = writer = None
        at = time.monotonic() + random.random() * 0.1
        while True:
            at += random.uniform(0.5, 1.5) * NODES * CLIENTS_PER_NODE / (RATE_PER_S * self.x)
            await asyncio.sleep(max(0, at - time.monotonic()))
            at = max(at, time.monotonic() - 0.2)
            request_id = new_id()
            try:
                if writer is None:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", node.callers), 1)
                writer.write(
                    f"GET {PATH}x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request_id}\r\nX-Deadline-Ms: 1000\r\n"
                    f"Authorization: Bearer {KEY}\r\n\r\n".encode()
                )
                answer = await asyncio.wait_for(read_message(reader, is_answer=True), 1.2)
                result = str(answer.status) if answer else "closed"
            except (OSError, ConnectionError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                answer, result = None, type(error).__name__
                if writer is None:
                    # Clients allow a new connection one second.
                    at = time.monotonic() + 1
            if answer is None and writer:
                writer.close()
                writer = None
            self.mesh.record(f"{node.name} {request_id} {result}")

    def stop(self):
        for it in self.tasks:
            it.cancel()


async def main(mesh, trouble):
    mesh.cut = set()
    await mesh.store.start()
    for n in range(NODES):
        await mesh.add(f"sidecar-a-{n + 1}", "grids", slots=67)
    for it in mesh.nodes:
        await Link(mesh, it).start()
    tenants = [{"name": "hot", "apiKeys": [KEY], "priority": 1, "ratePerS": RATE_PER_S, "burst": BURST}]
    mesh.store.put("config", "main", desired_state(7, [route("r", HOST, PATH, "grids")], ["grids"], tenants=tenants))
    await mesh.start()
    for it in mesh.nodes:
        await mesh.wait_until(f"{it.name} is ready", it.is_ready)
    # Traffic starts 10 s after the machines do.
    await asyncio.sleep(10 - (time.monotonic() - mesh.begin))
    tenant = Tenant(mesh)
    await asyncio.sleep(4)
    tenant.x = HOT_X
    mesh.record(f"the tenant is hot: {HOT_X} times its limit")
    await asyncio.sleep(6)
    lonely = mesh.nodes[0]
    if trouble:
        # The upstream beside it reports again while the process is down, so that the new process hears of it at once.
        sequence = mesh.upstreams[0].sequence
        while mesh.upstreams[0].sequence == sequence:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.8)
        mesh.cut = {lonely.name}
        mesh.record(f"{lonely.name} is cut off from the other machines")
        await asyncio.sleep(0.3)
        await lonely.kill()
        mesh.record(f"{lonely.name}: its process is killed")
        await asyncio.sleep(0.5)
        await lonely.start()
        mesh.record(f"{lonely.name}: its process is started")
        await asyncio.sleep(CUT_S - 0.8)
        mesh.cut = set()
        mesh.record("the cut ends")
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(4)
    tenant.stop()
    runs = sorted((it[0], it[1], up.node.name) for up in mesh.upstreams for it in up.runs if it[4].get("x-tenant") == "hot")
    for at, request_id, name in runs:
        mesh.record_file.write(f"{at - mesh.begin:8.3f} ran {request_id} beside {name}\n")
    most, begin, first = 0, 0, 0
    for n, (at, _, _) in enumerate(runs):
        while runs[first][0] <= at - WINDOW_S:
            first += 1
        if n - first + 1 > most:
            most, begin = n - first + 1, runs[first][0]
    by_node = {}
    for at, _, name in runs:
        if begin <= at <= begin + WINDOW_S:
            by_node[name] = by_node.get(name, 0) + 1
    text = f"fullest {WINDOW_S} s: {most} requests ran, from {begin - mesh.begin:.1f} s on; bound {BOUND:.0f}; ran beside {by_node}"
    mesh.record(text)
    print(text)
    return most > BOUND


run_case(main, Path(__file__).parent)
