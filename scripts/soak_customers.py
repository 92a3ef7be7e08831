"""Customers of the soak: one that stays, one whose key is revoked when the load begins, and a client with a key of nobody."""

import hashlib
import time

from faults_checker import find_unauthorized, find_wrongly_unauthorized, read_lines
from mesh import MeshError, get_json, post_json
from mesh_objects import API_VERSION, make_object
from soak_actions import MAX_FAULT_S

# Time in which a change has to be in force where no fault hinders it, in seconds; a setting of the nodes.
CHANGE_BOUND_S = 3
VALID_KEY, REVOKED_KEY, UNKNOWN_KEY = "key-that-stays", "key-to-be-revoked", "key-of-nobody"
# Requests per second of the clients whose keys aren't valid.
SIDE_RATE = 20
# Shorter than the time without faults at the start of a run, in which the platform takes the change.
TIME_UNTIL_REVOCATION_S = 0.4
IN_FORCE_TIMEOUT_S = 20
REVOCATION_TIMEOUT_S = 5
TABLE_PATH = f"/apis/{API_VERSION}/routetables/main"


def make_table(*keys):
    """Returns a route table with a customer for each key. Nodes of the native dialect use it for customers only."""
    customers = [{"name": f"customer-of-{it}", "keyDigests": [hashlib.sha256(it.encode()).hexdigest()[:32]]} for it in keys]
    return make_object("RouteTable", "main", {"routes": [], "services": [], "customers": customers})


def wait_in_force(mesh, count):
    """Waits until every node knows this number of customers."""
    end = time.monotonic() + IN_FORCE_TIMEOUT_S
    waiting = list(mesh.hosts)
    while waiting:
        if get_json(waiting[0].operators, "/v1/status")["configuration"]["customers"] == count:
            waiting.pop(0)
        elif time.monotonic() > end:
            raise MeshError(f"{waiting[0].name} does not know {count} customers after {IN_FORCE_TIMEOUT_S} s")
        else:
            time.sleep(0.05)


def configure(mesh):
    """Brings both customers into force on every node."""
    mesh.create_objects([make_table(VALID_KEY, REVOKED_KEY)])
    wait_in_force(mesh, 2)


def start_side_loads(mesh, options, seed):
    """Starts the clients whose keys get or are invalid. Each load needs a seed of its own: equal seeds draw equal roots."""
    common = [f"--entries={mesh.entries()}", "--lookup=orders:/orders", "--order_share=0", f"--rate={SIDE_RATE}", f"--duration_s={options.duration}"]
    loads = (("revoked", REVOKED_KEY, seed + 1), ("unknown", UNKNOWN_KEY, seed + 2))
    return [mesh.start_load(name, *common, f"--customer_key={key}", f"--seed={own}") for name, key, own in loads]


def revoke(mesh):
    """Revokes a key. Returns the Unix time in milliseconds from which its requests must not run."""
    time.sleep(TIME_UNTIL_REVOCATION_S)
    table = get_json(mesh.platform_port, TABLE_PATH)
    table["spec"] = make_table(VALID_KEY)["spec"]
    post_json(mesh.platform_port, TABLE_PATH, table, "PUT", REVOCATION_TIMEOUT_S)
    # A fault may hide the change from a node as long as it lasts, and one fault may follow another.
    return (time.time() + CHANGE_BOUND_S + MAX_FAULT_S) * 1000


def find_violations(mesh, executions, valid_outcomes, revoked_at_ms):
    """Returns a text per violation."""
    outcomes = {name: read_lines(mesh.directory / f"{name}.outcomes") for name in ("revoked", "unknown")}
    found = find_wrongly_unauthorized(valid_outcomes)
    found += find_unauthorized(executions, outcomes["unknown"])
    return found + find_unauthorized(executions, outcomes["revoked"], revoked_at_ms)
