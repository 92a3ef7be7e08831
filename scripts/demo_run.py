#!/usr/bin/env python3
"""Runs the demo: starts a mesh of real processes, configures it with chicorysparctl, overloads it, prints report and time line."""

import json
import shutil
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from mesh import BIN, Mesh, wait_ready  # noqa: E402
from mesh_objects import granite_rows  # noqa: E402
from mesh_up import READY, make_plan, write_environment  # noqa: E402

RATE = 450
DURATION_S = 18
CAUSE_AT_S = 5
CAUSE_S = 5
SLOW_FACTOR = 6
TIMELINE_LINES = 24
COMMAND_TIMEOUT_S = 30


def print_step(text):
    """Prints the heading of a step."""
    print(f"\n== {text}", flush=True)


def run_program(name, *args):
    """Runs a program of the project, prints its output and returns its exit code."""
    it = subprocess.run([BIN / name, *args], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, timeout=COMMAND_TIMEOUT_S)
    print(it.stdout, end="")
    return it.returncode


def apply_objects(mesh):
    """Applies the example objects with chicorysparctl and waits until they are in force on every node."""
    path = mesh.directory / "objects.json"
    path.write_text(json.dumps(granite_rows()))
    node = f"127.0.0.1:{mesh.hosts[0].operators}"
    code = run_program(
        "chicorysparctl", f"--platform={mesh.platform_address()}", f"--node={node}", "--operator=demo", "--reason=first start", "apply", f"--f={path}", "--wait"
    )
    if code != 0:
        raise SystemExit(f"chicorysparctl apply exited with {code}, expected 0")


def cause_overload(mesh):
    """Slows the treasury service down for CAUSE_S seconds."""
    for it in mesh.hosts_of("treasury"):
        it.set_faults(slow=float(SLOW_FACTOR))
    time.sleep(CAUSE_S)
    for it in mesh.hosts_of("treasury"):
        it.set_faults(slow=1.0)


def run_overload(mesh):
    """Runs aggressively retrying callers through an overload and prints the report."""
    actor = threading.Timer(CAUSE_AT_S, cause_overload, [mesh])
    actor.start()
    command = [
        BIN / "chicoryspar-load",
        f"--entries={mesh.entries()}",
        "--caller=shop-12",
        "--lookup=orders:/orders",
        "--order=orders:/orders",
        "--order_share=0.4",
        f"--rate={RATE}",
        f"--duration_s={DURATION_S}",
        f"--surge_at_s={CAUSE_AT_S}",
        f"--surge_s={CAUSE_S}",
        "--surge_factor=3",
        "--hard",
        "--seed=7",
    ]
    it = subprocess.run([str(word) for word in command], stdout=subprocess.PIPE, text=True, timeout=DURATION_S + COMMAND_TIMEOUT_S)
    actor.join()
    print(it.stdout, end="")
    if it.returncode != 0:
        raise SystemExit("chicoryspar-load reported damaged or foreign answers, expected none")


def show_timeline(mesh):
    """Prints the end of the time line of all nodes."""
    first = f"127.0.0.1:{mesh.hosts[0].operators}"
    it = subprocess.run([BIN / "chicoryspar-timeline", f"--from={first}"], stdout=subprocess.PIPE, text=True, timeout=COMMAND_TIMEOUT_S)
    lines = it.stdout.splitlines()
    if not lines:
        raise SystemExit("chicoryspar-timeline printed no events")
    print("\n".join(lines[-TIMELINE_LINES:]))


def main():
    directory = Path(tempfile.mkdtemp(prefix="chicoryspar-demo-"))
    try:
        print_step("start: platform stand-in, 9 nodes, 9 backend servers")
        with Mesh(make_plan(with_objects=False), directory) as mesh:
            print_step("configure: chicorysparctl apply")
            apply_objects(mesh)
            took = wait_ready(mesh, READY)
            print(f"every node serves lookups and orders after {took:.1f} s")
            write_environment(mesh)
            print_step(f"overload: treasury {SLOW_FACTOR} times slower and a surge of 3 times for {CAUSE_S} s, callers retry aggressively")
            run_overload(mesh)
            print_step("time line: the last events over all nodes")
            show_timeline(mesh)
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    print_step("done: every process has ended")
    return 0


if __name__ == "__main__":
    sys.exit(main())
