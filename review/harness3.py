"""A small deployment on loopback for the cases 11 to 15: nodes, and stand-ins for the platform's store, upstreams and clients.

The nodes are the deploy file's program with settings rendered from the deploy file's template. Standard library only."""

import json
import os
import re
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """What was sent, answered and run, one line each, with the seconds since the start."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()
        self.begin = time.monotonic()

    def now(self):
        return time.monotonic() - self.begin

    def add(self, text):
        with self._lock:
            self._file.write(f"{self.now():9.3f}  {text}\n")
            self._file.flush()


# HTTP


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buf = b""

    def _fill(self):
        part = self.sock.recv(65536)
        if not part:
            raise EOFError
        self.buf += part

    def head(self):
        """Returns the first line and the fields, with names in lower case."""
        while b"\r\n\r\n" not in self.buf:
            self._fill()
        head, self.buf = self.buf.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def body(self, length):
        while len(self.buf) < length:
            self._fill()
        body, self.buf = self.buf[:length], self.buf[length:]
        return body


def message(first_line, fields, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Server:
    """Serves HTTP/1.1, one thread a connection. handle(method, target, fields, body, sock) returns (status, fields, body), or None
    when it has written the answer itself; raising ConnectionError closes the connection."""

    REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 421: "Misdirected Request", 503: "Service Unavailable"}

    def __init__(self, address, handle):
        self.handle = handle
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(512)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        reader = Reader(sock)
        try:
            while True:
                line, fields = reader.head()
                method, target, _ = line.split(" ", 2)
                body = reader.body(int(fields.get("content-length", "0")))
                result = self.handle(method, target, fields, body, sock)
                if result is None:
                    continue
                status, out, content = result
                out = list(out) + [("Content-Length", len(content))]
                sock.sendall(message(f"HTTP/1.1 {status} {self.REASONS.get(status, 'Error')}", out, content))
                if ("Connection", "close") in out:
                    break
        except (OSError, EOFError, ValueError):
            pass
        finally:
            sock.close()

    def close(self):
        try:
            self.listener.shutdown(socket.SHUT_RDWR)  # wakes the thread in accept()
        except OSError:
            pass
        self.listener.close()


# The platform's store


class Store:
    """The platform's store as PROTOCOL.md tells it: objects by kind and name, one revision counter, watches."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.revision = 100
        self.kinds = {}
        self.events = []
        self.server = Server(address, self._handle)

    def put_config(self, spec):
        with self.changed:
            self._write("config", "main", spec)

    def _write(self, kind, name, spec, status=None):
        objects = self.kinds.setdefault(kind, {})
        old = objects.get(name)
        if old and old["spec"] == spec and old["status"] == status:
            return old
        self.revision += 1
        created = old["metadata"]["createdAt"] if old else self.revision
        objects[name] = {
            "metadata": {"name": name, "modRevision": self.revision, "createdAt": created, "finalizers": [], "deletionRequested": False},
            "spec": spec,
            "status": status,
        }
        self.events.append((self.revision, kind, {"object": objects[name], "deleted": False}))
        self.changed.notify_all()
        return objects[name]

    def _handle(self, method, target, fields, body, sock):
        parts = urlsplit(target)
        path = parts.path.split("/")[3:]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        with self.changed:
            status, answer = self._answer(method, path, query, json.loads(body) if body else None)
        return status, [("Content-Type", "application/json")], json.dumps(answer).encode()

    def _answer(self, method, path, query, sent):
        kind = path[0]
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and len(path) == 1 and "watch" in query:
            return self._watch(kind, int(query["watch"]), float(query.get("waitMs", "0")) / 1000)
        if method == "GET" and len(path) == 1:
            return 200, {"items": [objects[name] for name in sorted(objects)], "hasMore": False, "at": self.revision}
        if method == "POST":
            name = sent["metadata"]["name"]
            return (409, objects[name]) if name in objects else (200, self._write(kind, name, sent.get("spec")))
        name = path[1]
        if name not in objects:
            return 404, {}
        if method == "GET":
            return 200, objects[name]
        if method == "PUT":
            wanted = sent["metadata"].get("modRevision")
            if wanted is not None and wanted != objects[name]["metadata"]["modRevision"]:
                return 409, objects[name]
            old = objects[name]
            if len(path) > 2:
                return 200, self._write(kind, name, old["spec"], sent.get("status"))
            return 200, self._write(kind, name, sent.get("spec"), old["status"])
        wanted = query.get("modRevision")
        if wanted is not None and int(wanted) != objects[name]["metadata"]["modRevision"]:
            return 409, objects[name]
        gone = objects.pop(name)
        self.revision += 1
        self.events.append((self.revision, kind, {"object": gone, "deleted": True}))
        self.changed.notify_all()
        return 200, gone

    def _watch(self, kind, revision, wait):
        end = time.monotonic() + wait
        while True:
            found = [event for at, its_kind, event in self.events if at > revision and its_kind == kind]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self.revision}
            self.changed.wait(left)


# Upstreams


class Upstream:
    """An upstream as PROTOCOL.md tells it. run(request) is called for each request that runs and returns (status, body); the request is
    a dict of id, method, target, deadline_ms and body."""

    BEAT_S = 1.5

    def __init__(self, record, name, service, address, control, slots, run):
        self.record, self.name, self.service, self.address, self.control = record, name, service, address, control
        self.slots, self.run = slots, run
        self.id = "i-" + os.urandom(4).hex()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = threading.Semaphore(slots)
        self.is_leaving = False
        self.is_beating = True
        self.reporting = threading.Lock()
        self.arrivals = []
        self.server = Server(address, self._handle)
        self.beats = threading.Thread(target=self._beat, daemon=True)
        self.beats.start()

    def _handle(self, method, target, fields, body, sock):
        request_id = fields.get("x-request-id", "")
        if target == "/healthz":
            with self.running:
                return (503 if self.is_leaving else 200), [("X-Instance-Id", self.id)] + self._leaving(), b""
        echo = [("X-Request-Id", request_id)] + self._leaving()
        expected = fields.get("x-expected-instance")
        if expected and expected != self.id:
            return 421, echo + [("X-Instance-Id", self.id)], b""
        with self.running:
            self.record.add(f"upstream {self.name} runs {request_id} {method} {target}, X-Deadline-Ms {fields.get('x-deadline-ms')}")
            self.arrivals.append((self.record.now(), request_id))
            status, content = self.run({"id": request_id, "method": method, "target": target, "body": body, "fields": fields,
                                        "deadline_ms": fields.get("x-deadline-ms")})
        proof = f"{self.name}.{request_id}.{status}.{len(content)}"
        return status, [("X-Request-Id", request_id), ("X-Response-Signature", proof)] + self._leaving(), content

    def _leaving(self):
        return [("Server-Leaving", "1"), ("Connection", "close")] if self.is_leaving else []

    def _beat(self):
        while self.is_beating:
            self.report()
            time.sleep(self.BEAT_S)

    def report(self):
        """Sends a status report and returns the status of its answer, 0 for none."""
        with self.reporting:
            return self._report("draining" if self.is_leaving else "ready")

    def _report(self, phase):
        self.sequence += 1
        body = json.dumps({
            "address": f"{self.address[0]}:{self.address[1]}",
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "bangor-room", "slots": self.slots},
            "status": {"phase": phase, "sequence": self.sequence, "coldRemaining": "0ms"},
        }).encode()
        return self._call("PUT", body)

    def _call(self, method, body=b""):
        try:
            with socket.create_connection(self.control, timeout=1) as sock:
                fields = [("Host", "control"), ("Content-Type", "application/json"), ("Content-Length", len(body)), ("Connection", "close")]
                sock.sendall(message(f"{method} /chicoryspar/instances/{self.id} HTTP/1.1", fields, body))
                line, _ = Reader(sock).head()
                return int(line.split(" ")[1])
        except (OSError, EOFError, ValueError):
            return 0

    def close(self):
        self.is_beating = False
        self.server.close()


# Nodes


def render(template, values):
    """Fills in the placeholders of the deploy file's template; it uses no sections."""
    def value(match):
        found = values
        for key in match[1].split("."):
            found = found[int(key)] if isinstance(found, list) else found[key]
        return str(found)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


CONTACT_S = 4  # the longest `contact` of the sites that the cases name
BOUNDS = {"config": "2500ms", "budgetRatio": 0.2, "budgetExtraRetries": 48, "budgetWindow": "10s", "grace": "6s"}


class Node:
    """One machine's process of the deploy file."""

    def __init__(self, deployment, name, zone, region, service, ip):
        self.deployment, self.name, self.service, self.ip = deployment, name, service, ip
        port = deployment.port
        self.callers, self.ready, self.control = (ip, port + 4), (ip, port + 2), (ip, port + 6)
        self.upstream_address = (ip, port + 1)
        listen = {"outbound": self.callers, "ready": self.ready, "control": self.control}
        values = {
            "nodeName": name, "region": region, "zone": zone, "service": service, "ip": ip,
            "listenAddresses": {key: f"{at[0]}:{at[1]}" for key, at in listen.items()},
            "internalPortRange": [port + 20, port + 35],
            "platform": {"address": f"127.0.0.1:{port}"},
            "bounds": BOUNDS,
        }
        role = deployment.role
        self.settings = deployment.folder / f"{name}.ini"
        self.settings.write_text(render((ROOT / role["template"]).read_text(), values))
        self.command = [str(ROOT / role["run"].split()[0]), f"--settings={self.settings}"]
        self.process = None
        self.start()

    def start(self):
        self.started = time.monotonic()
        with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.deployment.record.add(f"node {self.name} started, process {self.process.pid}")

    def send(self, number):
        self.deployment.record.add(f"node {self.name} gets {signal.Signals(number).name}")
        os.kill(self.process.pid, number)

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, timeout=1) as sock:
                sock.sendall(message("GET /chicoryspar/readyz HTTP/1.1", [("Host", "ready"), ("Connection", "close")]))
                line, _ = Reader(sock).head()
                return line.split(" ")[1] == "200"
        except (OSError, EOFError):
            return False

    def memory_kb(self, key="VmRSS"):
        """Returns the resident memory of the process."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(key + r":\s+(\d+) kB", text)
        return int(found[1]) if found else 0

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Deployment:
    """Context of one run; ends every process that it started."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.port = self._free_ports()
        self.role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["node"]
        self.nodes, self.upstreams = [], []
        self.store = Store(("127.0.0.1", self.port))
        self.ips = iter(f"127.0.0.{n}" for n in range(11, 60))

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for it in self.upstreams:
            it.close()
        for it in self.nodes:
            it.end()
        self.store.server.close()
        if os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        self._temporary.cleanup()

    @staticmethod
    def _free_ports():
        """Returns the first of 40 ports that are free, below the ephemeral range."""
        for port in range(20000 + os.getpid() % 200 * 50, 32000, 50):
            try:
                for n in (0, 1, 2, 4, 6, 20, 35):
                    with socket.socket() as it:
                        it.bind(("127.0.0.1", port + n))
                return port
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def machine(self, service, slots, run, zone="bangor-room", region="maine-north"):
        """Starts a node with an upstream of @a service beside it; without @a run, the node alone."""
        name = f"sidecar-{zone}-{len(self.nodes) + 1}"
        node = Node(self, name, zone, region, service, next(self.ips))
        self.nodes.append(node)
        upstream = None
        if run:
            upstream = Upstream(self.record, name, service, node.upstream_address, node.control, slots, run)
            self.upstreams.append(upstream)
        return node, upstream

    def configure(self, version, routes, services, connections=316, **more):
        """Writes config/main. Routes are (prefix, type, service, timeout, objective) of the host case.example."""
        table = [
            {"name": f"r-{n}", "hostname": "case.example", "pathPrefix": prefix, "routeType": kind, "timeout": timeout,
             "targetLatency": objective, "priority": 2, "service": service, "maxAttempts": 2}
            for n, (prefix, kind, service, timeout, objective) in enumerate(routes)
        ]
        spec = {
            "version": f"r{version}", "routes": table, "baseVersion": "r1",
            "services": [{"name": name, "healthPath": "/healthz", "maxConnections": connections, "protocol": "h1", "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms"},
            **more,
        }
        self.store.put_config(spec)
        self.record.add(f"config/main r{version} confirmed")

    def wait_ready(self, probes, timeout=20):
        """Waits until each node is ready, answers each probe target with 200 a few times in a row, and is in touch, as RULES.md has it."""
        end = time.monotonic() + timeout
        for node in self.nodes:
            for target in probes:
                good = 0
                while good < 3:
                    if time.monotonic() > end:
                        raise RuntimeError(f"{node.name} isn't ready for {target}")
                    good = good + 1 if node.is_ready() and ask(node, "GET", target, 2000)["status"] == 200 else 0
                    time.sleep(0.05)
        in_touch = max(it.started for it in self.nodes) + CONTACT_S + 0.5
        time.sleep(max(0, in_touch - time.monotonic()))


# Clients


def ask(node, method, target, limit_ms, body=b"", fields=(), record=None, name=None, sock=None):
    """Sends one request as a client does and waits for its answer until the time limit. Returns a dict of id, status (0 for none), how,
    fields, body and seconds."""
    request_id = name or os.urandom(8).hex()
    begin = time.monotonic()
    result = {"id": request_id, "status": 0, "how": "", "body": b"", "fields": {}}
    out = [("Host", "case.example"), ("X-Request-Id", request_id), ("X-Deadline-Ms", limit_ms), *fields]
    if body or method in ("POST", "PUT"):
        out.append(("Content-Length", len(body)))
    if record:
        record.add(f"client at {node.name} sends {request_id} {method} {target}, X-Deadline-Ms {limit_ms}")
    own = sock is None
    try:
        sock = sock or socket.create_connection(node.callers, timeout=1)
        sock.settimeout(max(0.01, begin + limit_ms / 1000 - time.monotonic()))
        sock.sendall(message(f"{method} {target} HTTP/1.1", out, body))
        reader = Reader(sock)
        line, result["fields"] = reader.head()
        result["status"] = int(line.split(" ")[1])
        result["body"] = reader.body(int(result["fields"].get("content-length", "0")))
        result["how"] = "answered"
    except TimeoutError:
        result["how"] = "no answer by the time limit"
    except EOFError:
        result["how"] = "connection closed without a complete answer"
    except OSError as error:
        result["how"] = type(error).__name__
    finally:
        if own and sock:
            sock.close()
    result["seconds"] = time.monotonic() - begin
    if record:
        record.add(f"client at {node.name} gets {result['status']} to {request_id}: {result['how']} after {result['seconds']:.3f} s")
    return result


def main(case_folder, run):
    """Runs a case; run(deployment) returns whether the rule held, and what was seen."""
    # Leaves the deployment's context, which ends the nodes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        if not (ROOT / "target/bin/chicoryspard").exists():
            raise RuntimeError("target/bin/chicoryspard is missing: build the deploy file first")
        with Deployment(case_folder) as deployment:
            held, text = run(deployment)
            deployment.record.add(text)
    except Exception as error:  # any other end means that the case couldn't run
        print(f"the case couldn't run: {type(error).__name__}: {error}", file=sys.stderr)
        if os.environ.get("KEEP_LOGS"):
            import traceback
            traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    print(text)
    sys.exit(HELD if held else BROKEN)
