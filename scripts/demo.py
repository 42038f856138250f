#!/usr/bin/python3
"""Runs a small deployment on this machine and checks every response.

7 entries in 4 zones, 3 control hosts, 18 engines, 4 services and a weight store; an operator creates an intent and
confirms its plan with tamarackcovectl; then a load generator sends a few hundred requests. The exit code is 0 if every
response was correct, else 1."""

import json
import pathlib
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test"))

from cluster import Cluster, adapter_list, is_ready  # noqa: E402
from harness import BIN, Harness, get, wait_for  # noqa: E402

ADAPTERS = 60
STORE = {"loads_per_second": 7, "concurrent_loads": 3}
ENGINES = {"a": 5, "b": 5, "c": 4, "d": 4}


def run_ctl(cluster, *arguments):
    """Runs tamarackcovectl with the addresses of all control hosts and returns its JSON output."""
    command = [str(BIN / "tamarackcovectl"), "--json"]
    for control in cluster.controls:
        command += ["--control", control.address]
    completed = subprocess.run([*command, *arguments], capture_output=True, text=True, timeout=30)
    if completed.returncode != 0:
        raise AssertionError(f"tamarackcovectl {' '.join(arguments)}: {completed.stderr}{completed.stdout}")
    return json.loads(completed.stdout)


def configure(cluster, folder, intent):
    path = folder / f"intent-{intent['name']}.json"
    path.write_text(json.dumps(intent))
    plan = run_ctl(cluster, "--file", str(path), "intent", "create")
    print(f"plan {plan['plan']} for intent {intent['name']}: {plan['counts']}")
    reply = run_ctl(cluster, "plan", "confirm", plan["plan"])
    print(f"confirmed as revision {reply['revision']}")
    return reply["revision"]


def main():
    start_time = time.monotonic()
    with Harness() as harness:
        cluster = Cluster(harness, {"a": 2, "b": 2, "c": 2, "d": 1}, engines=ENGINES, services=1, store_settings=STORE,
                          engine_settings={"adapter_slots": 4, "max_batch": 8, "step_base_us": 4000})
        cluster.start()
        print(f"started {len(harness.processes)} processes in {time.monotonic() - start_time:.1f} s")
        configure(cluster, harness.folder, {"name": "drafting", "service": "drafting", "priority": "normal",
                                            "adapters": adapter_list(ADAPTERS), "store": STORE})
        revision = configure(cluster, harness.folder, {
            "name": "billing", "service": "billing",
            "route": {"repeatable": False, "timeout_ms": 5000, "share_percent": 50}})
        confirmation_time = time.monotonic()
        wait_for(lambda: all(map(is_ready, cluster.entries)), 30, "not every entry is ready")
        wait_for(lambda: cluster.status(cluster.wait_for_leader())["entries"]["in_force"] == len(cluster.entries), 30,
                 f"revision {revision} is not in force on every entry")
        print(f"revision {revision} is in force on {len(cluster.entries)} entries after "
              f"{time.monotonic() - confirmation_time:.1f} s")
        run = harness.start_load({
            "endpoints": [entry.address for entry in cluster.entries], "adapters": ADAPTERS, "seed": 20,
            "requests_per_second": 25, "length_ms": 20000, "zipf_exponent": 1.1, "shift_at_ms": 10000,
            "stream_share": 0.6, "high_share": 0.1, "low_share": 0.2, "service_share": 0.1, "service": "billing",
            "not_repeatable_share": 0.1, "max_attempts": 5, "resend_broken": True, "timeout_ms": 30000})
        result = run.finish()
        print((harness.folder / "load-0.log").read_text())
        stats = get(cluster.store.address, "/stats").json()
        print(f"store: {stats['loads']} loads, at most {stats['max_in_flight']} at once, at most "
              f"{stats['max_in_window']} in one second")
        states = [get(engine.address, "/v1/state").json() for engine in cluster.engines]
        in_use = sum(state["unloads_in_use"] for state in states)
        executions = [get(service.address, "/executions").json() for service in cluster.services]
        repeated = sum(one["repeated"] for one in executions)
        print(f"unloads of adapters in use: {in_use}; calls run more than once: {repeated}")
        all_correct = (result["exit_code"] == 0 and result["ok"] == result["sent"] and in_use == 0 and repeated == 0)
        if not all_correct:
            print(run.bad_rows())
            harness.keep_logs = True
        print(f"{'every response was right' if all_correct else 'NOT every response was right'}; "
              f"{time.monotonic() - start_time:.0f} s in all")
        return 0 if all_correct else 1


if __name__ == "__main__":
    sys.exit(main())
