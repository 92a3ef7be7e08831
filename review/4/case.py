"""Open connections to the platform's store go silent, new ones work; 3.3 s later the operator moves, adds and drops routes."""

import socket
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import CONFIG_S, CONTACT_S, Mesh, Upstream, make_config, make_route, request, run_case  # noqa: E402

HOSTNAME = "hulo84.example"
BEFORE_SILENCE_S = 0.6
AFTER_SILENCE_S = 3.3
WATCHED_S = 12.0


class Relay:
    """Passes connections on to the store. silence() keeps the open ones open and passes nothing more on them."""

    def __init__(self, address, target):
        self.target = target
        self.generation = 0
        host, port = address.rsplit(":", 1)
        self.socket = socket.create_server((host, int(port)), backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()

    def silence(self):
        self.generation += 1

    def accept(self):
        while True:
            near, _ = self.socket.accept()
            host, port = self.target.rsplit(":", 1)
            far = socket.create_connection((host, int(port)))
            for pair in ((near, far), (far, near)):
                threading.Thread(target=self.copy, args=(*pair, self.generation), daemon=True).start()

    def copy(self, source, sink, generation):
        try:
            while True:
                data = source.recv(65536)
                if generation != self.generation:
                    time.sleep(3600)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            for it in (source, sink):
                it.close()


def routes(moved, timeout_ms, extra):
    kept = make_route("r-moved", HOSTNAME, "/moved/", moved, timeout_ms=timeout_ms)
    return [kept, make_route("r-stays", HOSTNAME, "/stays/", "alpha", timeout_ms=timeout_ms), extra]


def play(record, trouble):
    services = [("bangor-room", "maine-north", "alpha"), ("bangor-room", "maine-north", "beta"),
                ("portland-room", "maine-north", "alpha"), ("portland-room", "maine-north", "beta")]
    with Mesh(record, services) as mesh:
        store_port = mesh.ports[1]
        relay = Relay(f"{mesh.ip(0)}:{store_port}", mesh.store_address)
        old, new = make_route("r-dropped", HOSTNAME, "/dropped/", "alpha"), make_route("r-added", HOSTNAME, "/added/", "beta")
        mesh.store.write_config(make_config(7, routes("alpha", 1000, old), ["alpha", "beta"]))
        upstreams = []
        for it in mesh.hosts:
            it.store_address = f"{mesh.ip(0)}:{store_port}"
            it.start()
            upstreams.append(Upstream(record, it, it.service, it.zone, lambda *_: 0.01))
            upstreams[-1].begin_reports()
        mesh.wait_ready()
        results, number, is_done = [], [0], threading.Event()
        lock = threading.Lock()

        def send(host, path):
            with lock:
                number[0] += 1
                identifier = f"{number[0]:016x}"
            sent = record.now()
            try:
                status, _, body = request(host.outbound, "GET", f"{path}{number[0]}",
                                          {"Host": HOSTNAME, "X-Request-Id": identifier, "X-Deadline-Ms": "5000"})
                text = body.decode(errors="replace")
            except OSError as error:
                status, text = 0, type(error).__name__
            result = {"node": host.name, "path": path, "sent": sent, "status": status, "by": text.split(" ")[0].strip()}
            record.write("answer", id=identifier, **{**result, "sent": round(sent, 3)})
            with lock:
                results.append(result)

        def probe(host):
            while not is_done.is_set():
                for path in ("/moved/", "/added/", "/dropped/"):
                    send(host, path)
                time.sleep(0.05)

        def serves(host):
            send(host, "/moved/")
            return results[-1]["status"] == 200

        for it in mesh.hosts:
            mesh.wait(lambda it=it: serves(it), f"{it.name} serves")
        time.sleep(CONTACT_S + 1)
        threads = [threading.Thread(target=probe, args=(it,), daemon=True) for it in mesh.hosts]
        for it in threads:
            it.start()
        mesh.store.write_config(make_config(9, routes("alpha", 1200, old), ["alpha", "beta"]))
        record.write("config-confirmed", version="r9", change="time-outs")
        time.sleep(BEFORE_SILENCE_S)
        if trouble:
            relay.silence()
        record.write("connections-to-the-store-silent" if trouble else "nothing")
        time.sleep(AFTER_SILENCE_S)
        mesh.store.write_config(make_config(12, routes("beta", 1200, new), ["alpha", "beta"]))
        confirmed = record.write("config-confirmed", version="r12", change="moved to beta, added, dropped")
        time.sleep(WATCHED_S)
        is_done.set()
        for it in threads:
            it.join(6)
        late = [it for it in results if it["sent"] > confirmed + CONFIG_S]
        old_only = {
            "run by the old service": [it for it in late if it["path"] == "/moved/" and it["by"] == "alpha"],
            "refused with 404 though the route is there": [it for it in late if it["path"] == "/added/" and it["status"] == 404],
            "run with a dropped route": [it for it in late if it["path"] == "/dropped/" and it["status"] == 200],
        }
        for text, its in old_only.items():
            record.write("handled-as-only-an-older-version-allows", what=text, requests=len(its), of=len(late),
                         nodes=len({it["node"] for it in its}),
                         lastSentAfterConfirmation=round(max((it["sent"] - confirmed for it in its), default=0), 2))
        return any(old_only.values())


run_case(HERE, play)
