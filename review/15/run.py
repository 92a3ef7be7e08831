"""A route that a desired state adds is never served if its timeout is shorter than the usual work of its service's other requests."""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness3 import TROUBLE, ask, main  # noqa: E402

VIEW_WORK_S = 0.3
LOOKUP_WORK_S = 0.015
VIEW_CLIENTS = 12
LOOKUP_CLIENTS = 4
CONFIG_S = 2.5
LOAD_S = 10

FIRST = [("/view/", "safe", "rounds", "4s", "1000ms")]
ADDED = [("/lookup/", "safe", "rounds", "250ms", "200ms")]


def run(deployment):
    record = deployment.record

    def work(request):
        time.sleep(LOOKUP_WORK_S if request["target"].startswith("/lookup/") else VIEW_WORK_S)
        return 200, b"the round"

    entry, _ = deployment.machine("catalogue", 36, None)
    deployment.machine("rounds", 36, work)
    deployment.machine("rounds", 36, work, zone="portland-room")
    if TROUBLE:
        deployment.configure(7, FIRST, ["catalogue", "rounds"])
        deployment.wait_ready(["/view/probe"])
    else:
        # The route is there from the start, and its first requests come before those of the other one.
        deployment.configure(7, FIRST + ADDED, ["catalogue", "rounds"])
        deployment.wait_ready(["/lookup/probe", "/view/probe"])

    lock = threading.Lock()
    answers = {"view": [], "lookup": []}
    done = threading.Event()

    def client(kind, number):
        n = 0
        while not done.is_set():
            n += 1
            result = ask(entry, "GET", f"/{kind}/{number}-{n}", 3000, record=record)
            with lock:
                answers[kind].append(result["status"])
            time.sleep(0.1)

    threads = [threading.Thread(target=client, args=("view", n), daemon=True) for n in range(VIEW_CLIENTS)]
    for it in threads:
        it.start()
    time.sleep(3)
    if TROUBLE:
        deployment.configure(9, FIRST + ADDED, ["catalogue", "rounds"])
    time.sleep(CONFIG_S + 1)
    for n in range(LOOKUP_CLIENTS):
        threads.append(threading.Thread(target=client, args=("lookup", n), daemon=True))
        threads[-1].start()
    time.sleep(LOAD_S)
    done.set()
    for it in threads:
        it.join()
    served = {kind: it.count(200) / max(1, len(it)) for kind, it in answers.items()}
    asked = len(answers["lookup"])
    held = asked < 20 or served["lookup"] >= served["view"] / 4
    return held, (f"of {asked} requests on the route that was {'added later' if TROUBLE else 'there from the start'}, "
                  f"{answers['lookup'].count(200)} were served ({served['lookup']:.2f}), of {len(answers['view'])} on the first route "
                  f"{answers['view'].count(200)} ({served['view']:.2f}); answers on the former: "
                  f"{ {status: answers['lookup'].count(status) for status in sorted(set(answers['lookup']))} }")


main(FOLDER, run)
