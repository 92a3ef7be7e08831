"""One upstream in three spoils one answer in fifty: bytes that are no answer, among them a line of 66,000 bytes."""

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins import CONTACT_S, KeptClient, Mesh, Upstream, make_config, make_route, request, run_case  # noqa: E402

HOSTNAME = "hulo84.example"
ROUNDS_WORK_S, CATALOGUE_WORK_S = 0.05, 0.3
CLIENTS = 8
INTERVAL_S = 0.05
# As `garble` in the list of the site's troubles: share 0.35 of the upstreams, 0.02 of their answers, for 5.5 s.
SPOILED_ONE_IN, SPOILED_S = 50, 5.5
LINE_BYTES = 66_000
RESTART_DELAY_S = 0.5


class FaultyUpstream(Upstream):
    spoils_until = 0.0
    answers = 0
    spoiled = 0

    def send(self, it, status, headers, body=b""):
        if status == 200 and "X-Response-Signature" in headers and self.record.now() < self.spoils_until:
            self.answers += 1
            if self.answers % SPOILED_ONE_IN == 0:
                self.spoiled += 1
                self.record.write("spoiled-answer", upstream=self.instance, id=headers["X-Request-Id"])
                head = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
                it.sendall(f"HTTP/1.1 200 OK\r\n{head}Transfer-Encoding: chunked\r\n\r\n".encode() + b"4\r\n\x00\xff\x00\xff\r\n0\r\nx:"
                           + b"\xa5" * LINE_BYTES + b"\r\n\r\n")
                time.sleep(0.2)
                raise ConnectionError("spoiled")
        super().send(it, status, headers, body)


def play(record, trouble):
    services = [("bangor-room", "maine-north", "rounds"), ("bangor-room", "maine-north", "rounds"), ("portland-room", "maine-north", "rounds"),
                ("portland-room", "maine-north", "catalogue")]
    with Mesh(record, services) as mesh:
        routes = [make_route("r-rounds", HOSTNAME, "/rounds/", "rounds", timeout_ms=2000),
                  make_route("r-titles", HOSTNAME, "/titles/", "catalogue", timeout_ms=2000)]
        mesh.store.write_config(make_config(7, routes, ["rounds", "catalogue"]))
        upstreams = []
        for it in mesh.hosts:
            it.start()
            work = ROUNDS_WORK_S if it.service == "rounds" else CATALOGUE_WORK_S
            kind = FaultyUpstream if it is mesh.hosts[0] else Upstream
            upstreams.append(kind(record, it, it.service, it.zone, lambda *_, work=work: work))
            upstreams[-1].begin_reports()
        mesh.wait_ready()
        number, is_done, lock = [0], threading.Event(), threading.Lock()

        def send(host, prefix):
            with lock:
                number[0] += 1
                identifier = f"{number[0]:016x}"
            headers = {"Host": HOSTNAME, "X-Request-Id": identifier, "X-Deadline-Ms": "4000"}
            try:
                status = request(host.outbound, "GET", f"{prefix}{number[0]}", headers)[0]
            except OSError as error:
                status = type(error).__name__
            record.write("answer", id=identifier, node=host.name, status=status)
            return status == 200

        def send_on(host):
            while not is_done.is_set():
                threading.Thread(target=send, args=(host, "/rounds/"), daemon=True).start()
                time.sleep(INTERVAL_S)

        for it in mesh.hosts:
            for prefix in ("/rounds/", "/titles/"):
                mesh.wait(lambda it=it, prefix=prefix: send(it, prefix), f"{it.name} serves {prefix}")
        beside = mesh.hosts[0]
        clients = [KeptClient(record, f"v{n}", beside.outbound, HOSTNAME, "/titles/", is_done) for n in range(CLIENTS)]
        for it in mesh.hosts[1:]:
            threading.Thread(target=send_on, args=(it,), daemon=True).start()
        time.sleep(CONTACT_S + 1)
        begin = record.write("upstream-spoils-answers" if trouble else "nothing", upstream=upstreams[0].instance)
        upstreams[0].spoils_until = begin + SPOILED_S if trouble else 0.0
        ends = 0
        while record.now() < begin + SPOILED_S + 3:
            if not beside.is_running():
                ends += 1
                output = (mesh.directory / f"{beside.name}.log").read_text(errors="replace").splitlines()
                record.write("node-ended", node=beside.name, code=beside.process.returncode, lastOutput=output[-2:])
                time.sleep(RESTART_DELAY_S)
                beside.start()
            time.sleep(0.01)
        is_done.set()
        for it in clients:
            it.thread.join(6)
        sound = {run["id"] for it in upstreams[1:] for run in it.runs}
        lost = [identifier for it in clients for identifier, _ in it.unanswered if identifier in sound]
        record.write("summary", answered=sum(it.answered for it in clients), spoiledAnswers=upstreams[0].spoiled, answersOfTheUpstream=upstreams[0].answers, endsOfTheNode=ends,
                     passedOnAndClosedWithoutAnswer=len(lost))
        return len(lost) > 3


run_case(HERE, play)
