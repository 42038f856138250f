"""Stand-ins for the platform, its clients and its servers, for the scripts of this folder.

They speak what PROTOCOL.md says, on loopback addresses, with the standard library of Python only. Run as a program,
this file is one server of a plain service.
"""

import asyncio
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "target" / "bin"
HEARTBEAT_MS = 1200
CONTACT_S = 3.0
BOUNDS = {"retryRatio": 0.2, "retrySlack": 54, "retryWindowS": 10, "graceS": 8, "leaseMs": 3000}


def fill_template(template, values):
    """Fills {{a.b}} and {{a.b|json}} as the platform does."""
    def value(match):
        found = values
        for part in match.group(1).split("."):
            found = found[part]
        return json.dumps(found) if match.group(2) else str(found)
    return re.sub(r"\{\{([A-Za-z.]+)(\|json)?\}\}", value, template)


def free_ports(addresses, count):
    """Returns that many ports in a row which are free at all addresses."""
    for _ in range(200):
        first = random.randint(20000, 32000)
        held = []
        try:
            for address in addresses:
                for port in range(first, first + count):
                    bound = socket.socket()
                    held.append(bound)
                    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    bound.bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for bound in held:
                bound.close()
    raise RuntimeError("no free ports")


class Machine:
    """A machine of the deployment with one process, which is started with the command of the deploy file."""

    def __init__(self, system, role, name, ip, zone):
        self.system, self.role, self.name, self.ip, self.zone = system, role, name, ip, zone
        self.popen = None
        self.data = system.folder / f"data-{name}"
        self.settings = system.folder / f"{name}.json"
        self.log = system.folder / f"{name}.log"

    def write_settings(self, first_start):
        system = self.system
        values = {
            "nodeName": self.name, "zone": self.zone, "ip": self.ip, "seeds": system.seeds, "bootstrap": first_start,
            "portRange": [system.port + 4, system.port + 19], "dataDir": str(self.data), "heartbeatMs": HEARTBEAT_MS,
            "listen": {"front": f"{self.ip}:{system.port}", "ready": f"{self.ip}:{system.port + 1}",
                       "control": f"{self.ip}:{system.port + 2}"},
            "faultTolerance": {"machines": 1}, "bounds": BOUNDS}
        text = (ROOT / "deploy" / f"{self.role}.json").read_text()
        # The deploy file names one metrics port for all machines, which need not be free here.
        text = text.replace(":9464", f":{system.port + 3}")
        self.settings.write_text(fill_template(text, values))

    def start(self, first_start=False):
        if self.role == "control":
            self.data.mkdir(exist_ok=True)
        self.write_settings(first_start)
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen([BIN / f"tamarackcove-platform-{self.role}", "--settings", self.settings],
                                          stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT)
        return self

    def send_signal(self, number):
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait(10)

    @property
    def front(self):
        return self.ip, self.system.port

    @property
    def control(self):
        return self.ip, self.system.port + 2


class System:
    """A small deployment: control hosts in three zones and entries, each at a loopback address of its own."""

    def __init__(self, record, controls=3, entries=2):
        self.record = record
        # A script that runs out of time still ends all processes that it has started.
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="tamarackcove-review-"))
        base = f"127.{random.randint(20, 200)}.{random.randint(0, 250)}"
        control_ips = [f"{base}.{10 + number}" for number in range(controls)]
        entry_ips = [f"{base}.{50 + number}" for number in range(entries)]
        self.server_ip = f"{base}.100"
        self.port = free_ports([*control_ips, *entry_ips, self.server_ip], 40)
        self.seeds = [f"{ip}:{self.port + 2}" for ip in control_ips[:3]]
        zones = ["z1", "z2", "z3"]
        self.controls = [Machine(self, "control", f"core-{number}", ip, zones[number % 3])
                         for number, ip in enumerate(control_ips)]
        self.entries = [Machine(self, "entry", f"edge-{number}", ip, zones[number % 3])
                        for number, ip in enumerate(entry_ips)]
        self.servers = []

    def close(self):
        for server in self.servers:
            server.close()
        for machine in [*self.entries, *self.controls]:
            machine.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def control_addresses(self):
        return [machine.control for machine in self.controls]

    def entry_ready(self, machine):
        try:
            connection = http.client.HTTPConnection(machine.ip, self.port + 1, timeout=1)
            connection.request("GET", "/v1/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        except http.client.HTTPException:
            return False


class Record:
    """The file record.txt: one line an event, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.startedAt = time.monotonic()

    def add(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.startedAt:8.3f} {text}\n")
            self.file.flush()


def call(address, method, path, body=None, timeout=1.0, headers=None):
    """One call; returns status, headers in lower case and body, or None where no answer came."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, {name.lower(): value for name, value in response.getheaders()}, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def call_control(addresses, method, path, body=None, deadline_s=20.0, timeout=1.0):
    """Calls control as operators and servers do: the next host after no answer, a 5xx, 408 or 429; 307 twice."""
    end = time.monotonic() + deadline_s
    pause = 0.05
    headers = {"Content-Type": "application/json"} if body is not None else {}
    last = None
    while time.monotonic() < end:
        for address in random.sample(addresses, len(addresses)):
            target, target_path = address, path
            for _ in range(3):
                last = call(target, method, target_path, body, timeout, headers)
                if last is None or last[0] != 307:
                    break
                location = urllib.parse.urlsplit(last[1]["location"])
                target, target_path = (location.hostname, location.port), location.path
            if last is not None and last[0] not in (307, 408, 429) and last[0] < 500:
                return last
        time.sleep(pause)
        pause = min(1.0, pause * 2)
    return last


def send_request(address, method, path, host, attempt, body=b"", deadline_ms=1500, timeout=2.5):
    """One client attempt on a new channel."""
    return call(address, method, path, body, timeout,
                {"Host": host, "Tamarackcove-Attempt-Id": attempt, "Tamarackcove-Deadline-Ms": str(deadline_ms)})


def plain_configuration(version, routes, services=("desk",)):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": False}
                     for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})


def plain_route(name, prefix, kind, attempts, timeout_ms=1500, service="desk", host="shop.example"):
    return {"name": name, "host": host, "pathPrefix": prefix, "type": kind, "timeoutMs": timeout_ms, "goalMs": 150,
            "priority": 0, "service": service, "attempts": attempts, "sticky": False, "resumable": False}


class ServerPlace:
    """The address of one server. Its process is started again, as a new boot, some seconds after it has crashed."""

    RestartDelay = 2.0

    def __init__(self, system, number, service="desk", work_ms=30, slots=6):
        self.system, self.number = system, number
        self.service, self.work_ms, self.slots = service, work_ms, slots
        self.events = []
        self.closed = False
        self.popen = None
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        system.servers.append(self)

    def _run(self):
        boot = 0
        while not self.closed:
            boot += 1
            settings = {"id": f"i-{self.number}-{boot}", "ip": self.system.server_ip,
                        "port": self.system.port + 20 + self.number, "service": self.service, "zone": "z1",
                        "slots": self.slots, "work_ms": self.work_ms,
                        "control": self.system.control_addresses()}
            self.popen = subprocess.Popen([sys.executable, __file__, json.dumps(settings)], stdin=subprocess.DEVNULL,
                                          stdout=subprocess.PIPE, text=True)
            for line in self.popen.stdout:
                event = json.loads(line)
                event["server"] = self.number
                event["at"] = time.monotonic()
                self.events.append(event)
                self.system.record.add(f"server {self.number}: " + " ".join(
                    f"{key}={value}" for key, value in event.items() if key not in ("at", "server")))
            self.popen.wait()
            time.sleep(self.RestartDelay)

    def close(self):
        self.closed = True
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
        self.thread.join(5)


class PlainServer:
    """A server of a plain service, in a process of its own. A request whose path holds /deadly/ crashes it as soon as
    it begins to run."""

    def __init__(self, settings):
        self.settings = settings
        self.id = settings["id"]
        self.address = f"{settings['ip']}:{settings['port']}"
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)

    @staticmethod
    def log(**event):
        print(json.dumps(event), flush=True)

    async def run(self):
        server = await asyncio.start_server(self.serve, self.settings["ip"], self.settings["port"])
        self.log(event="started", id=self.id)
        asyncio.get_running_loop().create_task(self.heartbeats())
        async with server:
            await server.serve_forever()

    async def heartbeats(self):
        addresses = [tuple(address) for address in self.settings["control"]]
        while True:
            self.sequence += 1
            body = json.dumps({"service": self.settings["service"], "addr": self.address,
                               "zone": self.settings["zone"], "version": "v1", "slots": self.settings["slots"],
                               "state": "ready", "coldLeftMs": 0, "seq": self.sequence, "born": self.born})
            await asyncio.get_running_loop().run_in_executor(
                None, call_control, addresses, "POST", f"/v1/Instances.Heartbeat/{self.id}", body, 1.2)
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {}
        for line in head[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        attempt = headers.get("tamarackcove-attempt-id", "")
        if target == "/healthz":
            return await self.answer(writer, 200, attempt, b"", {"Tamarackcove-Instance-Id": self.id})
        if headers.get("tamarackcove-expect-instance", self.id) != self.id:
            return await self.answer(writer, 421, attempt, b"", {"Tamarackcove-Instance-Id": self.id,
                                                                 "Tamarackcove-Not-Executed": "1"})
        if self.running >= self.settings["slots"]:
            return await self.answer(writer, 503, attempt, b"", {"Tamarackcove-Not-Executed": "1"})
        self.log(event="runs", attempt=attempt, method=method, path=target, bytes=len(body))
        if "/deadly/" in target:
            self.log(event="crashes", attempt=attempt)
            os._exit(1)
        self.running += 1
        try:
            await asyncio.sleep(self.settings["work_ms"] / 1000)
        finally:
            self.running -= 1
        self.log(event="answered", attempt=attempt)
        return await self.answer(writer, 200, attempt, b"ok " + attempt.encode(),
                                 {"Tamarackcove-Server-Seal": f"seal.{self.id}.{attempt}"})

    @staticmethod
    async def answer(writer, status, attempt, body, headers):
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", f"Tamarackcove-Attempt-Id: {attempt}",
                 *[f"{name}: {value}" for name, value in headers.items()]]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return True


if __name__ == "__main__":
    asyncio.run(PlainServer(json.loads(sys.argv[1])).run())
