"""Stand-ins for the scripts of review 2: the platform's store, application upstreams, clients and the start of nodes.

They follow the users' pages (PROTOCOL, DEPLOY). Only the standard library is used. Everything runs on one asyncio loop.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
NODE = ROOT / "target" / "bin" / "chicoryspard"
HEARTBEAT_S = 1.5
# The store keeps its history for 20 s; the runs are shorter than that is long in events.
MAX_EVENTS = 10000


class CannotRun(Exception):
    """The case can't run here: exit code 2."""


PICKED_PORTS = set()


def pick_port():
    """Returns a port that is free for TCP and UDP and that no one else in this run was given."""
    while True:
        port = random.randint(20000, 31900)
        if port in PICKED_PORTS:
            continue
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as it:
                    it.bind(("127.0.0.1", port))
        except OSError:
            continue
        PICKED_PORTS.add(port)
        return port


class Message:
    """A request or an answer: start line, header fields by lower-case name, body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader, is_answer=False, is_head=False):
    """Reads one HTTP/1.1 message; None at the end of the connection before its first byte."""
    head = b""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionError("the message ends in its head") from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    elif "content-length" in headers and not is_head:
        body = await reader.readexactly(int(headers["content-length"]))
    elif is_answer and not is_head and "content-length" not in headers:
        status = int(lines[0].split(" ")[1])
        if status not in (204, 304) and status >= 200:
            body = await reader.read()
    return Message(lines[0], headers, body)


def make_answer(status, body=b"", headers=(), close=False):
    reasons = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if close:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(port, verb, path, body=None, timeout=2.0, host="127.0.0.1"):
    """One call on a connection of its own; returns the Message."""

    async def run():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write(
                f"{verb} {path} HTTP/1.1\r\nHost: {host}:{port}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                f"Connection: close\r\n\r\n".encode()
                + data
            )
            return await read_message(reader, is_answer=True)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


class Store:
    """The platform's metadata store: objects by kind and name, one revision counter, watches by long polling."""

    def __init__(self):
        self.port = 0
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = asyncio.Event()
        self.writers = set()
        # Called with (verb, path) before a call is served; may wait, or return bytes that replace the answer.
        self.interfere = None

    async def start(self):
        self.port = pick_port()
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 24)

    def put(self, kind, name, spec):
        """Writes an object as the operator does; returns its revision."""
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known["metadata"]["createdAt"] if known else self.revision
        item = {
            "metadata": {"name": name, "modRevision": self.revision, "createdAt": created, "finalizers": [], "deletionRequested": False},
            "spec": spec,
            "status": known["status"] if known else None,
        }
        self.objects[(kind, name)] = item
        self._publish(kind, False, item)
        return self.revision

    def _publish(self, kind, deleted, item):
        self.events.append((self.revision, kind, {"deleted": deleted, "object": item}))
        del self.events[:-MAX_EVENTS]
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                verb, target, _ = request.start.split(" ")
                answer = await self.interfere(verb, target) if self.interfere else None
                writer.write(answer or await self._answer(verb, target, request.body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, verb, target, body):
        path, _, text = target.partition("?")
        query = dict(it.split("=", 1) for it in text.split("&") if "=" in it)
        parts = path.strip("/").split("/")
        if parts[:2] != ["chicoryspar", "objects"] or len(parts) < 3:
            return make_answer(404)
        kind, name = parts[2], parts[3] if len(parts) > 3 else ""
        if verb == "GET" and not name:
            return await self._list_or_watch(kind, query)
        item = self.objects.get((kind, name))
        if verb == "GET":
            return self._json(200, item) if item else make_answer(404)
        sent = json.loads(body) if body else {}
        if verb == "POST":
            name = sent["metadata"]["name"]
            known = self.objects.get((kind, name))
            if known:
                return self._json(409, known)
            self.put(kind, name, sent.get("spec"))
            return self._json(200, self.objects[(kind, name)])
        if not item:
            return make_answer(404)
        expected = sent.get("metadata", {}).get("modRevision") or query.get("modRevision")
        if expected and int(expected) != item["metadata"]["modRevision"]:
            return self._json(409, item)
        if verb == "DELETE":
            self.revision += 1
            del self.objects[(kind, name)]
            self._publish(kind, True, item)
            return self._json(200, item)
        if len(parts) > 4:
            item["status"] = sent.get("status")
        elif item["spec"] != sent.get("spec"):
            self.put(kind, name, sent.get("spec"))
        return self._json(200, self.objects[(kind, name)])

    async def _list_or_watch(self, kind, query):
        if "watch" not in query:
            items = [it for key, it in sorted(self.objects.items()) if key[0] == kind and key[1] > query.get("after", "")]
            return self._json(200, {"items": items, "hasMore": False, "at": self.revision})
        since, end = int(query["watch"]), time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            changed = self.changed
            found = [event for revision, event_kind, event in self.events if revision > since and event_kind == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                return self._json(200, {"events": found, "at": self.revision})
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    @staticmethod
    def _json(status, value):
        return make_answer(status, json.dumps(value).encode(), [("Content-Type", "application/json")])


class Upstream:
    """An application upstream beside one node. Keeps a list of what it ran: (time, request id, method, path, headers, body)."""

    def __init__(self, mesh, node, service, slots=36, work_s=0.02):
        self.mesh = mesh
        self.node = node
        self.service = service
        self.slots = slots
        self.work_s = work_s
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.port = node.app_port
        self.sequence = 0
        self.phase = "ready"
        self.runs = []
        self.running = 0
        self.beats = None
        self.is_up = False
        self.writers = set()
        # Called with (upstream, request) instead of the usual run; returns the answer's bytes.
        self.handle = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 24)
        self.is_up = True
        self.beats = asyncio.create_task(self._beat())

    async def stop(self):
        """Ends as a process does: its port closes, and its connections are reset."""
        self.is_up = False
        self.beats.cancel()
        self.server.close()
        for it in list(self.writers):
            it.transport.abort()

    def report(self):
        self.sequence += 1
        return {
            "address": f"127.0.0.1:{self.port}",
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.node.zone, "slots": self.slots},
            "status": {"phase": self.phase, "sequence": self.sequence, "coldRemaining": "0ms"},
        }

    async def send_report(self):
        """Sends a status report; returns whether it was confirmed within a second."""
        try:
            answer = await call(self.node.control, "PUT", f"/chicoryspar/instances/{self.id}", self.report(), timeout=1.0)
            return answer is not None and answer.status < 300
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            return False

    async def _beat(self):
        await asyncio.sleep(random.random() * 0.2)
        while True:
            confirmed = await self.send_report()
            await asyncio.sleep(HEARTBEAT_S if confirmed else 0.3)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return ("X-Server-Load", f"{self.running},0,{self.slots}")

    async def _answer(self, request):
        if request.start.startswith("GET /healthz "):
            return make_answer(200 if self.phase == "ready" else 503, b"", [("X-Instance-Id", self.id), self.load()])
        expected = request.header("x-expected-instance")
        request_id = request.header("x-request-id")
        if expected and expected != self.id:
            return make_answer(421, b"", [("X-Instance-Id", self.id), ("X-Request-Id", request_id)])
        if self.running >= self.slots:
            return make_answer(503, b"", [("X-Not-Executed", "1"), ("X-Request-Id", request_id)])
        verb, target, _ = request.start.split(" ")
        self.runs.append((time.monotonic(), request_id, verb, target, dict(request.headers), request.body))
        self.running += 1
        try:
            if self.handle:
                return await self.handle(self, request)
            await asyncio.sleep(self.work_s)
            return self.success(request_id)
        finally:
            self.running -= 1

    def success(self, request_id, body=b"done\n"):
        return make_answer(200, body, [("X-Request-Id", request_id), ("X-Response-Signature", f"{request_id}.{len(body)}"), self.load()])


class NodeProcess:
    """One node: its settings, as deploy/node.ini has them, and its process."""

    def __init__(self, mesh, name, zone, region, service):
        self.mesh, self.name, self.zone, self.region, self.service = mesh, name, zone, region, service
        self.callers, self.control, self.ready, self.peers, self.operators, self.app_port = (pick_port() for _ in range(6))
        self.advertised = None
        self.process = None
        self.log = mesh.directory / f"{name}.log"

    def settings(self):
        bounds = self.mesh.bounds
        text = f"""[node]
name = {self.name}
region = {self.region}
zone = {self.zone}
service = {self.service}

[listen]
callers = 127.0.0.1:{self.callers}
backend = 127.0.0.1:{self.control}
readiness = 127.0.0.1:{self.ready}
peers = 127.0.0.1:{self.peers}
operators = 127.0.0.1:{self.operators}

[platform]
address = 127.0.0.1:{self.mesh.store.port}
dialect = sidecar
watchers_per_zone = 4
start_window_ms = 100
change_bound = {bounds['config']}

[limits]
max_body_bytes = 7340032
max_buffered_bytes = 67108864
max_event_bytes = 131072

[repeats]
share = {bounds['budgetRatio']}
extra = {bounds['budgetExtraRetries']}
window = {bounds['budgetWindow']}

[stop]
accept_ms = 2500
kill_after = {bounds['grace']}
"""
        if self.advertised:
            text += f"\n[advertise]\npeers = 127.0.0.1:{self.advertised}\n"
        return text

    async def start(self):
        path = self.mesh.directory / f"{self.name}.ini"
        path.write_text(self.settings())
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(NODE), f"--settings={path}", stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, cwd=str(ROOT)
            )

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.send(signal.SIGKILL)
        await self.process.wait()

    async def is_ready(self):
        try:
            answer = await call(self.ready, "GET", "/chicoryspar/readyz", timeout=1.0)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            return False


class Mesh:
    """A store, nodes and their upstreams, and the record of the run."""

    BOUNDS = {"config": "2500ms", "grace": "6s", "budgetRatio": 0.2, "budgetExtraRetries": 48, "budgetWindow": "10s"}

    def __init__(self, folder, bounds=None):
        if not NODE.exists():
            raise CannotRun(f"{NODE.relative_to(ROOT)} isn't built")
        self.directory = Path(tempfile.mkdtemp(prefix="chicoryspar-review-"))
        self.bounds = {**self.BOUNDS, **(bounds or {})}
        self.record_file = open(Path(folder) / "record.txt", "w")
        self.begin = time.monotonic()
        self.store = Store()
        self.nodes = []
        self.upstreams = []

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.begin:8.3f} {text}\n")

    async def add(self, name, service, zone="a", region="r", **upstream):
        node = NodeProcess(self, name, zone, region, service)
        self.nodes.append(node)
        self.upstreams.append(Upstream(self, node, service, **upstream))
        return node

    async def start(self):
        for it in self.nodes:
            await it.start()
        for it in self.upstreams:
            await it.start()

    async def wait_until(self, text, check, timeout=20):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await check():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"not within {timeout} s: {text}")

    async def wait_served(self, requests, timeout=20):
        """Waits until each (node, host, path) is answered with 200."""
        for node, host, path in requests:

            async def check(node=node, host=host, path=path):
                status, _ = await ask(node.callers, "GET", host, path, timeout_ms=1000)
                return status == 200

            await self.wait_until(f"{node.name} serves {path}", check, timeout)

    async def end(self):
        for it in self.upstreams:
            if it.beats:
                it.beats.cancel()
        for it in self.nodes:
            if it.process and it.process.returncode is None:
                it.send(signal.SIGCONT)
                it.send(signal.SIGKILL)
                await it.process.wait()
        if os.environ.get("KEEP") == "1":
            print(f"logs: {self.directory}")
        else:
            shutil.rmtree(self.directory, ignore_errors=True)
        self.record_file.close()


def new_id():
    return f"{random.getrandbits(64):016x}"


async def ask(port, verb, host, path, timeout_ms=2000, body=None, headers=(), request_id=None):
    """Sends one request on a connection of its own, as a client does. Returns (status, headers and body); status 0 without an answer."""
    request_id = request_id or new_id()

    async def run():
        reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 24)
        try:
            lines = [f"{verb} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request_id}", f"X-Deadline-Ms: {timeout_ms}"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body is not None:
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b""))
            return await read_message(reader, is_answer=True, is_head=verb == "HEAD")
        finally:
            writer.close()

    try:
        answer = await asyncio.wait_for(run(), timeout_ms / 1000)
    except asyncio.TimeoutError:
        return 0, "no answer within the time limit"
    except (OSError, ConnectionError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__
    if answer is None:
        return 0, "connection closed"
    return answer.status, answer


def route(name, host, prefix, service, kind="safe", timeout="1500ms", target="1000ms", priority=2, attempts=2):
    return {
        "name": name, "hostname": host, "pathPrefix": prefix, "routeType": kind, "timeout": timeout, "targetLatency": target,
        "priority": priority, "service": service, "maxAttempts": attempts,
    }  # fmt: skip


def desired_state(version, routes, services, **more):
    """A desired state in full, as the operator writes it."""
    return {
        "version": f"r{version}",
        "routes": routes,
        "services": [{"name": it, "healthPath": "/healthz", "maxConnections": 316, "protocol": "h1", "tls": False} for it in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
        "baseVersion": f"r{version - 1}",
        **more,
    }


def run_case(main, folder):
    """Runs main(mesh, trouble) and exits with its result: 1 the rule was broken, 0 it held, 2 the case couldn't run."""

    async def run():
        mesh = Mesh(folder)
        try:
            return await asyncio.wait_for(main(mesh, os.environ.get("TROUBLE", "1") != "0"), 110)
        finally:
            await mesh.end()

    loop = asyncio.new_event_loop()
    try:
        status = 1 if loop.run_until_complete(run()) else 0
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"can't run: {error!r}")
        status = 2
    sys.stdout.flush()
    # Connections of the stand-ins may still be open; closing them one by one isn't worth the time.
    os._exit(status)
