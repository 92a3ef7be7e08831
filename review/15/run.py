"""Requests at a node that freezes aren't ended at their route's timeout: their clients get no answer within their time limit."""

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from harness3 import TROUBLE, ask, main  # noqa: E402

ROUTE_TIMEOUT_S = 0.8
TIME_LIMIT_MS = 1500
WORK_S = 0.1
PER_S = 50
SENDING_S = 6
FREEZE_AT_S = 1.5
FREEZE_S = 4


def run(deployment):
    record = deployment.record

    def work(request):
        time.sleep(WORK_S)
        return 200, b"credit lodged"

    entry, _ = deployment.machine("catalogue", 36, None)
    frozen, _ = deployment.machine("treasury", 36, work)
    deployment.machine("treasury", 36, work, zone="portland-room")
    deployment.configure(7, [("/returns/", "unsafe", "treasury", f"{int(ROUTE_TIMEOUT_S * 1000)}ms", "400ms"),
                             ("/balance/", "safe", "treasury", "800ms", "400ms")], ["catalogue", "treasury"])
    deployment.wait_ready(["/balance/a"])
    time.sleep(4)

    results = []

    def client(number):
        results.append(ask(entry, "DELETE", f"/returns/{number}", TIME_LIMIT_MS, record=record))

    begin = time.monotonic()
    threads = []
    is_frozen = False
    for n in range(PER_S * SENDING_S):
        time.sleep(max(0, begin + n / PER_S - time.monotonic()))
        at = time.monotonic() - begin
        if TROUBLE and not is_frozen and at >= FREEZE_AT_S:
            frozen.send(signal.SIGSTOP)
            is_frozen = True
        if is_frozen and at >= FREEZE_AT_S + FREEZE_S:
            frozen.send(signal.SIGCONT)
            is_frozen = False
        threads.append(threading.Thread(target=client, args=(n,)))
        threads[-1].start()
    for it in threads:
        it.join()
    late = [it for it in results if it["status"] == 0 or it["seconds"] > ROUTE_TIMEOUT_S]
    missing = [it for it in late if it["status"] == 0 or it["seconds"] > ROUTE_TIMEOUT_S + 0.5]
    never = [it for it in late if it["status"] == 0]
    held = len(missing) * 2 <= len(late)
    return held, (f"of {len(results)} requests {len(late)} were unanswered at their route's timeout of {ROUTE_TIMEOUT_S} s, {len(missing)} of "
                  f"these half a second later; {len(never)} had no answer within their client's time limit")


main(FOLDER, run)
