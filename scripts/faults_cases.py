"""Faults that scripts/faults injects, one function each. The function is called while the load runs."""

import signal
import time
from dataclasses import dataclass, field
from typing import Callable

# In seconds; longer than every timeout between nodes and than the key lifetime of the runs.
PAUSE_S = 6


@dataclass
class FaultCase:
    """One fault and the mesh and load that it requires."""

    name: str
    text: str
    inject: Callable
    # Processes end only by planned stops, so no request may be cut.
    is_planned: bool = False
    # Indices of the hosts that other nodes reach through a relay.
    relayed: tuple = ()
    load_args: list = field(default_factory=list)
    load_s: float = 8
    # Whether scripts/faults --short, which the tests run, includes it.
    is_short: bool = False


def do_nothing(_mesh):
    """Injects no fault."""


def kill_node(mesh):
    mesh.hosts[0].node.kill()


def kill_and_restart_node(mesh):
    mesh.hosts[0].node.kill()
    time.sleep(0.5)
    mesh.hosts[0].start_node()


def kill_backend(mesh):
    mesh.hosts[0].backend.kill()


def kill_host(mesh):
    mesh.hosts[1].node.kill()
    mesh.hosts[1].backend.kill()


def pause(*processes):
    for it in processes:
        it.send(signal.SIGSTOP)
    time.sleep(PAUSE_S)
    for it in processes:
        it.send(signal.SIGCONT)


def pause_node(mesh):
    pause(mesh.hosts[0].node)


def pause_backend(mesh):
    pause(mesh.hosts[0].backend)


def pause_host(mesh):
    pause(mesh.hosts[0].node, mesh.hosts[0].backend)


def silence_relay(mesh):
    mesh.hosts[0].set_relay("silent")


def forget_connections(mesh):
    mesh.hosts[0].set_relay("forget")
    time.sleep(3)
    mesh.hosts[0].set_relay("forget")


def drop_to_target(mesh):
    mesh.hosts[0].set_relay("drop-to-target")
    time.sleep(3)
    mesh.hosts[0].set_relay("pass")


def drop_from_target(mesh):
    mesh.hosts[0].set_relay("drop-from-target")
    time.sleep(3)
    mesh.hosts[0].set_relay("pass")


def stall_in_frame(mesh):
    for after in (37, 211, 1009):
        mesh.hosts[0].set_relay("stall", stallAfter=after)
        time.sleep(2)


def answer_late(mesh):
    for it in mesh.hosts_of("orders"):
        it.set_faults(lateMs=1500, lateShare=0.3)


def answer_doubled(mesh):
    for it in mesh.hosts:
        it.set_faults(doubled=0.2)


def answer_out_of_order(mesh):
    for it in mesh.hosts:
        it.set_faults(lateMs=150, lateShare=0.5)


def answer_truncated(mesh):
    for it in mesh.hosts_of("orders"):
        it.set_faults(truncated=0.1)


def hang_backend(mesh):
    mesh.hosts[0].set_faults(hang=True)
    time.sleep(3)
    mesh.hosts[0].set_faults(hang=False)


def take_store_down(mesh):
    mesh.set_platform_faults(down=True)


def lose_store_answers(mesh):
    mesh.set_platform_faults(answerLost=True)


def stop_node(mesh):
    mesh.hosts[0].node.stop()


def stop_backend(mesh):
    mesh.hosts[0].backend.stop()


def roll_nodes(mesh):
    for it in mesh.hosts:
        it.node.stop()
        it.start_node()
        time.sleep(1.5)


def kill_node_and_silence_relay(mesh):
    mesh.hosts[0].set_relay("silent")
    time.sleep(1)
    mesh.hosts[1].node.kill()


def pause_node_with_store_down(mesh):
    mesh.set_platform_faults(down=True)
    pause_node(mesh)


def slow_and_kill_under_hard_callers(mesh):
    for it in mesh.hosts_of("treasury"):
        it.set_faults(slow=8.0)
    time.sleep(2)
    mesh.hosts[0].node.kill()
    time.sleep(2)
    for it in mesh.hosts_of("treasury"):
        it.set_faults(slow=1.0)


CASES = [
    FaultCase("none", "no fault", do_nothing, is_planned=True, load_s=5),
    FaultCase("kill-node", "kill -9 of a node", kill_node),
    FaultCase("restart-node", "kill -9 of a node, then its restart", kill_and_restart_node),
    FaultCase("kill-backend", "kill -9 of a backend server", kill_backend),
    FaultCase("kill-host", "kill -9 of a node and its backend server", kill_host),
    FaultCase("pause-node", "SIGSTOP of a node for longer than every timeout", pause_node, load_s=12),
    FaultCase("pause-backend", "SIGSTOP of a backend server for longer than every timeout", pause_backend, load_s=12),
    FaultCase("pause-host", "SIGSTOP of a node and its backend server", pause_host, load_s=12),
    FaultCase("relay-silent", "every connection to a node goes silent permanently", silence_relay, relayed=(0,)),
    FaultCase("relay-forget", "open connections to a node go silent, new ones work", forget_connections, relayed=(0,)),
    FaultCase("relay-to", "bytes to a node are lost for 3 s", drop_to_target, relayed=(0,)),
    FaultCase("relay-from", "bytes from a node are lost for 3 s", drop_from_target, relayed=(0,)),
    FaultCase("relay-stall", "connections stall in the middle of a frame", stall_in_frame, relayed=(0,)),
    FaultCase("late", "answers 1.5 s late", answer_late),
    FaultCase("doubled", "answers sent twice", answer_doubled, is_short=True),
    FaultCase("reordered", "answers out of order", answer_out_of_order),
    FaultCase("truncated", "truncated answers", answer_truncated),
    FaultCase("hang", "a backend server starts work and never answers, for 3 s", hang_backend),
    FaultCase("store-down", "store down throughout", take_store_down, is_short=True),
    FaultCase("store-answer-lost", "store writes take effect, but their answers are lost", lose_store_answers),
    FaultCase("stop-node", "planned stop of a node", stop_node, is_planned=True, is_short=True),
    FaultCase("stop-backend", "planned stop of a backend server", stop_backend, is_planned=True),
    FaultCase("roll-nodes", "planned stop and restart of every node in turn", roll_nodes, is_planned=True, load_s=14),
    FaultCase("two-kill-silent", "a silent relay, then kill -9 of another node", kill_node_and_silence_relay, relayed=(0,)),
    FaultCase("two-pause-store", "store down, then a node paused", pause_node_with_store_down, load_s=12),
    FaultCase("hard-callers", "callers retry aggressively through other nodes, treasury slow, then kill -9 of a node",
              slow_and_kill_under_hard_callers, load_args=["--hard"], load_s=9),
]
