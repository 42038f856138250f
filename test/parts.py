"""The processes that tests combine: each class generates the settings of one process and adds it to the harness."""


class Store:
    def __init__(self, harness, **settings):
        self.address = harness.reserve_address()
        self.process = harness.add_process("tamarackcove-fake-store", {"listen": self.address, **settings}, "store")


class Engine:
    def __init__(self, harness, name, zone, announce_to, store=None, **settings):
        self.address = harness.reserve_address()
        self.name = name
        self.zone = zone
        body = {"name": name, "zone": zone, "listen": self.address, "announce_to": announce_to,
                "base_model": "base", "step_base_us": 1500, "step_per_sequence_us": 100, "adapter_slots": 4,
                "max_batch": 8, **settings}
        if store:
            body["store"] = store.address
        self.process = harness.add_process("tamarackcove-fake-engine", body, name)


class Service:
    def __init__(self, harness, name, zone, announce_to, service, **settings):
        self.address = harness.reserve_address()
        self.name = name
        self.zone = zone
        body = {"name": name, "zone": zone, "listen": self.address, "announce_to": announce_to, "kind": "service",
                "service": service, **settings}
        self.process = harness.add_process("tamarackcove-fake-engine", body, name)


class Proxy:
    """A fault proxy. It reads its pairs of listen and target addresses at startup, so they are added before."""

    def __init__(self, harness, name="proxy"):
        self.harness = harness
        self.control = harness.reserve_address()
        self.pairs = []
        self.process = harness.add_process("tamarackcove-fault-proxy", {"control": self.control, "pairs": self.pairs},
                                           name)

    def add_pair(self, name, target, *groups):
        listen = self.harness.reserve_address()
        self.pairs.append({"name": name, "groups": list(groups), "listen": listen, "target": target})
        return listen

    def set_faults(self, **changes):
        from harness import post
        reply = post(self.control, "/faults", changes)
        assert reply.status_code == 200, reply.text


class StaticEntry:
    """An entry without a control group: its settings list its targets and adapters."""

    def __init__(self, harness, name, adapters, engines=(), services=(), **settings):
        self.address = harness.reserve_address()
        self.admin = harness.reserve_address()
        body = {"name": name, "zone": "a", "listen": self.address, "admin_listen": self.admin,
                "static": {
                    "adapters": [{"name": adapter.split("@")[0], "version": adapter.split("@")[1],
                                  "base_model": "base", "current": True} for adapter in adapters],
                    "services": [{"name": service.process.settings["service"], "repeatable": False}
                                 for service in services][:1],
                    "targets": [{"id": engine.name, "endpoint": getattr(engine, "through", engine.address),
                                 "base_model": "base", "max_batch": engine.process.settings["max_batch"],
                                 "adapters": list(adapters)} for engine in engines]
                    + [{"id": service.name, "endpoint": getattr(service, "through", service.address),
                        "service": service.process.settings["service"]} for service in services]},
                **settings}
        self.process = harness.add_process("tamarackcove-entry", body, name)


def load_adapters(engine, adapters):
    from harness import post
    for adapter in adapters:
        reply = post(engine.address, "/v1/load_lora_adapter", {"lora_name": adapter})
        assert reply.status_code == 200, reply.text
