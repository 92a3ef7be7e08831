#!/usr/bin/env python3
"""Starts a small Granite Rows mesh on loopback and runs it until interrupted.

Writes the addresses as shell variables to mesh.env in the directory of the mesh.
"""

import argparse
import os
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent))

from mesh import Mesh, MeshPlan, UpstreamPlan, wait_ready  # noqa: E402
from mesh_objects import granite_rows  # noqa: E402

KEY_LIFETIME_MS = 5000
# Service, number of upstreams, and arguments of their backend servers.
SERVICES = (
    ("catalogue", 2, ["--service_time_ms=4", "--distribution=exponential"]),
    ("rounds", 2, ["--service_time_ms=4", "--distribution=exponential", "--children=catalogue:/titles"]),
    ("orders", 3, ["--service_time_ms=5", "--distribution=exponential", "--children=treasury:/ledger"]),
    ("treasury", 2, ["--service_time_ms=8", "--distribution=exponential", "--slots=5", "--connections=130"]),
)
READY = [("GET", "rounds", "/rounds?n=ready"), ("GET", "orders", "/orders?n=ready"), ("POST", "orders", "/orders?n=ready")]


def make_plan(with_objects=True):
    """Returns the configuration of the example mesh."""
    upstreams = [UpstreamPlan(name, zone="abc"[it % 3], backend_args=args) for name, count, args in SERVICES for it in range(count)]
    return MeshPlan(upstreams, objects=granite_rows() if with_objects else [], key_lifetime_ms=KEY_LIFETIME_MS)


def write_environment(mesh):
    """Writes mesh.env and returns its path."""
    first = mesh.hosts[0]
    lines = {
        "ENTRY": f"127.0.0.1:{first.callers}",
        "ENTRIES": mesh.entries(),
        "OPERATORS": f"127.0.0.1:{first.operators}",
        "ALL_OPERATORS": ",".join(f"127.0.0.1:{it.operators}" for it in mesh.hosts),
        "TREASURY_OPERATORS": f"127.0.0.1:{mesh.hosts_of('treasury')[0].operators}",
        "TREASURY_BACKENDS": " ".join(f"127.0.0.1:{it.backend_http}" for it in mesh.hosts_of("treasury")),
        "PLATFORM": mesh.platform_address(),
    }
    path = mesh.directory / "mesh.env"
    path.write_text("".join(f"export {name}='{value}'\n" for name, value in lines.items()))
    return path


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("directory", nargs="?", default=f"/tmp/chicoryspar-mesh-{os.getuid()}")
    options = parser.parse_args()
    directory = Path(options.directory)
    # SIGTERM stops the mesh as Ctrl-C does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        with Mesh(make_plan(), directory) as mesh:
            took = wait_ready(mesh, READY)
            print(f"{len(mesh.hosts)} hosts serve after {took:.1f} s; addresses in {write_environment(mesh)}", flush=True)
            signal.pause()
    except KeyboardInterrupt:
        print("mesh ended")
    return 0


if __name__ == "__main__":
    sys.exit(main())
