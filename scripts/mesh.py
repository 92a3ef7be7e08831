"""Starts a mesh of real processes on loopback: stand-in platform, nodes, backend servers, relays. Uses only the standard library."""

import http.client
import json
import os
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(os.environ.get("BUILD_DIR", ROOT / "build")).resolve() / "bin"
# Below the ephemeral port range of the kernel, so that outgoing connections don't take the ports of nodes.
FIRST_PORT = 20000
LAST_PORT = 32000
START_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20


class MeshError(Exception):
    """Raised when a process failed to start, or the mesh wasn't ready in time."""


class PortPicker:
    """Allocates ports that are free for both TCP and UDP."""

    def __init__(self):
        self._next = FIRST_PORT + os.getpid() * 37 % (LAST_PORT - FIRST_PORT)

    def pick(self):
        while True:
            self._next = FIRST_PORT + (self._next + 1 - FIRST_PORT) % (LAST_PORT - FIRST_PORT)
            if self._is_free(self._next):
                return self._next

    @staticmethod
    def _is_free(port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as it:
                try:
                    it.bind(("127.0.0.1", port))
                except OSError:
                    return False
        return True


@dataclass
class Process:
    """A process of the mesh; its output goes to NAME.log."""

    name: str
    args: list
    directory: Path
    popen: subprocess.Popen = None

    def start(self):
        log = open(self.directory / f"{self.name}.log", "ab")
        self.popen = subprocess.Popen(self.args, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()

    @property
    def pid(self):
        return self.popen.pid

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def send(self, number):
        if self.is_running():
            self.popen.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.popen.wait()

    def stop(self, timeout=STOP_TIMEOUT_S):
        """Sends SIGTERM and waits for the exit. Returns the exit code, or None when the process was killed after the timeout."""
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return None


def read_ports(path, process, timeout=START_TIMEOUT_S):
    """Waits for the ports file of a process and returns its ports by name."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if path.exists():
            lines = path.read_text().split()
            return {name: int(port) for name, _, port in (it.partition("=") for it in lines)}
        if not process.is_running():
            raise MeshError(f"{process.name} exited with {process.popen.returncode} before it wrote {path.name}; see {process.name}.log")
        time.sleep(0.02)
    raise MeshError(f"{process.name} did not write {path.name} within {timeout} s")


def post_json(port, path, body, method="POST", timeout=5):
    """Sends a JSON body to a loopback port and returns the decoded response."""
    request = urllib.request.Request(
        f"http://127.0.0.1:{port}{path}", json.dumps(body).encode(), {"Content-Type": "application/json"}, method=method
    )
    with urllib.request.urlopen(request, timeout=timeout) as it:
        return json.loads(it.read() or b"null")


def get_json(port, path, timeout=5):
    """Sends a GET request to a loopback port and returns the decoded JSON response."""
    with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=timeout) as it:
        return json.loads(it.read())


@dataclass
class UpstreamPlan:
    """Configuration of a host, which runs a backend server and its node."""

    service: str
    region: str = "maine-north"
    zone: str = "a"
    backend_args: list = field(default_factory=list)
    # Other nodes reach this one through a relay.
    is_relayed: bool = False


@dataclass
class MeshPlan:
    """Configuration of a mesh."""

    upstreams: list
    objects: list = field(default_factory=list)
    key_lifetime_ms: int = 4000
    has_platform: bool = True
    node_settings: dict = field(default_factory=dict)


class Host:
    """A host of the mesh: its node, its backend server and, if configured, the relay in front of its node."""

    def __init__(self, mesh, index, plan):
        self.mesh = mesh
        self.plan = plan
        self.name = f"{plan.service}-{index}"
        self.directory = mesh.directory
        picker = mesh.picker
        self.callers, self.backend_port, self.peers, self.operators = (picker.pick() for _ in range(4))
        self.advertised = picker.pick() if plan.is_relayed else self.peers
        self.execution_log = self.directory / f"{self.name}.executions"
        self.node = self.backend = self.relay = None
        self.backend_http = self.relay_control = 0
        self.starts = 0

    def settings(self, seeds):
        sections = {
            "node": {"name": self.name, "region": self.plan.region, "zone": self.plan.zone},
            "listen": {
                "callers": f"127.0.0.1:{self.callers}",
                "backend": f"127.0.0.1:{self.backend_port}",
                "peers": f"127.0.0.1:{self.peers}",
                "operators": f"127.0.0.1:{self.operators}",
            },
            "advertise": {"peers": f"127.0.0.1:{self.advertised}"},
            "platform": {"address": self.mesh.platform_address()},
            "seeds": {"nodes": ",".join(seeds)},
            "keys": {"lifetime_ms": self.mesh.plan.key_lifetime_ms},
            "stop": {"drain_ms": 5000},
            "log": {"level": "info", "ports_file": str(self.directory / f"{self.name}.ports")},
        }
        for section, values in self.mesh.plan.node_settings.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items() if value != ""]
        return "\n".join(lines) + "\n"

    def start_relay(self):
        ports = self.directory / f"{self.name}.relay-ports"
        args = [BIN / "standin-relay", f"--listen=127.0.0.1:{self.advertised}", f"--target=127.0.0.1:{self.peers}", f"--ports_file={ports}"]
        self.relay = self.mesh.run(f"{self.name}.relay", args)
        self.relay_control = read_ports(ports, self.relay)["control"]

    def start_node(self):
        seeds = [f"127.0.0.1:{it.advertised}" for it in self.mesh.hosts if it is not self][:3]
        path = self.directory / f"{self.name}.ini"
        path.write_text(self.settings(seeds))
        ports = self.directory / f"{self.name}.ports"
        ports.unlink(missing_ok=True)
        self.node = self.mesh.run(f"{self.name}.node", [BIN / "chicoryspard", f"--settings={path}"])
        return ports

    def start_backend(self):
        self.starts += 1
        ports = self.directory / f"{self.name}.backend-ports"
        ports.unlink(missing_ok=True)
        args = [
            BIN / "standin-backend",
            f"--service={self.plan.service}",
            f"--node=127.0.0.1:{self.backend_port}",
            f"--ports_file={ports}",
            f"--execution_log={self.execution_log}",
            f"--seed={len(self.name) * 1000 + self.starts}",
            *self.plan.backend_args,
        ]
        self.backend = self.mesh.run(f"{self.name}.backend", args)
        self.backend_http = read_ports(ports, self.backend)["http"]

    def set_faults(self, **faults):
        return post_json(self.backend_http, "/standin/faults", faults)

    def set_relay(self, mode, **numbers):
        return post_json(self.relay_control, "/relay", {"mode": mode, **numbers})


class Mesh:
    """Processes of one mesh. Kills all of them on exit of the context."""

    def __init__(self, plan, directory):
        self.plan = plan
        self.directory = Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        # Ports files of an earlier mesh would be read in place of the new ones.
        for it in self.directory.glob("*ports"):
            it.unlink()
        self.picker = PortPicker()
        self.processes = []
        self.platform = None
        self.platform_port = 0
        self.hosts = [Host(self, it, plan.upstreams[it]) for it in range(len(plan.upstreams))]

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(self, *_):
        self.end()

    def run(self, name, args):
        it = Process(name, [str(arg) for arg in args], self.directory)
        it.start()
        self.processes.append(it)
        return it

    def platform_address(self):
        return f"127.0.0.1:{self.platform_port}" if self.platform_port else ""

    def start(self):
        if self.plan.has_platform:
            self.start_platform()
        for it in self.hosts:
            if it.plan.is_relayed:
                it.start_relay()
        started = [(it, it.start_node()) for it in self.hosts]
        for host, ports in started:
            read_ports(ports, host.node)
        for it in self.hosts:
            it.start_backend()

    def start_platform(self):
        ports = self.directory / "platform.ports"
        self.platform = self.run("platform", [BIN / "standin-platform", f"--ports_file={ports}"])
        self.platform_port = read_ports(ports, self.platform)["http"]
        self.create_objects(self.plan.objects)

    def create_objects(self, objects):
        """Creates objects through the API of the stand-in platform."""
        for it in objects:
            post_json(self.platform_port, f"/apis/chicoryspar.io/v1/{plural_of(it['kind'])}", self.with_size(it))

    def with_size(self, item):
        """Returns the object; in a Service with hosts in this mesh, spec.upstreams is set to their number."""
        count = len(self.hosts_of(item["metadata"]["name"]))
        if item["kind"] != "Service" or count == 0:
            return item
        return {**item, "spec": {**item["spec"], "upstreams": count}}

    def set_platform_faults(self, **faults):
        return post_json(self.platform_port, "/standin/faults", faults)

    def hosts_of(self, service):
        return [it for it in self.hosts if it.plan.service == service]

    def entries(self, hosts=None):
        return ",".join(f"127.0.0.1:{it.callers}" for it in (hosts or self.hosts))

    def execution_logs(self):
        return [it.execution_log for it in self.hosts]

    def start_load(self, name, *args):
        """Starts chicoryspar-load. It prints its report as JSON and logs outcomes to NAME.outcomes."""
        command = [BIN / "chicoryspar-load", "--json", f"--outcomes_log={self.directory / (name + '.outcomes')}", *args]
        with open(self.directory / f"{name}.err", "wb") as err:
            return subprocess.Popen([str(it) for it in command], stdout=subprocess.PIPE, stderr=err, text=True)

    def end(self):
        for it in self.processes:
            it.send(signal.SIGCONT)
            it.send(signal.SIGKILL)
        for it in self.processes:
            it.popen.wait()


def plural_of(kind):
    """Returns the plural of a kind, as used in paths of the object API."""
    name = kind.lower()
    return name[:-1] + "ies" if name.endswith("y") else name + "s"


def make_key():
    """Returns a UUIDv7."""
    stamp = int(time.time() * 1000)
    random = int.from_bytes(os.urandom(10), "big")
    value = (stamp << 80) | (7 << 76) | ((random >> 68 & 0xFFF) << 64) | (2 << 62) | (random & ((1 << 62) - 1))
    text = f"{value:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


def call(port, method, service, path, key=None, body="", timeout=3):
    """Makes a call through a callers' port. Returns (status, outcome, reason); without an answer, status 0 and the error type."""
    headers = {"Chicoryspar-Service": service, "Chicoryspar-Timeout-Ms": str(int(timeout * 1000))}
    if key:
        headers["Idempotency-Key"] = f'"{key}"'
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status, answer.getheader("Chicoryspar-Outcome", ""), answer.getheader("Chicoryspar-Reason", "")
    except (OSError, http.client.HTTPException) as error:
        return 0, "", type(error).__name__
    finally:
        connection.close()


def wait_ready(mesh, requests, timeout=40):
    """Waits until every node answers each of the requests (method, service, path) with 200. Returns the seconds waited."""
    begin = time.monotonic()
    waiting = [(host, it) for host in mesh.hosts for it in requests]
    last = None
    while waiting:
        host, (method, service, path) = waiting[0]
        key = make_key() if method == "POST" else None
        last = call(host.callers, method, service, path, key)
        if last[0] == 200:
            waiting.pop(0)
            continue
        if time.monotonic() - begin > timeout:
            raise MeshError(f"{host.name} did not answer {method} {service}{path} with 200 within {timeout} s: last answer {last}")
        time.sleep(0.1)
    return time.monotonic() - begin


def finish_load(popen, timeout=120):
    """Waits for the end of a load and returns its report."""
    out, _ = popen.communicate(timeout=timeout)
    return json.loads(out.strip().splitlines()[-1])
