"""Settings of the single processes, and ways to start them."""


class Store:
    def __init__(self, harness, **settings):
        self.address = harness.reserve()
        self.process = harness.process("tamarackcove-fake-store", {"listen": self.address, **settings}, "store")


class Engine:
    def __init__(self, harness, name, zone, announce_to, store=None, **settings):
        self.address = harness.reserve()
        self.name = name
        self.zone = zone
        body = {"name": name, "zone": zone, "listen": self.address, "announce_to": announce_to,
                "base_model": "base", "step_base_us": 1500, "step_per_sequence_us": 100, "adapter_slots": 4,
                "max_batch": 8, **settings}
        if store:
            body["store"] = store.address
        self.process = harness.process("tamarackcove-fake-engine", body, name)


class Service:
    def __init__(self, harness, name, zone, announce_to, service, **settings):
        self.address = harness.reserve()
        self.name = name
        self.zone = zone
        body = {"name": name, "zone": zone, "listen": self.address, "announce_to": announce_to, "kind": "service",
                "service": service, **settings}
        self.process = harness.process("tamarackcove-fake-engine", body, name)


class Proxy:
    """A fault proxy; add pairs before it is started."""

    def __init__(self, harness, name="proxy"):
        self.harness = harness
        self.control = harness.reserve()
        self.pairs = []
        self.process = harness.process("tamarackcove-fault-proxy", {"control": self.control, "pairs": self.pairs}, name)

    def pair(self, name, target, *groups):
        listen = self.harness.reserve()
        self.pairs.append({"name": name, "groups": list(groups), "listen": listen, "target": target})
        return listen

    def faults(self, **changes):
        from harness import post
        reply = post(self.control, "/faults", changes)
        assert reply.status_code == 200, reply.text
