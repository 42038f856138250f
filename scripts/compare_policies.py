#!/usr/bin/python3
"""Compares the policies of the entries on the same traces; prints a table and writes a CSV file and a plot.

Each run starts the real processes of a deployment (--deployment dodo or vestland, at reduced rates) with one policy,
sends the trace of one scenario, and reads load stalls from the load generator and batch efficiency from the engines."""

import argparse
import csv
import pathlib
import subprocess
import sys
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test"))

from cluster import Cluster  # noqa: E402
from harness import Harness, get, post  # noqa: E402

DEPLOYMENTS = {
    "dodo": {"zones": {"a": 2, "b": 2, "c": 2, "d": 1}, "engines": {"a": 5, "b": 5, "c": 4, "d": 4},
             "store": {"loads_per_second": 7, "concurrent_loads": 3}, "rate": 25},
    "vestland": {"zones": {"a": 3, "b": 2, "c": 2}, "engines": {"a": 3, "b": 3, "c": 3},
                 "store": {"loads_per_second": 3, "concurrent_loads": 2}, "rate": 12},
}
POLICIES = ["default", "least_loaded_lru", "least_loaded_lfu", "bounded_rendezvous_lru"]
SCENARIOS = ["steady", "shift", "burst", "cold_restart", "zone_cut"]
ENGINE = {"adapter_slots": 8, "max_batch": 8, "step_base_us": 15000, "step_per_sequence_us": 500}
# Fewer than in the deployments: with 3,000 adapters, loading each of them once keeps the store busy for minutes.
ADAPTERS = 600
FIELDS = ["deployment", "scenario", "policy", "sent", "ok", "refused", "failed", "wrong", "load_stall_s", "stalled",
          "batch_efficiency", "first_token_p50_ms", "first_token_p95_ms", "loads", "loads_in_one_second",
          "loads_at_once"]


def trace_settings(arguments, scenario, rate):
    length = arguments.seconds * 1000
    settings = {"adapters": ADAPTERS, "seed": arguments.seed, "requests_per_second": rate, "length_ms": length,
                "zipf_exponent": 1.2, "answer_tokens": [20, 60], "stream_share": 0.7, "high_share": 0.1,
                "low_share": 0.2, "timeout_ms": 30000, "max_attempts": 1}
    if scenario == "shift":
        settings["shift_at_ms"] = length // 2
    if scenario == "burst":
        settings.update(burst_every_ms=length // 2, burst_length_ms=4000, burst_factor=3)
    return settings


def inject_fault(cluster, scenario, delay):
    """Injects the fault of the scenario, if it has one, after `delay` seconds."""
    time.sleep(delay)
    if scenario == "cold_restart":
        for engine in cluster.engines[: len(cluster.engines) // 3]:
            post(engine.address, "/faults", {"cold_restart": True})
    if scenario == "zone_cut":
        cluster.proxy.set_faults(group="border:a", cut=True)


def run(arguments, scenario, policy):
    deployment = DEPLOYMENTS[arguments.deployment]
    with Harness() as harness:
        cluster = Cluster(harness, deployment["zones"], engines=deployment["engines"],
                          store_settings=deployment["store"], engine_settings=ENGINE,
                          entry_settings={"policy": policy}, proxied=scenario == "zone_cut").start()
        cluster.configure_adapters(ADAPTERS, store=deployment["store"])
        cluster.wait_entries_ready(30)
        endpoints = [entry.address for entry in cluster.entries]
        warm_up = trace_settings(arguments, "steady", deployment["rate"])
        warm_up.update(endpoints=endpoints, length_ms=arguments.warm_up * 1000, seed=arguments.seed + 1)
        harness.start_load(warm_up).finish(180)
        before = [get(engine.address, "/v1/state").json() for engine in cluster.engines]
        settings = trace_settings(arguments, scenario, deployment["rate"])
        settings["endpoints"] = endpoints
        load = harness.start_load(settings)
        fault = threading.Thread(target=inject_fault, args=(cluster, scenario, arguments.seconds / 2))
        fault.start()
        result = load.finish(180)
        fault.join()
        after = [get(engine.address, "/v1/state").json() for engine in cluster.engines]
        store = get(cluster.store.address, "/stats").json()
    return result_row(arguments, scenario, policy, result, before, after, store)


def result_row(arguments, scenario, policy, result, before, after, store):
    steps = sum(end["batch_steps"] - begin["batch_steps"] for begin, end in zip(before, after))
    filled = sum(end["batch_efficiency"] * end["batch_steps"] - begin["batch_efficiency"] * begin["batch_steps"]
                 for begin, end in zip(before, after))
    first = result["latency"]["first_token"]
    return {"deployment": arguments.deployment, "scenario": scenario, "policy": policy, "sent": result["sent"],
            "ok": result["ok"], "refused": result["refused"], "failed": result["failed"],
            "wrong": sum(result[key] for key in ("lost", "cut", "doubled", "wrong_adapter", "crossed")),
            "load_stall_s": round(result["load_stall_ms"] / 1000, 2), "stalled": result["stalled_requests"],
            "batch_efficiency": round(filled / max(1, steps), 4),
            "first_token_p50_ms": round(first["p50_ms"], 1), "first_token_p95_ms": round(first["p95_ms"], 1),
            "loads": store["loads"], "loads_in_one_second": store["max_in_window"],
            "loads_at_once": store["max_in_flight"]}


def plot(rows, path):
    """Draws a bar chart of the total load stall by scenario and policy."""
    scenarios = list(dict.fromkeys(one["scenario"] for one in rows))
    policies = list(dict.fromkeys(one["policy"] for one in rows))
    stalls = {(one["scenario"], one["policy"]): one["load_stall_s"] for one in rows}
    data = ["scenario " + " ".join(policies)]
    data += [f"{scenario} " + " ".join(str(stalls.get((scenario, policy), 0)) for policy in policies)
             for scenario in scenarios]
    commands = f"""
set terminal png noenhanced size 1000,500
set yrange [0:*]
set output '{path}'
set style data histograms
set style fill solid 0.8
set ylabel 'total load stall (s)'
set key autotitle columnhead
$data << EOD
{chr(10).join(data)}
EOD
plot for [column=2:{len(policies) + 1}] $data using column:xtic(1)
"""
    subprocess.run(["gnuplot"], input=commands, text=True, check=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="dodo")
    parser.add_argument("--scenarios", nargs="+", choices=SCENARIOS, default=SCENARIOS)
    parser.add_argument("--policies", nargs="+", choices=POLICIES, default=POLICIES)
    parser.add_argument("--seconds", type=int, default=20, help="length of the measured trace, in seconds")
    parser.add_argument("--warm-up", type=int, default=10, help="length of the warm-up trace, in seconds")
    parser.add_argument("--seed", type=int, default=7)
    parser.add_argument("--out", type=pathlib.Path, default=ROOT / "build" / "policies",
                        help="path of the CSV and PNG files without the extension")
    arguments = parser.parse_args()
    rows = []
    print(" ".join(f"{field:>12.12}" for field in FIELDS[1:]))
    for scenario in arguments.scenarios:
        for policy in arguments.policies:
            rows.append(run(arguments, scenario, policy))
            print(" ".join(f"{str(rows[-1][field]):>12.12}" for field in FIELDS[1:]), flush=True)
    with open(arguments.out.with_suffix(".csv"), "w", newline="") as file:
        writer = csv.DictWriter(file, FIELDS)
        writer.writeheader()
        writer.writerows(rows)
    plot(rows, arguments.out.with_suffix(".png"))
    print(f"seed {arguments.seed}; wrote {arguments.out}.csv and {arguments.out}.png")


if __name__ == "__main__":
    main()
