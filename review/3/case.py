"""A planned stop of a node while clients send safe requests one behind another on kept connections."""

import collections
import signal
import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import GRACE_S, Mesh, ReadinessChecks, Upstream, make_config, make_route, read_body, read_head, request, run_case  # noqa: E402

HOSTNAME = "hulo84.example"
WORK_S = 0.3
ROUTE_TIMEOUT_S = 2.0
TIME_LIMIT_S = 4.0
# Between two requests of one client; several are under way at a time.
INTERVAL_S = 0.1
CLIENTS = 3
CALM_S = 4.0


class Client:
    """Sends a safe request each INTERVAL_S on a kept connection, without waiting for the answers before. After an answer with
    Connection: close, and after the end of the connection, it opens a new one."""

    def __init__(self, record, name, host, checks, is_done):
        self.record, self.name, self.host, self.checks, self.is_done = record, name, host, checks, is_done
        self.requests = {}
        self.number = 0
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.is_done.is_set():
            try:
                host, port = self.host.outbound.rsplit(":", 1)
                connection = socket.create_connection((host, int(port)), 1)
            except OSError:
                time.sleep(0.2)
                continue
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.use(connection)
            connection.close()

    def use(self, connection):
        waiting = collections.deque()
        state = {"open": True}
        reader = threading.Thread(target=self.read, args=(connection, waiting, state), daemon=True)
        reader.start()
        while state["open"] and not self.is_done.is_set():
            if not self.checks.may_send(self.host):
                time.sleep(INTERVAL_S)
                continue
            self.number += 1
            identifier = f"{self.name}{self.number:012x}"
            text = (f"GET /rounds/{self.number} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Request-Id: {identifier}\r\n"
                    f"X-Deadline-Ms: {int(TIME_LIMIT_S * 1000)}\r\n\r\n")
            entry = {"id": identifier, "behind": len(waiting), "status": None, "ended": None, "end": None}
            entry["sent"] = self.record.write("sent", id=identifier, client=self.name, behind=len(waiting))
            waiting.append(entry)
            self.requests[identifier] = entry
            try:
                connection.sendall(text.encode())
            except OSError:
                break
            time.sleep(INTERVAL_S)
        reader.join(TIME_LIMIT_S)

    def read(self, connection, waiting, state):
        stream = connection.makefile("rb")
        reason = "closed"
        try:
            while True:
                line, headers = read_head(stream)
                if line is None:
                    break
                body = read_body(stream, headers)
                entry = waiting.popleft()
                is_whole = len(body) == int(headers.get("content-length", "0"))
                entry["status"] = int(line.split()[1]) if is_whole else None
                entry["ended"] = self.record.write("answered", id=entry["id"], status=entry["status"],
                                                   close=headers.get("connection", ""))
                if headers.get("connection", "").lower() == "close":
                    reason = "closed behind an answer with Connection: close"
                    break
        except OSError as error:
            reason = type(error).__name__
        state["open"] = False
        for entry in waiting:
            entry["end"] = reason
            entry["ended"] = self.record.write("not-answered", id=entry["id"], reason=reason)


def play(record, trouble):
    services = [("bangor-room", "maine-north", "rounds"), ("portland-room", "maine-north", "rounds"),
                ("portland-room", "maine-north", "rounds")]
    with Mesh(record, services) as mesh:
        mesh.store.write_config(make_config(7, [make_route("r-rounds", HOSTNAME, "/rounds/", "rounds",
                                                           timeout_ms=int(ROUTE_TIMEOUT_S * 1000))], ["rounds"]))
        upstreams = []
        for it in mesh.hosts:
            it.start()
            upstreams.append(Upstream(record, it, it.service, it.zone, lambda *_: WORK_S))
            upstreams[-1].begin_reports()
        mesh.wait_ready()
        stopped = mesh.hosts[0]

        def serves():
            headers = {"Host": HOSTNAME, "X-Request-Id": f"probe{time.monotonic_ns():x}", "X-Deadline-Ms": "4000"}
            return request(stopped.outbound, "GET", "/rounds/0", headers)[0] == 200

        mesh.wait(serves, f"{stopped.name} serves")
        is_done = threading.Event()
        checks = ReadinessChecks(record, mesh.hosts)
        clients = [Client(record, f"c{n}", stopped, checks, is_done) for n in range(CLIENTS)]
        time.sleep(CALM_S)
        stop_at = stopped.signal(signal.SIGTERM) if trouble else record.now()
        ended_at = None
        while record.now() < stop_at + GRACE_S + 1:
            if trouble and ended_at is None and not stopped.is_running():
                ended_at = record.write("node-ended", node=stopped.name, afterSigterm=round(record.now() - stop_at, 2))
            if trouble and ended_at is None and record.now() > stop_at + GRACE_S:
                stopped.signal(signal.SIGKILL)
            time.sleep(0.02)
        is_done.set()
        for it in clients:
            it.thread.join(TIME_LIMIT_S + 2)
        runs = {run["id"]: run for it in upstreams for run in it.runs}
        lost = []
        for client in clients:
            for entry in client.requests.values():
                run = runs.get(entry["id"])
                if entry["status"] is not None or entry["ended"] is None or run is None:
                    continue  # Answered, or sent behind another one and not passed on.
                if entry["ended"] > stop_at + GRACE_S + 1 or entry["ended"] < stop_at:
                    continue  # Not around the planned work.
                if entry["end"] == "closed behind an answer with Connection: close":
                    continue
                took = entry["ended"] - entry["sent"]
                if took >= ROUTE_TIMEOUT_S or took >= TIME_LIMIT_S:
                    continue  # The route's timeout was reached.
                if entry["sent"] <= stop_at + 3 and entry["ended"] >= stop_at + GRACE_S * 5 / 6:
                    continue  # At work in the last sixth of the grace on a request sent in time.
                lost.append(entry)
                record.write("lost", id=entry["id"], sentAfterSigterm=round(entry["sent"] - stop_at, 2),
                             passedOnAfterSigterm=round(run["at"] - stop_at, 2), cutAfterSigterm=round(entry["ended"] - stop_at, 2),
                             reason=entry["end"])
        record.write("summary", requests=sum(len(it.requests) for it in clients), lost=len(lost))
        return bool(lost)


run_case(HERE, play)
