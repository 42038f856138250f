#!/usr/bin/python3
"""Measures the cost of the request path in the entries; prints the figures and writes them as CSV.

added:  latency through 7 entries minus latency directly to the same engines, in the same run; responses of one token.
relay:  CPU time of an entry per relayed token, over long streams.
idle:   CPU time and memory of the entries of a whole system without callers.
`added` and `relay` use entries with fixed targets. Every response is checked; the exit code is 1 if one was wrong."""

import argparse
import csv
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test"))

from cluster import Cluster, adapter_list  # noqa: E402
from harness import Harness, metric  # noqa: E402
from parts import Engine, StaticEntry, load_adapters  # noqa: E402

ENTRIES = 7
ADAPTERS = 4
FIELDS = ["part", "rate", "figure", "value", "unit", "target"]


def cpu_seconds(process):
    """Returns the CPU time of the process, from the scheduler statistics, which are in nanoseconds."""
    return int(pathlib.Path(f"/proc/{process.popen.pid}/schedstat").read_text().split()[0]) / 1e9


def resident_mb(process):
    for line in pathlib.Path(f"/proc/{process.popen.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("no VmRSS in /proc/PID/status")


class Table:
    def __init__(self):
        self.rows = []
        self.all_correct = True

    def add(self, part, rate, figure, value, unit, target=""):
        self.rows.append({"part": part, "rate": rate, "figure": figure, "value": f"{value:.4g}", "unit": unit,
                          "target": target})
        print(f"{part:6} {rate!s:>5} {figure:28} {value:10.3f} {unit:12} {target}", flush=True)

    def write(self, path):
        with open(path, "w", newline="") as file:
            writer = csv.DictWriter(file, FIELDS)
            writer.writeheader()
            writer.writerows(self.rows)


class StaticPath:
    """Entries with fixed targets; the settings in `engine` set the delay of the engines per token."""

    def __init__(self, harness, entries, engines, **engine):
        self.harness = harness
        names = [adapter["name"] + "@" + adapter["version"] for adapter in adapter_list(ADAPTERS)]
        self.engines = [Engine(harness, f"e{number}", "a", [], max_batch=512, **engine) for number in range(engines)]
        self.entries = [StaticEntry(harness, f"entry{number}", names, self.engines) for number in range(entries)]
        for process in [*self.engines, *self.entries]:
            process.process.start()
        for engine in self.engines:
            load_adapters(engine, names)

    def run(self, table, **settings):
        """Runs a load; returns its result and the CPU seconds that the entries spent on it."""
        before = [cpu_seconds(entry.process) for entry in self.entries]
        run = self.harness.start_load({
            "endpoints": [entry.address for entry in self.entries], "direct": [one.address for one in self.engines],
            "preload_direct": False, "adapters": ADAPTERS, "zipf_exponent": 0, "prompt_words": [4, 8], **settings})
        result = run.finish()
        if result["exit_code"] != 0 or result["ok"] != result["sent"]:
            table.all_correct = False
            print(f"NOT every response was right: {result['errors_by_code']}\n{run.bad_rows()}")
        cpu_used = [cpu_seconds(entry.process) - cpu_before for entry, cpu_before in zip(self.entries, before)]
        return result, sum(cpu_used)


def measure_added(table, rate, seconds):
    with Harness() as harness:
        path = StaticPath(harness, ENTRIES, 4, step_base_us=0, step_per_sequence_us=0)
        settings = {"direct_share": 0.5, "answer_tokens": [1, 1], "stream_share": 0.5, "requests_per_second": 2 * rate}
        path.run(table, **{**settings, "length_ms": 1000, "requests_per_second": rate, "seed": 8})
        result, cpu_used = path.run(table, **{**settings, "length_ms": int(1000 * seconds), "seed": 9})
        for quantile, target in (("p50", "<= 0.5"), ("p95", ""), ("p99", "<= 3")):
            through = result["latency"]["total"][f"{quantile}_ms"]
            direct = result["latency_direct"]["total"][f"{quantile}_ms"]
            table.add("added", rate, f"{quantile} direct", direct, "ms")
            table.add("added", rate, f"{quantile} through an entry", through, "ms")
            table.add("added", rate, f"{quantile} added", through - direct, "ms", target)
        count = result["latency"]["total"]["count"]
        table.add("added", rate, "CPU per request", 1e6 * cpu_used / count, "us")


def measure_relay(table, rate, seconds, tokens):
    with Harness() as harness:
        path = StaticPath(harness, 1, 2, step_base_us=5000, step_per_sequence_us=0)
        entry = path.entries[0]
        settings = {"answer_tokens": [tokens, tokens], "stream_share": 1, "requests_per_second": rate}
        path.run(table, **settings, length_ms=500, seed=8)
        before = metric(entry.admin, "tamarackcove_tokens_relayed_total")
        _, cpu_used = path.run(table, **settings, length_ms=int(1000 * seconds), seed=9)
        relayed = metric(entry.admin, "tamarackcove_tokens_relayed_total") - before
        table.add("relay", rate, "tokens relayed", relayed, "tokens")
        table.add("relay", rate, "CPU per token", 1e6 * cpu_used / relayed, "us", "<= 10")
        table.add("relay", rate, "memory after the load", resident_mb(entry.process), "MB")


def measure_idle(table, seconds):
    with Harness() as harness:
        cluster = Cluster(harness, {"a": 2, "b": 2, "c": 2, "d": 1}, engines=2).start()
        cluster.configure_adapters(ADAPTERS)
        cluster.wait_entries_ready()
        # Excludes the loading of adapters and the opening of connections in the first seconds after the start.
        time.sleep(5)
        before = [cpu_seconds(entry.process) for entry in cluster.entries]
        start_time = time.monotonic()
        time.sleep(seconds)
        elapsed = time.monotonic() - start_time
        shares = [100 * (cpu_seconds(entry.process) - cpu_before) / elapsed
                  for entry, cpu_before in zip(cluster.entries, before)]
        table.add("idle", 0, "CPU, mean of the entries", sum(shares) / len(shares), "% of a core", "<= 0.5")
        table.add("idle", 0, "CPU, busiest entry", max(shares), "% of a core", "<= 0.5")
        table.add("idle", 0, "memory, largest entry", max(resident_mb(entry.process) for entry in cluster.entries), "MB",
                  "<= 32")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--parts", default="added,relay,idle", help="which parts to measure")
    parser.add_argument("--rates", default="150,750,1500", help="requests/s over all entries for the part `added`")
    parser.add_argument("--seconds", type=float, default=8, help="length of each measurement, in seconds")
    parser.add_argument("--relay-rate", type=int, default=20, help="streams/s for the part `relay`")
    parser.add_argument("--relay-tokens", type=int, default=400, help="tokens of each stream")
    parser.add_argument("--csv", default="measure_path.csv", help="path of the CSV file")
    arguments = parser.parse_args()
    parts = arguments.parts.split(",")
    table = Table()
    if "added" in parts:
        for rate in arguments.rates.split(","):
            measure_added(table, int(rate), arguments.seconds)
    if "relay" in parts:
        measure_relay(table, arguments.relay_rate, arguments.seconds, arguments.relay_tokens)
    if "idle" in parts:
        measure_idle(table, arguments.seconds)
    table.write(arguments.csv)
    return 0 if table.all_correct else 1


if __name__ == "__main__":
    sys.exit(main())
