"""Starts a small deployment of the project's own programs on loopback addresses, and stand-ins for its surroundings.

Only the standard library is used. Every address is in 127.0.0.0/8; ports are chosen free, files are in a temporary folder.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(os.environ.get("TAMARACKCOVE_BIN", ROOT / "target" / "bin"))
STARTED = time.monotonic()


def now():
    """Seconds since the start of the script."""
    return time.monotonic() - STARTED


class CannotRun(Exception):
    """The case could not be played; the script ends with 2."""


class Record:
    """Writes what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()

    def line(self, text):
        with self._lock:
            self._file.write(f"{now():8.3f} {text}\n")
            self._file.flush()

    def say(self, text):
        print(f"{now():8.3f} {text}", flush=True)
        self.line(text)


def wait_for(condition, seconds, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise CannotRun(what)


class Process:
    """One process of the deployment, started as the deploy file says."""

    def __init__(self, folder, role, settings):
        self.name = settings["name"]
        self.binary = BIN / f"tamarackcove-platform-{role}"
        if not self.binary.exists():
            raise CannotRun(f"{self.binary.name} is not built; run the build of the deploy file")
        self.path = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.settings = settings
        self.popen = None

    def start(self):
        self.path.write_text(json.dumps(self.settings))
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen([self.binary, "--settings", self.path], stdout=log, stderr=log, cwd=ROOT)

    def kill(self):
        if self.popen and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait()

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def memory_mb(self):
        for line in pathlib.Path(f"/proc/{self.popen.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0


class Deployment:
    """Control hosts and entries, each on a loopback address of its own, with the bounds of a small deployment."""

    def __init__(self, record, controls=3, entries=2, heartbeat_ms=1200, zones=("z1", "z2", "z3"), **entry_settings):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-3-"))
        net = f"127.{random.randrange(20, 200)}.{random.randrange(1, 250)}"
        self.zones = zones
        first = random.randrange(20000, 30000)
        self.api_port, self.internal = first, [first + 10, first + 20]
        self.hosts = [f"{net}.{10 + i}" for i in range(controls)]
        seeds = [f"{host}:{self.api_port}" for host in self.hosts[:3]]
        self.controls = []
        for i, host in enumerate(self.hosts):
            self.controls.append(Process(self.folder, "control", {
                "name": f"core-{i + 1}", "zone": zones[i % len(zones)], "listen": f"{host}:{self.api_port}",
                "metrics_listen": f"{host}:{first + 5}", "memory_mb": 256, "max_descriptors": 4096,
                "internal_ports": self.internal, "seeds": seeds, "first_start": True,
                "data_folder": str(self.folder / f"data-{i + 1}"), "losses_tolerated": 1,
                "heartbeat_ms": heartbeat_ms, "order_lease_ms": 3000}))
        self.entries = []
        self.entry_hosts = [f"{net}.{100 + i}" for i in range(entries)]
        for i, host in enumerate(self.entry_hosts):
            self.entries.append(Process(self.folder, "entry", {
                "name": f"edge-{i + 1}", "zone": zones[i % len(zones)], "listen": f"{host}:{first + 1}",
                "ready_listen": f"{host}:{first + 2}", "metrics_listen": f"{host}:{first + 5}", "memory_mb": 260,
                "max_descriptors": 4100, "internal_ports": self.internal, "seeds": seeds, "retry_ratio": 0.2,
                "retry_slack": 54, "retry_window_s": 10, "grace_s": 8, **entry_settings}))
        self.front_port, self.ready_port = first + 1, first + 2
        self.server_net = net

    def start(self):
        for process in self.controls + self.entries:
            process.start()

    def close(self):
        for process in self.entries + self.controls:
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def call_any(self, method, path, body=None, timeout=2.0, skip=()):
        """Calls a control host as the pages say: follows two 307, moves on after a failure. (status, body) or None."""
        hosts = [host for i, host in enumerate(self.hosts) if i not in skip]
        random.shuffle(hosts)
        for host in hosts:
            address = (host, self.api_port)
            for _ in range(3):
                answer = call(address, method, path, body, timeout)
                if answer is None or answer[0] != 307:
                    break
                location = answer[2].get("Location", "").removeprefix("http://").split("/")[0]
                address = (location.split(":")[0], int(location.split(":")[1]))
            if answer is not None and answer[0] < 500 and answer[0] not in (307, 408, 429):
                return answer
        return None

    def put_configuration(self, document, seconds=20):
        return wait_for(lambda: self.call_any("POST", "/v1/Config.Replace", document), seconds,
                        "the configuration got no answer")

    def ready(self, index):
        answer = call((self.entry_hosts[index], self.ready_port), "GET", "/v1/readyz", None, 1.0)
        return answer is not None and answer[0] == 200


def call(address, method, path, body=None, timeout=2.0, headers=None):
    """One call on a new connection: (status, body, headers), or None without a whole answer."""
    connection = http.client.HTTPConnection(address[0], address[1], timeout=timeout)
    try:
        payload = None if body is None else body if isinstance(body, (bytes, str)) else json.dumps(body)
        connection.request(method, path, payload, {**({"Content-Type": "application/json"} if payload else {}),
                                                   **(headers or {})})
        response = connection.getresponse()
        return response.status, response.read(), dict(response.getheaders())
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()
