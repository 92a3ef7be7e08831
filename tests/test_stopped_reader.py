"""Guards against a node that blocks on its log: when the reader of its log pipe stops, it must drop lines and answer requests."""

import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "scripts"))

from mesh import BIN, Mesh, MeshPlan, Process, UpstreamPlan, call, get_json, read_ports  # noqa: E402
from mesh_objects import granite_rows  # noqa: E402

# Each refused request writes a line of about 300 bytes; a pipe holds 64 KiB.
REQUEST_COUNT = 1200
PIPE_BYTES = 64 * 1024
# In seconds; a request blocked by the full pipe would never be answered.
MAX_ANSWER_S = 1
STOP_TIMEOUT_S = 10


class PipedNode(Process):
    """A node whose standard output is a pipe that is never read."""

    def start(self):
        self.popen = subprocess.Popen(self.args, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL, stdin=subprocess.DEVNULL)


class StoppedReaderTest(unittest.TestCase):
    def test_requests_are_answered_while_the_pipe_is_full(self):
        settings = {"log": {"level": "info", "decisions_per_second": 100000}}
        plan = MeshPlan([UpstreamPlan("orders")], objects=granite_rows(), node_settings=settings)
        with tempfile.TemporaryDirectory() as directory, Mesh(plan, directory) as mesh:
            host = mesh.hosts[0]
            host.backend.kill()
            host.node.stop()
            ports = Path(directory) / f"{host.name}.ports"
            ports.unlink()
            node = PipedNode(host.name, [str(BIN / "chicoryspard"), f"--settings={Path(directory) / (host.name + '.ini')}"], mesh.directory)
            node.start()
            mesh.processes.append(node)
            read_ports(ports, node)
            self.wait_configured(host)
            slowest = 0
            for _ in range(REQUEST_COUNT):
                begin = time.monotonic()
                status, _, reason = call(host.callers, "GET", "orders", "/orders?n=1")
                slowest = max(slowest, time.monotonic() - begin)
                self.assertEqual((status, reason), (503, "no-upstream"))
            self.assertLess(slowest, MAX_ANSWER_S)
            node.send(signal.SIGTERM)
            self.assertEqual(node.popen.wait(STOP_TIMEOUT_S), 0)
            # Checks that the pipe was full; otherwise the test proves nothing.
            os.set_blocking(node.popen.stdout.fileno(), False)
            self.assertGreater(len(node.popen.stdout.read()), PIPE_BYTES * 3 // 4)
            node.popen.stdout.close()

    def wait_configured(self, host):
        end = time.monotonic() + 20
        while call(host.callers, "GET", "orders", "/orders?n=1")[2] == "not-configured":
            self.assertLess(time.monotonic(), end)
            time.sleep(0.1)
        self.assertIn("config", str(get_json(host.operators, "/v1/status")).lower())


if __name__ == "__main__":
    unittest.main()
