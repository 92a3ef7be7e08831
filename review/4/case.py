"""The operator adds a route for quick requests to a service that also serves longer ones."""

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import CONFIG_S, CONTACT_S, Mesh, Upstream, make_config, make_route, request, run_case  # noqa: E402

HOSTNAME = "hulo84.example"
LONG_WORK_S, LONG_TIMEOUT_MS = 0.3, 2000
QUICK_WORK_S, QUICK_TIMEOUT_MS = 0.015, 250
INTERVAL_S = 0.1
STEADY_S = 25.0


def play(record, trouble):
    services = [("bangor-room", "maine-north", "rounds"), ("portland-room", "maine-north", "rounds"), ("portland-room", "maine-north", "orders")]
    with Mesh(record, services) as mesh:
        first = make_route("r-view", HOSTNAME, "/view/", "rounds", timeout_ms=LONG_TIMEOUT_MS)
        added = make_route("r-depot", HOSTNAME, "/depot/", "rounds", timeout_ms=QUICK_TIMEOUT_MS, target_ms=QUICK_TIMEOUT_MS)
        names = ["rounds", "orders"]
        mesh.store.write_config(make_config(7, [first], names))
        for it in mesh.hosts:
            it.start()
            work = lambda _, path: QUICK_WORK_S if path.startswith("/depot/") else LONG_WORK_S  # noqa: E731
            Upstream(record, it, it.service, it.zone, work).begin_reports()
        mesh.wait_ready()
        answers, number, is_done, lock = [], [0], threading.Event(), threading.Lock()

        def send(host, path):
            with lock:
                number[0] += 1
                identifier = f"{number[0]:016x}"
            sent = record.now()
            try:
                status, headers, body = request(host.outbound, "GET", f"{path}{number[0]}",
                                                {"Host": HOSTNAME, "X-Request-Id": identifier, "X-Deadline-Ms": "5000"})
                text = body.decode(errors="replace").strip() if status != 200 else ""
            except OSError as error:
                status, text = 0, type(error).__name__
            record.write("answer", id=identifier, node=host.name, path=path, status=status, text=text, sent=round(sent, 3))
            answers.append((path, sent, status))
            return status == 200

        def send_on(host, path):
            while not is_done.is_set():
                threading.Thread(target=send, args=(host, path), daemon=True).start()
                time.sleep(INTERVAL_S)

        for it in mesh.hosts:
            mesh.wait(lambda it=it: send(it, "/view/"), f"{it.name} serves")
        for it in mesh.hosts:
            threading.Thread(target=send_on, args=(it, "/view/"), daemon=True).start()
        time.sleep(CONTACT_S + 2)
        if trouble:
            mesh.store.write_config(make_config(9, [first, added], names))
        confirmed = record.write("config-confirmed" if trouble else "nothing", version="r9", change="r-depot added")
        time.sleep(CONFIG_S + 0.5)
        if trouble:
            for it in mesh.hosts:
                threading.Thread(target=send_on, args=(it, "/depot/"), daemon=True).start()
        time.sleep(STEADY_S)
        is_done.set()
        time.sleep(3)
        shares = {}
        for path in ("/view/", "/depot/"):
            its = [it[2] for it in answers if it[0] == path and it[1] > confirmed + CONFIG_S]
            shares[path] = (len(its), sum(it == 200 for it in its))
            record.write("served", path=path, requests=len(its), served=shares[path][1])
        (firsts, first_served), (laters, later_served) = shares["/view/"], shares["/depot/"]
        return laters >= 20 and later_served / laters < 0.25 * first_served / firsts


run_case(HERE, play)
