"""Actions of the soak: faults with the step that ends each, scheduled at random overlapping times."""

import random
import signal
import threading
import time
from dataclasses import dataclass
from typing import Callable

# No fault begins in this time at the start and at the end of a run, in seconds.
FAULT_FREE_S = 1
# Mean time between the starts of two faults, in seconds.
MEAN_GAP_S = 0.8
# Maximum duration of a fault, in seconds; longer than every timeout between nodes and than the key lifetime of the runs.
MAX_FAULT_S = 6
RELAY_MODES = ("silent", "forget", "drop-to-target", "drop-from-target", "stall", "delay")


@dataclass
class Action:
    """A fault at a host or at the platform, and the step that ends it."""

    name: str
    begin: Callable
    end: Callable = None
    # Component affected by the fault; it has at most one fault at a time per host.
    component: str = "node"


def restart_node(host, _draw):
    if not host.node.is_running():
        host.start_node()


def restart_backend(host, _draw):
    if not host.backend.is_running():
        host.start_backend()


def stop_node(host, _draw):
    host.node.send(signal.SIGTERM)


def stop_backend(host, _draw):
    host.backend.send(signal.SIGTERM)


def wait_and_restart_node(host, draw):
    host.node.stop()
    restart_node(host, draw)


def wait_and_restart_backend(host, draw):
    host.backend.stop()
    restart_backend(host, draw)


def set_relay(host, draw):
    if host.plan.is_relayed:
        host.set_relay(draw.choice(RELAY_MODES), stallAfter=draw.randint(1, 2000), delayMs=draw.randint(20, 400))


def clear_relay(host, _draw):
    if host.plan.is_relayed:
        host.set_relay("pass")


def set_backend_faults(host, draw):
    fault = draw.choice([{"hang": True}, {"lateMs": 1500, "lateShare": 0.3}, {"truncated": 0.2}, {"doubled": 0.3}, {"slow": 8.0}])
    host.set_faults(**fault)


def clear_backend_faults(host, _draw):
    host.set_faults(hang=False, lateMs=0, lateShare=0.0, truncated=0.0, doubled=0.0, slow=1.0)


def set_platform_faults(host, draw):
    host.mesh.set_platform_faults(**draw.choice([{"down": True}, {"silent": True}, {"slowMs": 800}, {"answerLost": True}, {"errorShare": 50}]))


def clear_platform_faults(host, _draw):
    host.mesh.set_platform_faults()


ACTIONS = (
    Action("kill-node", lambda host, _: host.node.kill(), restart_node),
    Action("stop-node", stop_node, wait_and_restart_node),
    Action("pause-node", lambda host, _: host.node.send(signal.SIGSTOP), lambda host, _: host.node.send(signal.SIGCONT)),
    Action("hup-node", lambda host, _: host.node.send(signal.SIGHUP)),
    Action("kill-backend", lambda host, _: host.backend.kill(), restart_backend, component="backend"),
    Action("stop-backend", stop_backend, wait_and_restart_backend, component="backend"),
    Action("pause-backend", lambda host, _: host.backend.send(signal.SIGSTOP), lambda host, _: host.backend.send(signal.SIGCONT), component="backend"),
    Action("backend-faults", set_backend_faults, clear_backend_faults, component="backend"),
    Action("relay", set_relay, clear_relay, component="relay"),
    Action("platform", set_platform_faults, clear_platform_faults, component="platform"),
)


class Schedule:
    """Start times, targets and durations of the faults of one seed."""

    def __init__(self, draw, duration):
        self.steps = []
        at = FAULT_FREE_S
        while at < duration - FAULT_FREE_S:
            self.steps.append((at, draw.choice(ACTIONS), draw.random(), draw.uniform(0.1, MAX_FAULT_S), draw.getrandbits(32)))
            at += draw.expovariate(1 / MEAN_GAP_S)


def play(mesh, schedule):
    """Runs a schedule in real time. Returns the faults that began, as ACTION@HOST."""
    begin = time.monotonic()
    active, threads, played, failures = set(), [], [], []

    def run(action, host, target_key, length, seed):
        # A generator per fault, so that the order in which threads run doesn't change the draws.
        draw = random.Random(seed)
        try:
            action.begin(host, draw)
            if action.end:
                time.sleep(length)
                action.end(host, draw)
        except Exception as error:  # Raised in the main thread when all threads have ended.
            failures.append(f"{action.name} at {host.name}: {type(error).__name__}: {error}")
        active.discard(target_key)

    for at, action, target, length, seed in schedule.steps:
        time.sleep(max(0, begin + at - time.monotonic()))
        host = mesh.hosts[int(target * len(mesh.hosts))]
        target_key = (action.component, "" if action.component == "platform" else host.name)
        if target_key in active:
            continue
        active.add(target_key)
        played.append(f"{action.name}@{host.name}")
        threads.append(threading.Thread(target=run, args=(action, host, target_key, length, seed)))
        threads[-1].start()
    for it in threads:
        it.join()
    if failures:
        raise ValueError("; ".join(failures))
    return played


def resume_all(mesh):
    """Resumes every paused process, so that pending requests can finish."""
    for host in mesh.hosts:
        for it in (host.node, host.backend):
            it.send(signal.SIGCONT)
