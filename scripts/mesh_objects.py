"""Objects of the small Granite Rows mesh, from examples/objects."""

import json

from mesh import ROOT

API_VERSION = "chicoryspar.io/v1"
OBJECTS = ROOT / "examples" / "objects"


def make_object(kind, name, spec):
    """Returns an object in the form of the object API."""
    return {"apiVersion": API_VERSION, "kind": kind, "metadata": {"name": name}, "spec": spec}


def granite_rows():
    """Returns the example objects."""
    return [json.loads(it.read_text()) for it in sorted(OBJECTS.glob("*.json"))]
