"""Starts a whole system: control hosts, entries in zones, engines, services, a store and optionally a fault proxy."""

import itertools
import time

import requests

from harness import get, post, wait_for
from parts import Engine, Proxy, Service, Store


class ControlHost:
    def __init__(self, cluster, name):
        harness = cluster.harness
        self.name = name
        self.address = harness.reserve_address()
        self.peer = harness.reserve_address()
        self.replica = harness.reserve_address()
        self.folder = harness.folder / f"data-{name}"
        self.process = None


class Entry:
    def __init__(self, cluster, name, zone):
        harness = cluster.harness
        self.name = name
        self.zone = zone
        self.address = harness.reserve_address()
        self.admin = harness.reserve_address()
        self.peer = harness.reserve_address()
        self.process = None


class Cluster:
    """All processes of one system and the requests that an operator sends to it.

    `zones` maps the name of a zone to its number of entries. `engines` is the number of engines in each zone: a dict by
    zone, or one number for every zone; `services` is the number of services in each zone. `proxied` routes every link
    between two processes through a fault proxy, except links of callers and operators and links to the store. A link
    between hosts belongs to these groups of the proxy: the name of either host, `A-B` and `B-A` for the pair of hosts,
    `border:ZONE` if the link leaves the zone, and `control:ZONE` if it connects the zone to a control host. The link to
    an engine or service belongs to its name, `targets` and `targets:ZONE`.
    """

    def __init__(self, harness, zones, controls=3, engines=1, services=0, proxied=False, entry_settings=None,
                 engine_settings=None, store_settings=None):
        self.harness = harness
        self.command_numbers = itertools.count()
        self.proxy = Proxy(harness) if proxied else None
        self.store = Store(harness, **(store_settings or {}))
        self.controls = [ControlHost(self, f"c{number}") for number in range(controls)]
        self.entries = [Entry(self, f"{zone}{number}", zone) for zone, count in zones.items()
                        for number in range(count)]
        self.zones = list(zones)
        for control in self.controls:
            control.process = harness.add_process("tamarackcove-control", self._control_settings(control), control.name)
        for entry in self.entries:
            entry.process = harness.add_process("tamarackcove-entry",
                                                {**self._entry_settings(entry), **(entry_settings or {})}, entry.name)
        self.engines = []
        self.services = []
        for zone in self.zones:
            announce_to = [entry.address for entry in self.entries if entry.zone == zone]
            for number in range(engines[zone] if isinstance(engines, dict) else engines):
                self.engines.append(self._target(Engine, f"e-{zone}{number}", zone, announce_to, self.store,
                                                 **(engine_settings or {})))
            for number in range(services):
                self.services.append(self._target(Service, f"s-{zone}{number}", zone, announce_to, "billing"))

    def _target(self, kind, name, zone, announce_to, *arguments, **settings):
        target = kind(self.harness, name, zone, announce_to, *arguments, **settings)
        if self.proxy:
            target.process.settings["announce_as"] = self.proxy.add_pair(f"to-{name}", target.address, name,
                                                                         "targets", f"targets:{zone}")
        return target

    def _link(self, source, source_zone, target, target_zone, address):
        if not self.proxy:
            return address
        groups = [source, target, f"{source}-{target}", f"{target}-{source}"]
        for zone in {source_zone, target_zone} - {None}:
            if source_zone != target_zone:
                groups.append(f"border:{zone}")
            if None in (source_zone, target_zone):
                groups.append(f"control:{zone}")
        return self.proxy.add_pair(f"{source}>{target}:{len(self.proxy.pairs)}", address, *groups)

    def _control_settings(self, control):
        return {"name": control.name, "listen": control.address, "peer_listen": control.peer,
                "replica_listen": control.replica, "data_folder": str(control.folder), "zones": self.zones,
                "peers": [{"name": other.name, "replica": self._link(control.name, None, other.name, None, other.replica)}
                          for other in self.controls if other is not control]}

    def _entry_settings(self, entry):
        return {"name": entry.name, "zone": entry.zone, "listen": entry.address, "admin_listen": entry.admin,
                "peer_listen": entry.peer,
                "control": [self._link(entry.name, entry.zone, control.name, None, control.peer)
                            for control in self.controls],
                "peers": [{"name": other.name, "zone": other.zone,
                           "peer": self._link(entry.name, entry.zone, other.name, other.zone, other.peer),
                           "http": self._link(entry.name, entry.zone, other.name, other.zone, other.address)}
                          for other in self.entries if other is not entry]}

    def start(self):
        self.store.process.start(wait=False)
        if self.proxy:
            self.proxy.process.start()
        self.start_control()
        for target in [*self.entries, *self.engines, *self.services]:
            target.process.start(wait=False)
        for process in [self.store, *self.engines, *self.services]:
            process.process.wait_ready()
        return self

    def start_control(self):
        for control in self.controls:
            control.process.start(wait=False)
        self.wait_for_leader()
        return self

    def wait_entries_ready(self, timeout=20):
        for entry in self.entries:
            wait_for(lambda one=entry: is_ready(one), timeout, f"{entry.name} is not ready:\n{entry.process.tail()}")
        return self

    # Requests of an operator to the control hosts.

    def status(self, control, timeout=2):
        try:
            return get(control.address, "/v1/status", timeout).json()
        except (requests.RequestException, ValueError):
            return None

    def wait_for_leader(self, timeout=10, among=None):
        """Waits until one of the hosts, by default all control hosts, reports the role of leader; returns the host."""
        def find():
            for control in among or self.controls:
                if control.process.running():
                    try:
                        reply = get(control.address, "/v1/status?local", 1).json()
                    except (requests.RequestException, ValueError):
                        continue
                    if role_of(reply) == "leader":
                        return control
            return None
        return wait_for(find, timeout, "no control host is the leader")

    def command(self, path, body, timeout=15, command_id=None, among=None):
        """Sends a command with one command id to the control hosts in turn until one replies other than 503 or 504."""
        body = {**body, "command_id": command_id or f"command-{next(self.command_numbers)}-{time.time_ns()}"}
        deadline = time.monotonic() + timeout
        hosts = itertools.cycle(among or self.controls)
        while True:
            try:
                reply = post(next(hosts).address, path, body, 3)
                if reply.status_code not in (503, 504):
                    return reply
            except requests.RequestException:
                reply = None
            if time.monotonic() > deadline:
                raise AssertionError(f"{path} was not accepted within {timeout} s, last reply: "
                                     f"{reply.text if reply is not None else None}")
            time.sleep(0.1)

    def configure(self, intent, timeout=15):
        """Creates an intent and confirms its plan; returns the revision."""
        plan = self.command("/v1/intents", intent, timeout)
        assert plan.status_code == 200, plan.text
        body = plan.json()
        reply = self.command(f"/v1/plans/{plan_id(body)}/confirm", {"base_revision": body["base_revision"]}, timeout)
        assert reply.status_code == 200, reply.text
        return reply.json()["revision"]

    def configure_adapters(self, adapters, prefix="adapter-", **extra):
        """Configures the adapters that the load generator requests; returns the revision."""
        return self.configure({"name": f"intent-{prefix}", "service": "drafting", "priority": "normal",
                               "adapters": adapter_list(adapters, prefix), **extra})


def plan_id(body):
    return body.get("plan") or body["id"]


def role_of(status):
    return status.get("role") or status.get("control", {}).get("role")


def adapter_list(count, prefix="adapter-", version="1"):
    return [{"name": f"{prefix}{number:05}", "version": version, "base_model": "base", "current": True}
            for number in range(count)]


def is_ready(entry):
    try:
        return get(entry.admin, "/readyz", 1).status_code == 200
    except requests.RequestException:
        return False
