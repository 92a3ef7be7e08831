#!/usr/bin/env bash
# Starts a small mesh of four services on loopback and runs it until Ctrl-C. Run the other examples while it runs.
set -eu
cd "$(dirname "$0")/.."
exec python3 scripts/mesh_up.py "${MESH_DIR:-/tmp/chicoryspar-mesh-$(id -u)}"
