# Sourced by the examples. Sets the addresses of the running mesh and the directory of the programs.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
MESH_DIR=${MESH_DIR:-/tmp/chicoryspar-mesh-$(id -u)}
BIN=${BUILD_DIR:-build}/bin
if [ ! -e "$MESH_DIR/mesh.env" ]; then
    echo "no mesh is running: start examples/01_start_mesh.sh in another terminal" >&2
    exit 1
fi
. "$MESH_DIR/mesh.env"

# Prints a UUIDv7: 48 bits of milliseconds since 1970, then version, variant and random bits.
make_key() {
    local stamp random
    stamp=$(printf '%012x' "$(date +%s%3N)")
    random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
    echo "${stamp:0:8}-${stamp:8:4}-7${random:0:3}-a${random:3:3}-${random:6:12}"
}
