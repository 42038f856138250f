"""Starts a group of control hosts without entries for integration tests."""

import json
import subprocess
import uuid

import requests

from harness import BIN, wait_for


class ControlGroup:
    """The control processes of one group and the requests that an operator sends to them."""

    def __init__(self, harness, zones, count=3, election_ms=300):
        names = [f"c{number}" for number in range(1, count + 1)]
        replicas = {name: harness.reserve_address() for name in names}
        self.harness = harness
        self.hosts = []
        for name in names:
            settings = {
                "name": name, "zones": zones, "listen": harness.reserve_address(),
                "peer_listen": harness.reserve_address(), "replica_listen": replicas[name],
                "data_folder": str(harness.folder / name),
                "min_election_timeout_ms": election_ms, "max_election_timeout_ms": 2 * election_ms,
                "peers": [{"name": other, "replica": replicas[other]} for other in names if other != name],
            }
            self.hosts.append(harness.add_process("tamarackcove-control", settings, name))

    def start(self):
        for host in self.hosts:
            host.start(wait=False)
        for host in self.hosts:
            host.wait_ready()

    def url(self, host, path):
        return f"http://{host.settings['listen']}{path}"

    def status(self, host, local=True):
        return requests.get(self.url(host, "/v1/status" + ("?local" if local else "")), timeout=5).json()

    def find_leader(self):
        """Returns the host that answers /v1/intents with 200, which only a leader with a majority does, or None."""
        for host in self.hosts:
            if host.running():
                try:
                    reply = requests.get(self.url(host, "/v1/intents"), timeout=2, allow_redirects=False)
                except requests.RequestException:
                    continue
                if reply.status_code == 200:
                    return host
        return None

    def wait_for_leader(self, timeout=15):
        return wait_for(self.find_leader, timeout, "no control host is the leader")

    def run_ctl(self, *arguments, timeout=20):
        endpoints = ",".join(host.settings["listen"] for host in self.hosts)
        completed = subprocess.run([BIN / "tamarackcovectl", "--control", endpoints, *arguments], timeout=timeout,
                                   stdin=subprocess.DEVNULL, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)
        return completed.returncode, completed.stdout, completed.stderr

    def post(self, host, path, body, timeout=5):
        return requests.post(self.url(host, path), json=body, timeout=timeout)

    def intent_command(self, name, version="1", **more):
        adapters = [{"name": f"{name}-adapter", "version": version, "base_model": "base", "current": True}]
        return {"command_id": uuid.uuid4().hex, "name": name, "service": "drafting", "adapters": adapters, **more}

    def configure(self, name, version="1"):
        """Creates an intent and confirms its plan with tamarackcovectl; returns the revision."""
        path = self.harness.folder / f"{uuid.uuid4().hex}.json"
        path.write_text(json.dumps(self.intent_command(name, version)))
        code, out, err = self.run_ctl("--json", "intent", "create", "--file", str(path))
        assert code == 0, err
        code, out, err = self.run_ctl("--json", "plan", "confirm", json.loads(out)["plan"])
        assert code == 0, err
        return json.loads(out)["revision"]
